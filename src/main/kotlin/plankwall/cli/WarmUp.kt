package plankwall.cli

import com.fasterxml.jackson.dataformat.toml.TomlMapper
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.port
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import picocli.CommandLine.Command
import plankwall.cli.settings.SettingsFile
import plankwall.io.Daemon
import plankwall.io.HttpClient
import plankwall.io.HttpReply
import plankwall.io.HttpServer
import plankwall.model.Address
import plankwall.model.Tuning
import plankwall.wire.StateCodec
import java.net.ServerSocket
import java.util.concurrent.Callable

/** Run by the build to record which classes a start needs; the archive made of them shortens every later start. */
@Command(name = "warm-up", hidden = true, description = ["Load what serving needs, then end."])
class WarmUp : Callable<Int> {
    override fun call(): Int {
        val main = Serve.daemonThread("core")
        val selector = SelectorManager(Serve.daemonThread("selector"))
        runBlocking {
            withContext(main) {
                val scope = CoroutineScope(main + SupervisorJob())
                val loopback = "127.0.0.1"
                val answers =
                    HttpServer(scope, selector, 10) { HttpReply(200, if (it.body.isEmpty()) EMPTY else it.body) }
                val echo = answers.start(Address(loopback, 0))
                val port = (echo.localAddress as InetSocketAddress).port
                val front = freePort()
                val settings = SettingsFile.read(TomlMapper().readTree(settings(front, freePort(), port)))
                scope.launch { Daemon(scope, selector, settings, Tuning()).run() }
                withTimeoutOrNull(1_500) {
                    val client = HttpClient(selector, Address(loopback, front), 2, 4)
                    repeat(20) {
                        client.call("POST", "/checkin", REPORT, 500)
                        client.call("GET", "/api/jobs/job-000001", null, 500)
                        client.call("POST", "/api/jobs", JOB, 500)
                        client.call("GET", "/up", null, 500)
                    }
                }
                StateCodec.items(ITEMS)
            }
        }
        return 0
    }

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    private fun settings(front: Int, internal: Int, services: Int) = """
        node = "n0"
        site = "z"
        front = "127.0.0.1:$front"
        internal_addr = "127.0.0.1:$internal"
        [[known]]
        node = "n1"
        site = "z"
        address = "127.0.0.1:$internal"
        [external]
        cloud = "127.0.0.1:$services"
        state = "127.0.0.1:$services"
        [settings]
        zones = ["z"]
        [[settings.teams]]
        name = "t"
        [settings.workers]
        report_s = 3.0
        lease_s = 20.0
        [settings.state]
        rps = 100.0
        write_rps = 100.0
        value_kb = 8.0
        txn_ops = 32
        [settings.cloud]
        rps = 5.0
    """.trimIndent()

    private companion object {
        val EMPTY = "{}".encodeToByteArray()
        val REPORT = """{"berth":"i-1","address":"127.0.0.1:9","build":"b","yard":"z","loaners":false,"watch":1,"tally":1,
            "baton":0,"recall_s":null,"pieces":[{"piece":"job-000001/0","try":1,"stage":"running"}]}"""
            .encodeToByteArray()
        val JOB = """{"id":"job-000001","docket":"c","crew":"t","shape":"sweep","urgency":"low","pieces":1,"cores":1.0,
            "accelerators":0.0,"ram_gb":1.0,"mould":"m","size_gb":1.0,"guess_s":1.0,"snapshot_s":0.0,"stow_s":0.0}"""
            .encodeToByteArray()
        val ITEMS =
            """{"items":[{"key":"f/job-000001","data":{"stage":"DONE","done":1},"stamp":3}],"has_next":false,"ledger":3}"""
                .encodeToByteArray()
    }
}

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
import plankwall.io.ControllerProcess
import plankwall.io.Daemon
import plankwall.io.HttpClient
import plankwall.io.HttpReply
import plankwall.io.HttpServer
import plankwall.model.Address
import plankwall.model.Tuning
import plankwall.wire.StateCodec
import java.net.ServerSocket
import java.util.concurrent.Callable

/**
 * Runs a node for a moment, with a stand-in for state service and cloud. The build uses it to record which classes a
 * start needs; the class archive made of them shortens every later start.
 */
@Command(name = "warm-up", hidden = true, description = ["Load the classes that `serve` needs, then exit."])
class WarmUp : Callable<Int> {
    override fun call(): Int {
        val coreDispatcher = ControllerProcess.newDaemonDispatcher("core")
        val selector = SelectorManager(ControllerProcess.newDaemonDispatcher("selector"))
        runBlocking {
            withContext(coreDispatcher) {
                val scope = CoroutineScope(coreDispatcher + SupervisorJob())
                val standIn =
                    HttpServer(scope, selector, MAX_CONNECTIONS) {
                        HttpReply(STATUS_OK, if (it.body.isEmpty()) EMPTY_OBJECT else it.body)
                    }
                val listener = standIn.start(Address(LOOPBACK, 0))
                val port = (listener.localAddress as InetSocketAddress).port
                val frontPort = freePort()
                val settings = SettingsFile.read(TomlMapper().readTree(settingsToml(frontPort, freePort(), port)))
                scope.launch { Daemon(scope, selector, settings, Tuning()).run() }
                withTimeoutOrNull(WARM_UP_MS) {
                    val client =
                        HttpClient(selector, Address(LOOPBACK, frontPort), maxConnections = 2, maxCallsInProgress = 4)
                    repeat(REQUEST_ROUNDS) {
                        client.call("POST", "/checkin", HEARTBEAT, CALL_TIMEOUT_MS)
                        client.call("GET", "/api/jobs/job-000001", null, CALL_TIMEOUT_MS)
                        client.call("POST", "/api/jobs", JOB, CALL_TIMEOUT_MS)
                        client.call("GET", "/up", null, CALL_TIMEOUT_MS)
                    }
                }
                // The stand-in never answers with stored items, so the code that reads a page of them is run here.
                StateCodec.readItems(ITEMS_PAGE)
            }
        }
        return 0
    }

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    /**
     * Returns the settings of a node as TOML. [frontPort]: its port for clients and workers; [internal]: its port for
     * peers; [standInPort]: the port of the stand-in for state service and cloud.
     */
    private fun settingsToml(frontPort: Int, internal: Int, standInPort: Int) = """
        node = "n0"
        site = "z"
        front = "127.0.0.1:$frontPort"
        internal_addr = "127.0.0.1:$internal"
        [[known]]
        node = "n1"
        site = "z"
        address = "127.0.0.1:$internal"
        [external]
        cloud = "127.0.0.1:$standInPort"
        state = "127.0.0.1:$standInPort"
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
        const val LOOPBACK = "127.0.0.1"
        const val MAX_CONNECTIONS = 10
        const val WARM_UP_MS = 1_500L
        const val REQUEST_ROUNDS = 20
        const val CALL_TIMEOUT_MS = 500L
        const val STATUS_OK = 200
        val EMPTY_OBJECT = "{}".encodeToByteArray()

        // The field names and the fixed values in the texts below are those of the protocols with workers, users and
        // the state service.
        val HEARTBEAT = """{"berth":"i-1","address":"127.0.0.1:9","build":"b","yard":"z","loaners":false,"watch":1,"tally":1,
            "baton":0,"recall_s":null,"pieces":[{"piece":"job-000001/0","try":1,"stage":"running"}]}"""
            .encodeToByteArray()
        val JOB = """{"id":"job-000001","docket":"c","crew":"t","shape":"sweep","urgency":"low","pieces":1,"cores":1.0,
            "accelerators":0.0,"ram_gb":1.0,"mould":"m","size_gb":1.0,"guess_s":1.0,"snapshot_s":0.0,"stow_s":0.0}"""
            .encodeToByteArray()

        /** One page of stored items, as the state service answers it. */
        val ITEMS_PAGE =
            """{"items":[{"key":"f/job-000001","data":{"stage":"DONE","done":1},"stamp":3}],
            "has_next":false,"ledger":3}"""
                .encodeToByteArray()
    }
}

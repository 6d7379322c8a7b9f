package plankwall.io

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.load.LoopbackServices
import plankwall.wire.PeerCodec
import plankwall.wire.PeerStatus
import java.io.DataOutputStream
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration
import java.util.concurrent.CancellationException
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Tests that a process which an error has hurt ends, and that a fault in one input does not end it. */
@Timeout(FatalErrorTest.MAX_TEST_S)
class FatalErrorTest {
    private val services = LoopbackServices()
    private val processes = ArrayList<Process>()
    private val client = HttpClient.newHttpClient()

    @AfterEach
    fun stop() {
        processes.forEach { it.destroyForcibly().waitFor() }
        services.close()
    }

    /**
     * Guards against a process that an error has hurt and that lives on: it renewed its lease and did half its work, or
     * accepted no connection any more.
     */
    @ParameterizedTest(name = "{1} in a {0}")
    @CsvSource(
        "tick, error",
        "store reply, error",
        "request, error",
        "peer frame, error",
        "tick, exception",
        "store reply, exception",
        "request, exception",
        "peer frame, exception",
    )
    fun `a process ends with a code of its own after an error, and serves on after an exception`(
        place: String,
        kind: String,
    ) {
        val ports = List(2) { freePorts() }
        val process = start(0, place, kind, ports)
        awaitUntil("the controller listens") { statusOf(ports[0], "/up") != null || !process.isAlive }
        if (place == "request") statusOf(ports[0], "/api/jobs/job-000001")
        if (place == "peer frame") sendFrame(ports[0] + 1)
        if (kind == "error") {
            assertTrue(process.waitFor(WAIT_S, TimeUnit.SECONDS), "the process lives on")
            assertEquals(FATAL_ERROR_EXIT_CODE, process.exitValue())
        } else {
            val readsBefore = services.requests.get()
            awaitUntil("ten more requests to the store") { services.requests.get() > readsBefore + 10 }
            assertTrue(statusOf(ports[0], "/up") != null && process.isAlive)
        }
    }

    /** Guards against a deployment that no other controller leads after the leader is hurt. */
    @Test
    fun `another controller leads after an error in the leader`() {
        val ports = List(3) { freePorts() }
        val faulty = start(0, "leader", "error", ports)
        assertTrue(faulty.waitFor(WAIT_S, TimeUnit.SECONDS), "the process lives on")
        assertEquals(FATAL_ERROR_EXIT_CODE, faulty.exitValue())
        assertEquals("n0", leader(), "its lease has not ended yet")
        val others = listOf(1, 2).map { start(it, "none", "none", ports) }
        awaitUntil("one of the others leads") { leader() in setOf("n1", "n2") }
        others.forEach { assertTrue(it.isAlive) }
    }

    /** Guards against a loop that ends quietly: the process would never accept a connection again. */
    @ParameterizedTest
    @CsvSource("returns", "is cancelled", "throws")
    fun `a loop that has to run for ever and ends reaches the fatal error handler`(how: String) = runBlocking {
        val codes = ArrayList<Int>()
        val scope = CoroutineScope(Dispatchers.Unconfined + SupervisorJob() + FatalErrorHandler { codes.add(it) })
        scope.launchPermanentLoop("loop") {
            if (how == "is cancelled") throw CancellationException("a channel was cancelled")
            if (how == "throws") error("planted")
        }.join()
        assertEquals(listOf(FATAL_ERROR_EXIT_CODE), codes)
        val running = scope.launchPermanentLoop("loop") { awaitCancellation() }
        scope.cancel()
        running.join()
        assertEquals(1, codes.size, "the end of the scope is no fault")
    }

    private fun start(node: Int, place: String, kind: String, ports: List<Int>): Process = ProcessBuilder(
        listOf("java", "-Xss256k", "-Xmx64m", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path")) +
            listOf(FaultyController::class.java.name, "$node", place, kind, services.address) + ports.map { "$it" },
    ).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start().also { processes.add(it) }

    /** Returns a port that is free together with the one after it, below those of outgoing connections. */
    private fun freePorts(): Int = generateSequence { Random.nextInt(MIN_PORT / 2, MAX_PORT / 2) * 2 }
        .first { port -> listOf(port, port + 1).all { isFree(it) } }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port).close()
        true
    } catch (_: IOException) {
        false
    }

    private fun statusOf(port: Int, path: String): Int? = get("127.0.0.1:$port", path)?.first

    private fun leader(): String? = get(services.address, "/keys/leader")?.second
        ?.let { Regex("\"node\":\"(\\w+)\"").find(it)?.groupValues?.get(1) }

    private fun get(address: String, path: String): Pair<Int, String>? = try {
        val request = HttpRequest.newBuilder(URI("http://$address$path")).timeout(Duration.ofSeconds(REQUEST_TIMEOUT_S))
        val answer = client.send(request.build(), BodyHandlers.ofString())
        answer.statusCode() to answer.body()
    } catch (_: IOException) {
        null
    }

    private fun sendFrame(port: Int) = Socket("127.0.0.1", port).use { socket ->
        val frame = PeerCodec.write(PeerStatus("n1", 1, 0, false, 0, true, 0))
        DataOutputStream(socket.getOutputStream()).run {
            writeInt(frame.size)
            write(frame)
        }
    }

    private fun awaitUntil(what: String, condition: () -> Boolean) {
        val endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S)
        while (!condition()) {
            assertTrue(System.nanoTime() < endNs, "not reached: $what")
            Thread.sleep(50)
        }
    }

    companion object {
        /** Far above what the slowest case takes on a busy machine. */
        const val MAX_TEST_S = 200L
        private const val WAIT_S = 60L
        private const val REQUEST_TIMEOUT_S = 2L
        private const val MIN_PORT = 12_000
        private const val MAX_PORT = 30_000
    }
}

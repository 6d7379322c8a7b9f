package plankwall.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import plankwall.wire.BadMessage
import plankwall.wire.JobCodec
import java.io.File
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.Callable

/** What the commands that talk to a running node share. */
abstract class JobCommand : Callable<Int> {
    @Option(names = ["--node"], required = true, paramLabel = "HOST:PORT", description = ["A controller's front address."])
    lateinit var node: String

    /** The answer's status and body; null, with a line that says why, if there was none. */
    protected fun ask(method: String, path: String, body: ByteArray? = null): Pair<Int, String>? {
        val publisher = if (body == null) HttpRequest.BodyPublishers.noBody() else HttpRequest.BodyPublishers.ofByteArray(body)
        val request = try {
            HttpRequest.newBuilder(URI("http://$node$path")).method(method, publisher).timeout(Duration.ofSeconds(5)).build()
        } catch (e: java.net.URISyntaxException) {
            throw BadSettings("--node: ${e.message}")
        }
        return try {
            val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
            val response = client.send(request, HttpResponse.BodyHandlers.ofString())
            response.statusCode() to response.body()
        } catch (e: java.io.IOException) {
            System.err.println("plankwall: $node: ${e.message ?: e.javaClass.simpleName}")
            null
        }
    }

    protected fun send(method: String, path: String, body: ByteArray? = null): Int = report(ask(method, path, body))

    protected fun report(answer: Pair<Int, String>?): Int {
        val (status, body) = answer ?: return 1
        println(body)
        return if (status in 200..299) 0 else 1.also { System.err.println("plankwall: status $status") }
    }
}

@Command(name = "submit", description = ["Submit a job described in a JSON file."], mixinStandardHelpOptions = true)
class Submit : JobCommand() {
    @Parameters(paramLabel = "FILE", description = ["The job as JSON."])
    lateinit var file: File

    @Option(
        names = ["--after"], paramLabel = "JOB", split = ",",
        description = ["Jobs that have to be done first, beside those that the file names."],
    )
    var after: List<String> = emptyList()

    override fun call(): Int {
        if (!file.canRead()) throw BadSettings("$file: can't be read")
        val body = try {
            if (after.isEmpty()) file.readBytes() else JobCodec.withDependencies(file.readBytes(), after)
        } catch (e: BadMessage) {
            throw BadSettings("$file: ${e.message}")
        }
        return send("POST", "/api/jobs", body)
    }
}

@Command(name = "show", description = ["Show where jobs stand, and what they wait for."], mixinStandardHelpOptions = true)
class Show : JobCommand() {
    @Parameters(paramLabel = "JOB", arity = "1..*", description = ["The jobs' ids."])
    lateinit var jobs: List<String>

    @Option(names = ["--follow"], description = ["Show every change until all are done or withdrawn."])
    var follow = false

    override fun call(): Int {
        var worst = 0
        val shown = HashMap<String, String>()
        val left = jobs.toMutableList()
        while (left.isNotEmpty()) {
            for (job in left.toList()) {
                val answer = ask("GET", "/api/jobs/$job")
                if (!follow || answer?.first == 404) {
                    worst = maxOf(worst, report(answer))
                    left.remove(job)
                } else if (answer != null && answer.first == 200) {
                    if (shown.put(job, answer.second) != answer.second) println(answer.second)
                    if (JobCodec.isOver(answer.second.encodeToByteArray())) left.remove(job)
                }
            }
            if (left.isNotEmpty()) Thread.sleep(POLL_MS)
        }
        return worst
    }

    private companion object {
        const val POLL_MS = 2_000L
    }
}

@Command(name = "withdraw", description = ["Withdraw a job."], mixinStandardHelpOptions = true)
class Withdraw : JobCommand() {
    @Parameters(paramLabel = "JOB", description = ["The job's id."])
    lateinit var job: String

    override fun call(): Int = send("POST", "/api/jobs/$job/withdraw")
}

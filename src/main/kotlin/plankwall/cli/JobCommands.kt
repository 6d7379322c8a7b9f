package plankwall.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import plankwall.cli.remote.NodeCalls
import plankwall.cli.settings.InvalidSettingsException
import plankwall.wire.JobCodec
import plankwall.wire.MalformedMessageException
import java.io.File
import java.util.concurrent.Callable

abstract class JobCommand : Callable<Int> {
    @Mixin
    protected lateinit var calls: NodeCalls
}

@Command(name = "submit", description = ["Submit a job described in a JSON file."], mixinStandardHelpOptions = true)
class Submit : JobCommand() {
    @Parameters(paramLabel = "FILE", description = ["The job as JSON."])
    lateinit var file: File

    @Option(
        names = ["--after"],
        paramLabel = "JOB",
        split = ",",
        description = ["Jobs that have to be done first, beside those that the file names."],
    )
    var after: List<String> = emptyList()

    override fun call(): Int {
        if (!file.canRead()) throw InvalidSettingsException("$file", "can't be read")
        val body = try {
            if (after.isEmpty()) file.readBytes() else JobCodec.withDependencies(file.readBytes(), after)
        } catch (e: MalformedMessageException) {
            throw InvalidSettingsException("$file", e.message.orEmpty(), e)
        }
        return calls.report(calls.ask("POST", "/api/jobs", body))
    }
}

@Command(
    name = "show",
    description = ["Show where jobs stand, and what they wait for."],
    mixinStandardHelpOptions = true,
)
class Show : JobCommand() {
    @Parameters(paramLabel = "JOB", arity = "1..*", description = ["The jobs' ids."])
    lateinit var jobs: List<String>

    @Option(names = ["--follow"], description = ["Show every change until all are done or cancelled."])
    var follow = false

    /** The worst of all answers so far. */
    private var exitCode = 0

    /** What was printed last of each job. */
    private val shown = HashMap<String, String>()

    override fun call(): Int {
        val left = jobs.toMutableList()
        while (left.isNotEmpty()) {
            left.removeAll(left.filter { showOnce(it) }.toSet())
            if (left.isNotEmpty()) Thread.sleep(POLL_MS)
        }
        return exitCode
    }

    /** Shows [job] as it is now; true if nothing more is to be shown of it. */
    private fun showOnce(job: String): Boolean {
        val answer = calls.ask("GET", "/api/jobs/$job")
        if (!follow || answer != null && answer.status in FINAL) {
            exitCode = maxOf(exitCode, calls.report(answer))
            return true
        }
        if (answer == null || answer.status != 200) return false
        printIfChanged(job, answer.body)
        return JobCodec.isOver(answer.body.encodeToByteArray())
    }

    private fun printIfChanged(job: String, view: String) {
        if (shown.put(job, view) != view) println(view)
    }

    private companion object {
        const val POLL_MS = 2_000L

        /** Asking again would bring the same. */
        val FINAL = setOf(400, 401, 403, 404)
    }
}

@Command(name = "cancel", aliases = ["withdraw"], description = ["Cancel a job."], mixinStandardHelpOptions = true)
class Cancel : JobCommand() {
    @Parameters(paramLabel = "JOB", description = ["The job's id."])
    lateinit var job: String

    override fun call(): Int = calls.report(calls.ask("POST", "/api/jobs/$job/withdraw"))
}

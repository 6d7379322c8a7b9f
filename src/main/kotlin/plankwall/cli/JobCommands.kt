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

/** The base of the commands about jobs: it holds the options for calls to a node. */
abstract class JobCommand : Callable<Int> {
    @Mixin
    protected lateinit var calls: NodeCalls
}

/** Submits a job that a JSON file describes. */
@Command(name = "submit", description = ["Submit a job described in a JSON file."], mixinStandardHelpOptions = true)
class Submit : JobCommand() {
    @Parameters(paramLabel = "FILE", description = ["The job as JSON."])
    lateinit var file: File

    @Option(
        names = ["--after"],
        paramLabel = "JOB",
        split = ",",
        description = ["Jobs that must be done first, in addition to those that the file names."],
    )
    var after: List<String> = emptyList()

    override fun call(): Int {
        if (!file.canRead()) throw InvalidSettingsException("$file", "can't be read")
        val body = try {
            if (after.isEmpty()) file.readBytes() else JobCodec.withDependencies(file.readBytes(), after)
        } catch (e: MalformedMessageException) {
            throw InvalidSettingsException("$file", e.message.orEmpty(), e)
        }
        return calls.printAnswer(calls.sendRequest("POST", "/api/jobs", body))
    }
}

/** Prints the state of jobs, once or until they are over. */
@Command(
    name = "show",
    description = ["Show the state of jobs, and what they wait for."],
    mixinStandardHelpOptions = true,
)
class Show : JobCommand() {
    @Parameters(paramLabel = "JOB", arity = "1..*", description = ["The jobs' ids."])
    lateinit var jobs: List<String>

    @Option(names = ["--follow"], description = ["Print every change until all jobs are done or cancelled."])
    var follow = false

    /** The highest exit code of all answers so far. */
    private var exitCode = 0

    /** The last printed answer about each job, by job id. */
    private val lastPrinted = HashMap<String, String>()

    override fun call(): Int {
        val remainingJobs = jobs.toMutableList()
        while (remainingJobs.isNotEmpty()) {
            remainingJobs.removeAll(remainingJobs.filter { showOnce(it) }.toSet())
            if (remainingJobs.isNotEmpty()) Thread.sleep(POLL_INTERVAL_MS)
        }
        return exitCode
    }

    /** Prints the present state of [job]; returns true if it needs no further request. */
    private fun showOnce(job: String): Boolean {
        val answer = calls.sendRequest("GET", "/api/jobs/$job")
        if (!follow || answer != null && answer.status in FINAL_STATUSES) {
            exitCode = maxOf(exitCode, calls.printAnswer(answer))
            return true
        }
        if (answer == null || answer.status != 200) return false
        printIfChanged(job, answer.body)
        return JobCodec.hasEnded(answer.body.encodeToByteArray())
    }

    private fun printIfChanged(job: String, answerBody: String) {
        if (lastPrinted.put(job, answerBody) != answerBody) println(answerBody)
    }

    private companion object {
        const val POLL_INTERVAL_MS = 2_000L

        /** The statuses that another request would only repeat. */
        val FINAL_STATUSES = setOf(400, 401, 403, 404)
    }
}

/** Cancels a job. */
@Command(name = "cancel", aliases = ["withdraw"], description = ["Cancel a job."], mixinStandardHelpOptions = true)
class Cancel : JobCommand() {
    @Parameters(paramLabel = "JOB", description = ["The job's id."])
    lateinit var job: String

    override fun call(): Int = calls.printAnswer(calls.sendRequest("POST", "/api/jobs/$job/withdraw"))
}

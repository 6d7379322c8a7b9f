package plankwall.wire

import com.google.common.base.Utf8

/**
 * Upper bounds of the bytes that a worker's heartbeat takes. A heartbeat is a request body, which has a maximum size:
 * no controller reads a longer one, so the worker would lose its lease with all its tasks. The bounds hold for any
 * stage, exit cause and attempt, and for workers that write a space after each separator.
 */
object HeartbeatSize {
    /** The maximum size of the body of a request, in bytes. */
    const val MAX_BODY_BYTES = 64 * 1024

    /** The bytes of a heartbeat without its tasks: the four names at their longest, field names and numbers. */
    private const val HEAD_BYTES = 4 * 1024

    /** The bytes that the entries of all tasks on a machine may take together. */
    const val MAX_TASKS_BYTES = MAX_BODY_BYTES - HEAD_BYTES

    /** The highest number that a task can have. */
    private const val LAST_TASK = 99_999

    /** The bytes for a space after each of the ten separators of an entry, and for `false` in place of `true`. */
    private const val SPACING_BYTES = 11

    /** The bytes of the longest entry of a task without the id of its job. */
    private val longestEntryBytes = (ExitCause.entries + null).maxOf { cause ->
        val stages = if (cause == null) TaskStage.entries - TaskStage.EXITED else listOf(TaskStage.EXITED)
        stages.maxOf { WorkerCodec.sizeOf(TaskStatus("", LAST_TASK, Long.MAX_VALUE, it, cause, saved = true)) }
    } + 1 + SPACING_BYTES

    /** Returns the most bytes that the entry of a task of the job [jobId] takes, with the comma that follows it. */
    fun maxTaskBytes(jobId: String): Int = longestEntryBytes + Utf8.encodedLength(jobId)

    /** Returns the most bytes that the entries of the reported [tasks] take, whatever becomes of the tasks. */
    fun maxTaskBytes(tasks: List<TaskStatus>): Int = tasks.sumOf { maxTaskBytes(it.jobId) }
}

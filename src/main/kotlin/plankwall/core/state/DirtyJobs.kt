package plankwall.core.state

import plankwall.core.statemachine.Context

/**
 * Decides what is due to be written. Owns the set of jobs with changes that the store does not have yet, and
 * [Job.dirtySince] and [Job.urgent] of those in it.
 */
internal class DirtyJobs(private val ctx: Context) {
    private val jobs = LinkedHashSet<Job>()

    /** Records that [job] has changes to be written. */
    fun add(job: Job) {
        if (jobs.add(job)) job.dirtySince = ctx.now
    }

    /** Drops [job], which is over. */
    fun remove(job: Job) {
        jobs.remove(job)
    }

    /** Drops [job] if all its pages are written or under way. */
    fun removeIfClean(job: Job) {
        if (job.pages.values.any { it.dirty }) return
        jobs.remove(job)
        job.urgent = false
    }

    fun isEmpty(): Boolean = jobs.isEmpty()

    /**
     * The jobs in the order in which they are to be written: first what a user or a task waits for, a start or an end.
     * The end of a job that is cancelled through another can wait: every node can work it out without the final record.
     */
    fun inWriteOrder(): List<Job> {
        val (first, rest) = jobs.partition { it.urgent || (it.isFinalizable && !it.cancelledByDependency) }
        return first + rest
    }

    /**
     * Whether the changes of [job] can wait for others of the same page, so that one write takes all: nothing waits for
     * the record that a task is gone or done.
     */
    fun mayCoalesce(job: Job): Boolean = !job.urgent && ctx.now < job.dirtySince + COALESCE_S

    private companion object {
        /** How long changes may wait for others while writes are scarce. */
        const val COALESCE_S = 1.0
    }
}

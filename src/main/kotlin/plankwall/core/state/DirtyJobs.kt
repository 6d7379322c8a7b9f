package plankwall.core.state

import plankwall.core.statemachine.Context

/**
 * The set of jobs with changes that the store does not have yet; decides which of them are due to be written. Sets
 * [Job.dirtySince], and clears [Job.urgent] once all changes of a job are sent.
 */
internal class DirtyJobs(private val ctx: Context) {
    private val jobs = LinkedHashSet<Job>()

    /** Records that [job] has changes to be written. */
    fun add(job: Job) {
        if (jobs.add(job)) job.dirtySince = ctx.now
    }

    /** Removes [job], which has ended. */
    fun remove(job: Job) {
        jobs.remove(job)
    }

    /** Removes [job] if none of its pages has changes that no write was sent for. */
    fun removeIfClean(job: Job) {
        if (job.pages.values.any { it.dirty }) return
        jobs.remove(job)
        job.urgent = false
    }

    fun isEmpty(): Boolean = jobs.isEmpty()

    /**
     * Returns the jobs in the order in which they are to be written: first those with a start that a task waits for, or
     * with an end that a user waits for. The end of a job that was cancelled because of a dependency can wait, since
     * every node can derive it without the final record.
     */
    fun inWriteOrder(): List<Job> {
        val (awaited, others) = jobs.partition { it.urgent || (it.isFinalizable && !it.cancelledByDependency) }
        return awaited + others
    }

    /**
     * Returns whether the changes of [job] can wait for others of the same page, so that one write takes them all.
     * Nothing waits for a record that says that a task is gone or done.
     */
    fun mayCoalesce(job: Job): Boolean = !job.urgent && ctx.now < job.dirtySince + MAX_COALESCE_DELAY_S

    private companion object {
        /** The longest time for which changes may wait for others while the write budget is scarce. */
        const val MAX_COALESCE_DELAY_S = 1.0
    }
}

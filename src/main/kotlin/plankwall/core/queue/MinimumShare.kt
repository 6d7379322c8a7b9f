package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.core.statemachine.Context
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape
import kotlin.math.ceil

/**
 * The capacity that [jobClass] uses and its minimum share, both as parts (0 to 1) of the capacity that replicas leave
 * to other tasks.
 */
class ClassShare(val jobClass: String, val used: Double, val minimum: Double)

/**
 * A minimum share of the capacity for each job class while there is less capacity than work. As long as the tasks of a
 * class use less than its minimum share, a part of what the class asks for on average, its jobs go before jobs of
 * higher priority, and those do not preempt its tasks. Jobs of production priority (live services) and guaranteed jobs
 * always go first. The rule looks at the capacity in use, not at how jobs fared, and so does not oscillate: what a
 * class is given is not taken back a second later.
 */
class MinimumShare(private val ctx: Context) {
    private val offeredLoad = OfferedLoad(ctx)

    /** The minimum share of each class, as a part of [pool]. */
    private val minimumByClass = HashMap<String, Double>()

    /**
     * The capacity that running tasks of each class use, as a part of [pool]; empty while there is enough capacity for
     * all.
     */
    private val usage = HashMap<String, Double>()

    /** The capacity on which each class can count, as a part of [pool]. */
    private val shareByClass = HashMap<String, Double>()

    /** The capacity that replicas leave to other tasks. */
    private var pool = Resources.NONE

    /**
     * Recomputes the shares for the classes of the [live] jobs. [isScarce]: whether there is less capacity than work;
     * otherwise no class has to yield capacity to another. [pool]: the capacity that replicas leave to other tasks.
     * [occupancyS] returns for how long, in seconds, a task of a job occupies its place.
     */
    fun refresh(live: Collection<Job>, isScarce: Boolean, pool: Resources, occupancyS: (Job) -> Double) {
        offeredLoad.record(live, occupancyS)
        this.pool = pool
        minimumByClass.clear()
        usage.clear()
        shareByClass.clear()
        if (!isScarce) return
        val priorities = HashMap<String, Priority>()
        for (job in live) {
            if (job.spec.shape == Shape.SERVICE) continue
            val running = job.placements.values.count { it.stopping == null }
            usage.merge(job.spec.jobClass, job.spec.need.dominantShareOf(pool) * running, Double::plus)
            priorities.merge(job.spec.jobClass, job.priority, ::maxOf)
        }
        val offeredByClass = usage.keys.associateWith { offeredLoad.averageShareOf(pool, it) }
        offeredByClass.mapValuesTo(minimumByClass) { (_, part) -> part * MINIMUM_PART_OF_OFFERED }
        val minimumSum = minimumByClass.values.sum()
        if (minimumSum > 1.0) minimumByClass.replaceAll { _, part -> part / minimumSum }
        divideRemainder(offeredByClass, priorities)
    }

    /**
     * Divides the capacity beyond the minimum shares by priority, giving each class at most what it asks for on
     * average.
     */
    private fun divideRemainder(offeredByClass: Map<String, Double>, priorities: Map<String, Priority>) {
        shareByClass.putAll(minimumByClass)
        var remainder = 1.0 - minimumByClass.values.sum()
        for (jobClass in priorities.keys.sortedByDescending { priorities[it] }) {
            val missing = (offeredByClass[jobClass] ?: 0.0) - (minimumByClass[jobClass] ?: 0.0)
            val extra = missing.coerceIn(0.0, remainder.coerceAtLeast(0.0))
            shareByClass.merge(jobClass, extra, Double::plus)
            remainder -= extra
        }
        // Capacity that no class asks for on average is divided among all, for the times when they ask for more.
        val totalShare = shareByClass.values.sum()
        if (totalShare > 0.0) shareByClass.replaceAll { _, part -> part / totalShare }
    }

    /** Returns the part of the capacity on which [jobClass] can count; all of it while there is enough for all. */
    fun shareOf(jobClass: String): Double = (shareByClass[jobClass] ?: 1.0).coerceAtLeast(MIN_SHARE)

    /**
     * Accounts for [tasks] tasks of [job] that were placed since the last refresh; a negative number stands for
     * preempted tasks. Otherwise one pass could place too many tasks of a class, or preempt too many.
     */
    fun onPlaced(job: Job, tasks: Int) {
        if (job.spec.jobClass in usage) {
            usage.merge(job.spec.jobClass, job.spec.need.dominantShareOf(pool) * tasks, Double::plus)
        }
    }

    /** Whether the class of [job] uses less than its minimum share. */
    fun isBelowMinimum(job: Job): Boolean {
        val classUsed = usage[job.spec.jobClass] ?: return false
        return classUsed < minimumOf(job)
    }

    /**
     * Whether the class of [job] would fall below its minimum share if one of its tasks were preempted: the next pass
     * would only place the task again.
     */
    fun isProtected(job: Job): Boolean {
        val classUsed = usage[job.spec.jobClass] ?: return false
        return classUsed - job.spec.need.dominantShareOf(pool) < minimumOf(job)
    }

    private fun minimumOf(job: Job): Double = minimumByClass[job.spec.jobClass] ?: 0.0

    /**
     * Returns how many tasks of [job] may be placed in one pass: as many as bring its class up to the minimum share, so
     * that the next pass sorts the others by their own priority. [Int.MAX_VALUE] if the class has reached its share or
     * has none.
     */
    fun maxPlacements(job: Job): Int {
        val minimum = minimumByClass[job.spec.jobClass] ?: return Int.MAX_VALUE
        val missing = minimum - (usage[job.spec.jobClass] ?: 0.0)
        val perTask = job.spec.need.dominantShareOf(pool)
        return if (missing <= 0.0 || perTask <= 0.0) Int.MAX_VALUE else ceil(missing / perTask).toInt()
    }

    /** Returns the classes that use less than their minimum shares. */
    fun classesBelowMinimum(): List<ClassShare> = minimumByClass
        .map { (jobClass, minimum) -> ClassShare(jobClass, usage[jobClass] ?: 0.0, minimum) }
        .filter { it.used < it.minimum }

    /**
     * Returns the rank of [job] in the queue, higher goes first: jobs of production priority, then jobs of classes
     * below their minimum shares by priority, then all others by priority.
     */
    fun rank(job: Job): Int = when {
        job.priority == Priority.PRODUCTION -> Priority.entries.size * 2
        isBelowMinimum(job) -> Priority.entries.size + job.priority.ordinal
        else -> job.priority.ordinal
    }

    private companion object {
        /**
         * The minimum share as a part of what a class asks for on average: the half that must be served, and a margin.
         */
        const val MINIMUM_PART_OF_OFFERED = 0.55

        /** The smallest share returned, since callers divide by it. */
        const val MIN_SHARE = 0.001
    }
}

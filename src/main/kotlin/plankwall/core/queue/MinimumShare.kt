package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.core.statemachine.Context
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape
import kotlin.math.ceil

/** What [jobClass] uses of all room and the minimum that it is due, as parts of 1. */
class ClassShare(val jobClass: String, val used: Double, val minimum: Double)

/**
 * A minimum share for each class while there is less room than work: as long as its tasks use less than a part of what
 * the class asks for on average, its jobs go before those of higher priority, and these do not preempt its tasks. Live
 * services and guarantees are never put behind it. Going by the room used, not by what became of the jobs, it does not
 * oscillate: what is given is not taken back a second later.
 */
class MinimumShare(private val ctx: Context) {
    private val offeredLoad = OfferedLoad(ctx)

    /** By class, as parts of [pool]: the minimum shares, the room used, and the room that a class can count on. */
    private val minimums = HashMap<String, Double>()
    private val used = HashMap<String, Double>()
    private val shares = HashMap<String, Double>()
    private var pool = Resources.NONE

    /**
     * Computes the shares anew, of the [live] jobs' classes. [isScarce]: whether there is less room than work; else no
     * class has to give anything up. [pool]: the room that is not used by replicas. [occupancyS]: how long a task of a
     * job holds its place.
     */
    fun refresh(live: Collection<Job>, isScarce: Boolean, pool: Resources, occupancyS: (Job) -> Double) {
        offeredLoad.record(live, occupancyS)
        this.pool = pool
        minimums.clear()
        used.clear()
        shares.clear()
        if (!isScarce) return
        val priorities = HashMap<String, Priority>()
        for (job in live) {
            if (job.spec.shape == Shape.SERVICE) continue
            val running = job.placements.values.count { it.stopping == null }
            used.merge(job.spec.jobClass, job.spec.need.partOf(pool) * running, Double::plus)
            priorities.merge(job.spec.jobClass, job.priority, ::maxOf)
        }
        val offered = used.keys.associateWith { offeredLoad.partOf(pool, it) }
        offered.mapValuesTo(minimums) { (_, part) -> part * MINIMUM_PART }
        val sum = minimums.values.sum()
        if (sum > 1.0) minimums.replaceAll { _, part -> part / sum }
        divideRest(offered, priorities)
    }

    /** Beside the minimum shares all room goes by priority, to as much as each class asks for. */
    private fun divideRest(offered: Map<String, Double>, priorities: Map<String, Priority>) {
        shares.putAll(minimums)
        var left = 1.0 - minimums.values.sum()
        for (jobClass in priorities.keys.sortedByDescending { priorities[it] }) {
            val missing = (offered[jobClass] ?: 0.0) - (minimums[jobClass] ?: 0.0)
            val more = missing.coerceIn(0.0, left.coerceAtLeast(0.0))
            shares.merge(jobClass, more, Double::plus)
            left -= more
        }
        // Room that no class asks for on average serves all when they ask for more.
        val given = shares.values.sum()
        if (given > 0.0) shares.replaceAll { _, part -> part / given }
    }

    /** The part of all room on which [jobClass] can count. */
    fun shareOf(jobClass: String): Double = (shares[jobClass] ?: 1.0).coerceAtLeast(MIN_DIVISOR)

    /**
     * Accounts for [tasks] of [job] that were placed since, or preempted where the number is negative: within one pass
     * a minimum share could be overrun both ways.
     */
    fun onPlaced(job: Job, tasks: Int) {
        if (job.spec.jobClass in used) used.merge(job.spec.jobClass, job.spec.need.partOf(pool) * tasks, Double::plus)
    }

    /** Whether the class of [job] uses less than its minimum share. */
    fun isBelowMinimum(job: Job): Boolean {
        val classUses = used[job.spec.jobClass] ?: return false
        return classUses < minimumOf(job)
    }

    /**
     * Whether the class of [job] would fall below its minimum share if one of its tasks were preempted: the next pass
     * would only place it again.
     */
    fun isProtected(job: Job): Boolean {
        val classUses = used[job.spec.jobClass] ?: return false
        return classUses - job.spec.need.partOf(pool) < minimumOf(job)
    }

    private fun minimumOf(job: Job): Double = minimums[job.spec.jobClass] ?: 0.0

    /**
     * How many tasks of [job] may be placed in a pass: as many as reach the minimum share, so that the next pass sorts
     * the rest by their own priority; any number if the share is reached.
     */
    fun maxPlacements(job: Job): Int {
        val minimum = minimums[job.spec.jobClass] ?: return Int.MAX_VALUE
        val missing = minimum - (used[job.spec.jobClass] ?: 0.0)
        val perTask = job.spec.need.partOf(pool)
        return if (missing <= 0.0 || perTask <= 0.0) Int.MAX_VALUE else ceil(missing / perTask).toInt()
    }

    /** The classes below their minimum shares. */
    fun classesBelowMinimum(): List<ClassShare> = minimums
        .map { (jobClass, minimum) -> ClassShare(jobClass, used[jobClass] ?: 0.0, minimum) }
        .filter { it.used < it.minimum }

    /** Higher goes first: those below their minimum shares, by priority, then all others, by priority. */
    fun rank(job: Job): Int = when {
        job.priority == Priority.PRODUCTION -> Priority.entries.size * 2
        isBelowMinimum(job) -> Priority.entries.size + job.priority.ordinal
        else -> job.priority.ordinal
    }

    private companion object {
        /** Of what a class asks for on average: the half that must be served, and a margin. */
        const val MINIMUM_PART = 0.55

        /** Shares are divided by. */
        const val MIN_DIVISOR = 0.001
    }
}

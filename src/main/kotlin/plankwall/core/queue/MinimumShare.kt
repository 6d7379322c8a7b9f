package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.core.statemachine.Context
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape
import kotlin.math.ceil

/**
 * A floor for each class while there is less room than work: as long as its tasks take less than somewhat over half of
 * what it asks for on average, its jobs go before those of higher priority, and these do not stop its tasks. Live
 * services and guarantees are never put behind it. Going by the room taken, not by what became of the jobs, it does not
 * swing: what is given is not taken back a second later.
 */
class MinimumShare(private val ctx: Context) {
    private val offered = OfferedLoad(ctx)
    private val floors = HashMap<String, Double>()
    private val taken = HashMap<String, Double>()
    private val shares = HashMap<String, Double>()
    private var pool = Resources.NONE

    /**
     * [short]: whether there is less room than work; else nobody has to give anything up for anybody. [pool]: the room
     * that is not taken by replicas.
     */
    fun refresh(live: Collection<Job>, short: Boolean, pool: Resources, eachS: (Job) -> Double) {
        offered.record(live, eachS)
        this.pool = pool
        floors.clear()
        taken.clear()
        shares.clear()
        if (!short) return
        val priorities = HashMap<String, Priority>()
        for (job in live) {
            if (job.spec.shape == Shape.SERVICE) continue
            taken.merge(
                job.spec.jobClass,
                job.spec.need.partOf(pool) * job.placements.values.count { it.stopping == null },
                Double::plus,
            )
            priorities.merge(job.spec.jobClass, job.priority, ::maxOf)
        }
        val asked = taken.keys.associateWith { offered.partOf(pool, it) }
        asked.mapValuesTo(floors) { (_, part) -> part * PART }
        val sum = floors.values.sum()
        if (sum > 1.0) floors.replaceAll { _, part -> part / sum }
        share(asked, priorities)
    }

    /** Beside the floors all room goes by priority, to as much as each class asks for. */
    private fun share(asked: Map<String, Double>, priorities: Map<String, Priority>) {
        shares.putAll(floors)
        var left = 1.0 - floors.values.sum()
        for (name in priorities.keys.sortedByDescending { priorities[it] }) {
            val more = ((asked[name] ?: 0.0) - (floors[name] ?: 0.0)).coerceIn(0.0, left.coerceAtLeast(0.0))
            shares.merge(name, more, Double::plus)
            left -= more
        }
        // What nobody asks for on average serves all when they ask for more.
        val given = shares.values.sum()
        if (given > 0.0) shares.replaceAll { _, part -> part / given }
    }

    /** The part of all room on which [jobClass] can count. */
    fun shareOf(jobClass: String): Double = (shares[jobClass] ?: 1.0).coerceAtLeast(LEAST_SHARE)

    /**
     * [tasks] of [job] were placed since, or stopped where the number is below nothing: within one pass a floor could
     * be overrun both ways.
     */
    fun placed(job: Job, tasks: Int) {
        if (job.spec.jobClass in taken) taken.merge(job.spec.jobClass, job.spec.need.partOf(pool) * tasks, Double::plus)
    }

    /** Whether the class of [job] has less than its floor. */
    fun isBelow(job: Job): Boolean = (taken[job.spec.jobClass] ?: return false) < (floors[job.spec.jobClass] ?: 0.0)

    /**
     * Whether the class of [job] would fall below its floor if one of its tasks were stopped: the next pass would only
     * place it again.
     */
    fun isSpared(job: Job): Boolean =
        (taken[job.spec.jobClass] ?: return false) - job.spec.need.partOf(pool) < (floors[job.spec.jobClass] ?: 0.0)

    /**
     * How many tasks of [job] may go before others: as many as reach the floor. The next pass sorts the rest by their
     * own priority.
     */
    fun most(job: Job): Int {
        val floor = floors[job.spec.jobClass] ?: return Int.MAX_VALUE
        val missing = floor - (taken[job.spec.jobClass] ?: 0.0)
        val each = job.spec.need.partOf(pool)
        return if (missing <= 0.0 || each <= 0.0) Int.MAX_VALUE else ceil(missing / each).toInt()
    }

    /** Classes below their floors, with what they take and their floors, in parts of all room. */
    fun below(): Map<String, Pair<Double, Double>> =
        floors.filter { (name, floor) -> (taken[name] ?: 0.0) < floor }.mapValues { (name, floor) ->
            (taken[name] ?: 0.0) to
                floor
        }

    /** Higher goes first: those below their floors, by priority, then all others, by priority. */
    fun rank(job: Job): Int = when {
        job.priority == Priority.PRODUCTION -> Priority.entries.size * 2
        isBelow(job) -> Priority.entries.size + job.priority.ordinal
        else -> job.priority.ordinal
    }

    private companion object {
        /**
         * The users' own measure, that a day fails on which less than half of a class is served, and a tenth more for
         * what goes wrong.
         */
        const val PART = 0.55

        /** A share is divided by. */
        const val LEAST_SHARE = 0.001
    }
}

package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.core.state.Placement
import plankwall.core.statemachine.Context
import plankwall.model.Resources
import plankwall.model.Shape

/**
 * Room that many jobs share and that can't grow now: what a team may use at once, or all machines where the cloud has
 * no more. [whole] is all of it, 0 in a part: no bound there. Replicas stay, so [placed] ones take their part of it
 * away for good.
 */
class CapacityPool(
    private val ctx: Context,
    whole: Resources,
    placed: Sequence<Placement>,
    waitingReplicas: Resources,
) {
    /** What is left of it beside replicas. */
    val size: Resources
    private val loadS = HashMap<String, Double>()

    init {
        val running = placed.toList()
        val (lasting, passing) = running.partition { it.job.spec.shape == Shape.SERVICE }
        val taken = lasting.fold(waitingReplicas) { sum, p -> sum + p.job.spec.need }
        size = Resources(left(whole.cpus, taken.cpus), left(whole.gpus, taken.gpus), left(whole.memory, taken.memory))
        for (p in passing) loadS.merge(p.job.spec.jobClass, part(p.job.spec.need) * leftOf(p), Double::plus)
    }

    /** Where replicas fill a bounded part, next to nothing is left of it, but not no bound at all. */
    private fun left(whole: Long, taken: Long): Long = if (whole == 0L) 0L else (whole - taken).coerceAtLeast(1L)

    private fun leftOf(p: Placement): Double = p.endsIn(ctx.now) ?: p.job.spec.estimateS

    private fun part(need: Resources): Double = need.partOf(size)

    /** Seconds of the whole pool that [tasks] of [job] take, which lasts [eachS] on its place. */
    fun workS(job: Job, tasks: Int, eachS: Double): Double = part(job.spec.need) * tasks * eachS

    /**
     * Sorts jobs by what can still come of them, after all that runs already. [blocks]: those of higher standing first.
     * [share]: the part of the pool that is theirs, of which tasks of [jobClass], or of all, take up room now. [eachS]:
     * how long a task holds its place.
     */
    fun judge(
        blocks: List<List<Job>>,
        share: Double,
        jobClass: String?,
        eachS: (Job) -> Double,
        verdict: (Job, Feasibility) -> Unit,
    ) {
        val nowMs = ctx.time.wallMs
        fun lots(of: List<Job>, due: (Job) -> Deadline) = of.map {
            PendingWork(it, workS(it, it.waiting.size, eachS(it)) / share, due(it).inS(nowMs, it.spec.estimateS))
        }
        var busyS = (if (jobClass == null) loadS.values.sum() else loadS[jobClass] ?: 0.0) / share
        for (jobs in blocks) {
            // What nobody said anything about is neither late nor in time; it only takes its room.
            val (open, bound) = jobs.partition { Deadline.last(it, ctx.objectives).isOpen }
            val first = DeadlineFeasibility.choose(lots(bound) { Deadline.tight(it, ctx.objectives) }, busyS)
            busyS += first.sumOf { it.workS }
            val taken = first.mapTo(HashSet()) { it.job }
            val second = DeadlineFeasibility.choose(
                lots(
                    bound.filter {
                        it !in taken
                    },
                ) { Deadline.last(it, ctx.objectives) },
                busyS,
            )
            busyS += second.sumOf { it.workS } + open.sumOf { workS(it, it.waiting.size, eachS(it)) / share }
            second.forEach { verdict(it.job, Feasibility.LATE) }
            second.mapTo(taken) { it.job }
            bound.filter { it !in taken }.forEach { verdict(it, Feasibility.OUT_OF_REACH) }
        }
    }
}

package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.core.state.Placement
import plankwall.core.statemachine.Context
import plankwall.model.Resources
import plankwall.model.Shape

/**
 * Room that many jobs share and that can't grow now: a team's quota, or all machines where the cloud has no more.
 * [whole] is all of it; a resource of 0 is not bounded. Replicas stay, so [placed] ones and [waitingReplicas] take
 * their part of it away for good.
 */
class CapacityPool(
    private val ctx: Context,
    whole: Resources,
    placed: Sequence<Placement>,
    waitingReplicas: Resources,
) {
    /** What is left of it beside replicas. */
    val size: Resources

    /** By class: seconds of the whole pool that the running tasks still take. */
    private val runningWorkS = HashMap<String, Double>()

    init {
        val (replicas, tasks) = placed.toList().partition { it.job.spec.shape == Shape.SERVICE }
        val taken = replicas.fold(waitingReplicas) { sum, placement -> sum + placement.job.spec.need }
        size = Resources(
            beside(whole.cpus, taken.cpus),
            beside(whole.gpus, taken.gpus),
            beside(whole.memory, taken.memory),
        )
        for (task in tasks) {
            val workS = partOf(task.job.spec.need) * remainingS(task)
            runningWorkS.merge(task.job.spec.jobClass, workS, Double::plus)
        }
    }

    /** Where replicas fill a bounded resource, next to nothing is left of it; nothing would mean no bound at all. */
    private fun beside(whole: Long, taken: Long): Long = if (whole == 0L) 0L else (whole - taken).coerceAtLeast(1L)

    private fun remainingS(task: Placement): Double = task.endsIn(ctx.now) ?: task.job.spec.estimateS

    private fun partOf(need: Resources): Double = need.partOf(size)

    /** Seconds of the whole pool that [tasks] of [job] take, each of which holds its place for [occupancyS]. */
    fun workS(job: Job, tasks: Int, occupancyS: Double): Double = partOf(job.spec.need) * tasks * occupancyS

    /**
     * Reports to [onLate] the jobs that can't meet all their service-level objectives any more, after all that runs
     * already. [blocks]: those of higher standing first. [share]: the part of the pool that is theirs, of which tasks
     * of [jobClass], or of all classes, use room now. [occupancyS]: how long a task of a job holds its place.
     */
    fun classify(
        blocks: List<List<Job>>,
        share: Double,
        jobClass: String?,
        occupancyS: (Job) -> Double,
        onLate: (Job, Feasibility) -> Unit,
    ) {
        fun workOf(job: Job) = workS(job, job.waiting.size, occupancyS(job)) / share
        fun pendingWork(jobs: List<Job>, deadlineOf: (Job) -> Deadline) = jobs.map {
            PendingWork(it, workOf(it), deadlineOf(it).secondsLeft(ctx.time.wallMs, it.spec.estimateS))
        }
        var busyS = (if (jobClass == null) runningWorkS.values.sum() else runningWorkS[jobClass] ?: 0.0) / share
        for (jobs in blocks) {
            // A job without objectives is neither late nor in time; it only takes its room.
            val (open, bound) = jobs.partition { Deadline.loosest(it, ctx.objectives).isOpen }
            val inTime = DeadlineFeasibility.choose(pendingWork(bound) { Deadline.tightest(it, ctx.objectives) }, busyS)
            busyS += inTime.sumOf { it.workS }
            val served = inTime.mapTo(HashSet()) { it.job }
            val rest = bound.filter { it !in served }
            val late = DeadlineFeasibility.choose(pendingWork(rest) { Deadline.loosest(it, ctx.objectives) }, busyS)
            busyS += late.sumOf { it.workS } + open.sumOf { workOf(it) }
            late.forEach { onLate(it.job, Feasibility.LATE) }
            late.mapTo(served) { it.job }
            bound.filter { it !in served }.forEach { onLate(it, Feasibility.OUT_OF_REACH) }
        }
    }
}

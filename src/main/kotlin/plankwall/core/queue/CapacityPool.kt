package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.core.state.Placement
import plankwall.core.statemachine.Context
import plankwall.model.Resources
import plankwall.model.Shape

/**
 * Capacity that many jobs share and that can't grow now: a team's quota, or the whole fleet where the cloud has no more
 * machines. In [total] a resource of 0 is not limited. Replicas never end, so those that are [placed] and the
 * [waitingReplicas] are subtracted from it. Work is measured in seconds for which it would occupy the whole pool.
 */
class CapacityPool(
    private val ctx: Context,
    total: Resources,
    placed: Sequence<Placement>,
    waitingReplicas: Resources,
) {
    /** The capacity that replicas leave to other tasks. */
    val taskCapacity: Resources

    /** By job class: the remaining work of the running tasks, in seconds of the whole pool. */
    private val runningWorkSByClass = HashMap<String, Double>()

    init {
        val (replicas, tasks) = placed.toList().partition { it.job.spec.shape == Shape.SERVICE }
        val takenByReplicas = replicas.fold(waitingReplicas) { sum, placement -> sum + placement.job.spec.need }
        taskCapacity = Resources(
            subtractReplicas(total.cpus, takenByReplicas.cpus),
            subtractReplicas(total.gpus, takenByReplicas.gpus),
            subtractReplicas(total.memory, takenByReplicas.memory),
        )
        for (task in tasks) {
            val workS = dominantShareOf(task.job.spec.need) * remainingS(task)
            runningWorkSByClass.merge(task.job.spec.jobClass, workS, Double::plus)
        }
    }

    /**
     * Subtracts what replicas take from a resource. At least 1 is left of a limited one, because 0 would mean no limit.
     */
    private fun subtractReplicas(total: Long, takenByReplicas: Long): Long =
        if (total == 0L) 0L else (total - takenByReplicas).coerceAtLeast(1L)

    /** Returns the seconds for which [task] should still run; its full estimate if its end is not known. */
    private fun remainingS(task: Placement): Double = task.secondsUntilEnd(ctx.now) ?: task.job.spec.estimateS

    private fun dominantShareOf(need: Resources): Double = need.dominantShareOf(taskCapacity)

    /**
     * Returns the work of [tasks] tasks of [job], in seconds of the whole pool, if each occupies its place for
     * [occupancyS].
     */
    fun workS(job: Job, tasks: Int, occupancyS: Double): Double = dominantShareOf(job.spec.need) * tasks * occupancyS

    /**
     * Reports to [onLate] the waiting jobs that can no longer meet all their service-level objectives, given the work
     * of the running tasks and of the jobs before them. [blocks] holds the jobs of equal standing together, the highest
     * standing first. [share] is the part of the pool on which these jobs can count. Running tasks of [jobClass] use
     * some of it, those of all classes if that is null. [occupancyS] returns for how long, in seconds, a task of a job
     * occupies its place.
     */
    fun classify(
        blocks: List<List<Job>>,
        share: Double,
        jobClass: String?,
        occupancyS: (Job) -> Double,
        onLate: (Job, Feasibility) -> Unit,
    ) {
        fun waitingWorkS(job: Job) = workS(job, job.waiting.size, occupancyS(job)) / share
        fun toPendingWork(jobs: List<Job>, deadlineOf: (Job) -> Deadline) = jobs.map {
            PendingWork(it, waitingWorkS(it), deadlineOf(it).secondsLeft(ctx.time.wallMs, it.spec.estimateS))
        }
        var busyS =
            (if (jobClass == null) runningWorkSByClass.values.sum() else runningWorkSByClass[jobClass] ?: 0.0) / share
        for (jobs in blocks) {
            // A job without objectives is neither late nor in time, but it takes its part of the capacity.
            val (withoutObjectives, withObjectives) =
                jobs.partition { Deadline.loosest(it, ctx.objectives).isUnbounded }
            val inTime = DeadlineFeasibility.selectFeasible(
                toPendingWork(withObjectives) { Deadline.tightest(it, ctx.objectives) },
                busyS,
            )
            busyS += inTime.sumOf { it.workS }
            val feasibleJobs = inTime.mapTo(HashSet()) { it.job }
            val notInTime = withObjectives.filter { it !in feasibleJobs }
            val late = DeadlineFeasibility.selectFeasible(
                toPendingWork(notInTime) { Deadline.loosest(it, ctx.objectives) },
                busyS,
            )
            busyS += late.sumOf { it.workS } + withoutObjectives.sumOf { waitingWorkS(it) }
            late.forEach { onLate(it.job, Feasibility.LATE) }
            late.mapTo(feasibleJobs) { it.job }
            withObjectives.filter { it !in feasibleJobs }.forEach { onLate(it, Feasibility.OUT_OF_REACH) }
        }
    }
}

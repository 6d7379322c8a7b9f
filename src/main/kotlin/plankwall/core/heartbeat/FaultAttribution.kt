package plankwall.core.heartbeat

import org.slf4j.LoggerFactory
import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context

/**
 * Attributes task failures to a faulty machine, which fails whatever it runs, or to a faulty job, which fails wherever
 * it runs. A single failure does not distinguish the two, but other tasks do: if the job runs well on other machines,
 * that is evidence against the machine; if other jobs run well on the machine, that is evidence against the job. While
 * tasks on the machine that started with those that failed can still become such evidence, the machine is left alone.
 *
 * The evidence is not stored. A new leader starts without any, which costs one round of tasks for each faulty job;
 * a write for each failure would cost more.
 */
class FaultAttribution(private val ctx: Context, private val schedulerState: SchedulerState, private val fleet: Fleet) {
    private val log = LoggerFactory.getLogger("heartbeat")

    /**
     * Records that the task of [placement] failed with an error. May mark its machine as faulty, or delay the retry of
     * its job if that is suspected.
     */
    fun onTaskFailed(placement: Placement) {
        val machine = placement.machine
        val job = placement.job
        machine.failedJobs.add(job.index.value)
        machine.lastFailedStartAt = earliestStartOf(placement)
        if (!machine.faulty) job.failedMachines.record(machine.index, ctx.now, ctx.random.nextDouble())
        markFaultyIfProven(machine)
        if (job.isSuspected) delayRetry(job)
    }

    /**
     * Records that the task of [placement] succeeded: its job is proven healthy, and earlier failures on its machine no
     * longer count against the machine.
     */
    fun onTaskSucceeded(placement: Placement) {
        placement.machine.failedJobs.clear()
        placement.job.failedMachines.remove(placement.machine.index)
        markJobSound(placement.job, "a task succeeded on ${placement.machine.id}")
    }

    /**
     * Records that a heartbeat shows the task of [placement] as running. Once it has run for [PROVEN_AFTER_HEARTBEATS]
     * heartbeat intervals, and for twice as long as any task of the job that failed, that proves the job healthy as a
     * success would, but many minutes earlier. It also clears the machine, if the task started no earlier than those
     * that failed there: a faulty machine fails what it starts, while tasks that run already may go on.
     */
    fun onTaskRunning(placement: Placement) {
        if (placement.runningSince <= 0.0) return
        val ranS = ctx.now - placement.runningSince
        if (isWitness(placement) && ranS > provenAfterS(longestFailedRunS(placement.machine))) clear(placement)
        val job = placement.job
        if (job.provenSound || job.failedMachines.isEmpty()) return
        if (ranS > provenAfterS(job.longestFailedRunS)) {
            markJobSound(job, "task ${placement.id} keeps running on ${placement.machine.id}")
        }
    }

    /** Returns for how long a task must run to count as running well where others ran for [failedRunS] and failed. */
    private fun provenAfterS(failedRunS: Double): Double =
        maxOf(ctx.settings.workers.heartbeatIntervalS * PROVEN_AFTER_HEARTBEATS, failedRunS * 2)

    private fun longestFailedRunS(machine: Machine): Double =
        failedJobsOf(machine).maxOfOrNull { it.longestFailedRunS } ?: 0.0

    private fun failedJobsOf(machine: Machine): List<Job> =
        schedulerState.liveJobs.filter { it.index.value in machine.failedJobs }

    /** Ends the suspicion against the machine of [witness], a task that runs well there. */
    private fun clear(witness: Placement) {
        val machine = witness.machine
        log.info("machine no longer suspected machine={} task={} keeps running", machine.id, witness.id)
        machine.failedJobs.clear()
    }

    /**
     * Whether [placement] can tell a faulty machine from faulty jobs: it is on a machine where tasks of other jobs
     * failed, and did not start before these.
     */
    private fun isWitness(placement: Placement): Boolean {
        val machine = placement.machine
        return machine.failedJobs.isNotEmpty() &&
            !machine.faulty &&
            placement.job.index.value !in machine.failedJobs &&
            placement.stopping == null &&
            (placement.runningSince <= 0.0 || placement.runningSince >= machine.lastFailedStartAt)
    }

    /** Returns the earliest time at which the task of [placement], which has failed, can have started. */
    private fun earliestStartOf(placement: Placement): Double {
        val machine = placement.machine
        return when {
            placement.runningSince > 0.0 -> placement.runningSince
            machine.lastHeartbeatAt < ctx.now -> machine.lastHeartbeatAt
            else -> machine.previousHeartbeatAt
        }
    }

    /** Ends the suspicion against [job]; from now on its failures are attributed to machines. */
    private fun markJobSound(job: Job, reason: String) {
        if (job.provenSound) return
        val wasSuspected = job.isSuspected
        job.provenSound = true
        job.failedRetries = 0
        job.backoffUntil = 0.0
        if (wasSuspected) log.info("job no longer suspected job={} reason={}", job.spec.id, reason)
        // Failures of a healthy job are stronger evidence, so machines on which it failed may now count as faulty.
        fleet.machines.filter { job.index.value in it.failedJobs }.forEach(::markFaultyIfProven)
    }

    /** Delays the next retry of the suspected [job]; each failed retry doubles the delay, up to [MAX_BACKOFF_S]. */
    private fun delayRetry(job: Job) {
        val delayS = minOf(MAX_BACKOFF_S, MIN_BACKOFF_S * (1 shl minOf(job.failedRetries++, MAX_DOUBLINGS)))
        job.backoffUntil = ctx.now + delayS
        log.info(
            "job suspected, retried one task at a time job={} failed_machines={} retry_in_s={}",
            job.spec.id,
            job.failedMachines.size,
            delayS,
        )
    }

    /**
     * Marks [machine] as faulty if the jobs that failed on it add up to enough evidence, see [FAULTY_EVIDENCE]. Its
     * failures then no longer count against those jobs.
     */
    private fun markFaultyIfProven(machine: Machine) {
        if (machine.faulty || machine.failedJobs.isEmpty()) return
        val failedJobs = failedJobsOf(machine)
        if (failedJobs.sumOf { evidenceWeightOf(it) } < FAULTY_EVIDENCE) return
        if (failedJobs.none { it.provenSound } && machine.placements.values.any(::isWitness)) {
            awaitWitnesses(machine)
            return
        }
        machine.faulty = true
        log.info("machine marked as faulty machine={} failed_jobs={}", machine.id, failedJobs.map { it.spec.id })
        // Failures on a faulty machine are no evidence against the jobs.
        for (job in failedJobs) {
            val wasSuspected = job.isSuspected
            job.failedMachines.remove(machine.index)
            if (wasSuspected && !job.isSuspected) {
                job.failedRetries = 0
                job.backoffUntil = 0.0
            }
        }
    }

    /**
     * Leaves [machine] and what runs there alone until it is known whether tasks that started with those that failed
     * run well. It gets no more tasks for so long.
     */
    private fun awaitWitnesses(machine: Machine) {
        machine.blockedUntil = maxOf(machine.blockedUntil, ctx.now + provenAfterS(longestFailedRunS(machine)))
        log.info("machine suspected, gets no tasks machine={} until other tasks run well or fail there", machine.id)
    }

    /** Returns the weight of a failure of [job] as evidence against the machine on which it failed. */
    private fun evidenceWeightOf(job: Job): Int = when {
        job.provenSound -> 2
        job.isSuspected -> 0
        else -> 1
    }

    private companion object {
        /** The sum of the evidence weights of its failed jobs from which a machine counts as faulty. */
        const val FAULTY_EVIDENCE = 2
        const val MIN_BACKOFF_S = 3.0
        const val MAX_BACKOFF_S = 120.0

        /** Bounds the exponent of the backoff, so that the shift can't overflow. */
        const val MAX_DOUBLINGS = 10

        /** The minimum number of heartbeat intervals for which a task has to run to prove its job healthy. */
        const val PROVEN_AFTER_HEARTBEATS = 2.0
    }
}

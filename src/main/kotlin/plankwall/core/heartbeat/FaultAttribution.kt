package plankwall.core.heartbeat

import org.slf4j.LoggerFactory
import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context

/**
 * Who is to blame for tasks that fail: a machine that fails whatever it gets, or a job submitted with a mistake, which
 * fails wherever it runs. One failure can't tell. What tells is the others: a job that ran well elsewhere accuses the
 * machine, a machine where other jobs run well accuses the job.
 *
 * Nothing of it is stored. A new leader begins without suspicions; that costs one round of tasks for each job with a
 * mistake, and a change for every failure would cost more.
 */
class FaultAttribution(private val ctx: Context, private val schedulerState: SchedulerState, private val fleet: Fleet) {
    private val log = LoggerFactory.getLogger("workers")

    fun failed(p: Placement) {
        val m = p.machine
        val job = p.job
        m.failedJobs.add(job.ix.value)
        if (!m.faulty) job.failedOn.add(m.ix.value)
        judge(m)
        if (job.suspect) putOff(job)
    }

    /** A task of [p]'s job is done there: neither of the two is at fault. */
    fun succeeded(p: Placement) {
        p.machine.failedJobs.clear()
        p.job.failedOn.remove(p.machine.ix.value)
        clear(p.job, "a task of it is done on ${p.machine.id}")
    }

    /** [p] still runs: after a while that says as much as its end, which may be many minutes away. */
    fun runs(p: Placement) {
        if (p.job.provenSound || p.job.failedOn.isEmpty() || p.runningSince <= 0.0) return
        if (ctx.now - p.runningSince >
            maxOf(ctx.settings.workers.reportS * RUNS_WELL_REPORTS, p.job.longestFailS * 2)
        ) {
            clear(p.job, "${p.id} runs well on ${p.machine.id}")
        }
    }

    private fun clear(job: Job, why: String) {
        if (job.provenSound) return
        val suspected = job.suspect
        job.provenSound = true
        job.failedProbes = 0
        job.backoffUntil = 0.0
        if (suspected) log.info("job {} is sound after all: {}", job.spec.id, why)
        // What it failed on weighs more from now on.
        fleet.machines.filter { job.ix.value in it.failedJobs }.forEach(::judge)
    }

    private fun putOff(job: Job) {
        val pause = minOf(LONGEST_S, FIRST_S * (1 shl minOf(job.failedProbes++, 10)))
        job.backoffUntil = ctx.now + pause
        log.info(
            "job {} failed on {} machines and ran well on none: tried again in {} s, one task at a time",
            job.spec.id,
            job.failedOn.size,
            pause,
        )
    }

    private fun judge(m: Machine) {
        if (m.faulty || m.failedJobs.isEmpty()) return
        val accusers = schedulerState.live.filter { it.ix.value in m.failedJobs }
        if (accusers.sumOf { weightOf(it) } < ENOUGH) return
        m.faulty = true
        log.info("machine {} counted as faulty: {} failed on it", m.id, accusers.map { it.spec.id })
        // What failed there says nothing against the job any more.
        for (job in accusers) {
            val suspected = job.suspect
            job.failedOn.remove(m.ix.value)
            if (suspected && !job.suspect) {
                job.failedProbes = 0
                job.backoffUntil = 0.0
            }
        }
    }

    /** How much a failure of [job] says against a machine. */
    private fun weightOf(job: Job): Int = when {
        job.provenSound -> 2
        job.suspect -> 0
        else -> 1
    }

    private companion object {
        const val ENOUGH = 2
        const val FIRST_S = 3.0
        const val LONGEST_S = 120.0
        const val RUNS_WELL_REPORTS = 2.0
    }
}

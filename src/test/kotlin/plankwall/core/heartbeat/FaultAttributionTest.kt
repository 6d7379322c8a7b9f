package plankwall.core.heartbeat

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.state.Job
import plankwall.fixtures.CoreParts
import plankwall.simulation.SimulatedCluster

/** Tests which machines are marked as faulty, and which jobs are suspected, after tasks failed or succeeded. */
class FaultAttributionTest {
    private val core = CoreParts()
    private val faultAttribution = FaultAttribution(core.ctx, core.schedulerState, core.fleet)

    private fun findOrLearn(number: Int): Job =
        core.schedulerState.find("job-%06d".format(number)) ?: core.learn(SimulatedCluster.job(number, tasks = 20))

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, events in order (1-A: a task of job 1 failed on machine A, 1+A: it succeeded), faulty machines,
        // suspected jobs
        "'one failure marks neither the machine nor the job', '1-A', '', ''",
        // Guards against a sound machine being returned: an array of 25 tasks failed at once, and the machine that had
        // two of them was returned with all its work.
        "'several failures of one job on one machine count as one', '1-A 1-A 1-A', '', ''",
        "'a job that fails everywhere is suspected and marks no machine', '1-A 1-B 1-C 2+A', '', '1'",
        "'two jobs that failed elsewhere first mark no machine', '1-A 1-B 2-C 2-D 1-E 2-E', '', '1 2'",
        "'two jobs that failed nowhere else mark the machine', '1-A 2-A', 'A', ''",
        "'two jobs do not mark a machine on which another succeeded in between', '1-A 3+A 2-A', '', ''",
        "'one failure marks the machine when the job succeeded elsewhere before', '1+B 1-A', 'A', ''",
        "'one failure marks the machine when the job succeeds elsewhere later', '1-A 1+B', 'A', ''",
        "'a failure on a faulty machine no longer counts against the job', '1-A 1-B 2-A 3-A', 'A', ''",
        "'one success elsewhere clears a job and marks both machines that failed it', '1-A 1-B 1+C', 'A B', ''",
    )
    fun `failures are attributed to a faulty machine or to a faulty job`(
        name: String,
        events: String,
        machines: String,
        jobs: String,
    ) {
        for (event in events.split(' ')) {
            val job = findOrLearn(event.first().digitToInt())
            val placement = core.schedulerState.place(
                job,
                job.waiting.first(),
                core.machine(event.last().toString()),
                core.schedulerState.newAttempt(),
            )
            if ('+' in event) {
                faultAttribution.onTaskSucceeded(placement)
                core.schedulerState.complete(job, placement.task)
            } else {
                faultAttribution.onTaskFailed(placement)
            }
            core.schedulerState.release(placement, "ended")
        }
        assertEquals(machines, core.fleet.machines.filter { it.faulty }.joinToString(" ") { it.id }, name)
        val liveJobs = core.schedulerState.liveJobs.sortedBy { it.spec.id }
        assertEquals(jobs, liveJobs.filter { it.isSuspected }.joinToString(" ") { it.spec.id.last().toString() }, name)
        liveJobs.forEach {
            assertEquals(
                it.isSuspected,
                it.backoffUntil > core.ctx.now,
                "${it.spec.id} is delayed only while suspected",
            )
        }
    }

    @ParameterizedTest(name = "after {0} failures the job is retried in {1} s")
    @CsvSource("2, 3", "3, 6", "5, 24", "40, 120")
    fun `a suspected job is retried with exponential backoff`(failures: Int, retryDelayS: Double) {
        val job = findOrLearn(1)
        repeat(failures) { index ->
            faultAttribution.onTaskFailed(
                core.schedulerState.place(job, job.waiting.first(), core.machine("m$index"), 1).also {
                    core.schedulerState.release(it, "ended")
                },
            )
        }
        assertEquals(retryDelayS, job.backoffUntil - core.ctx.now, 0.01)
    }

    /**
     * Guards against a sound machine that two mistaken jobs condemn: it was deleted with six tasks that had started with
     * theirs and ran well.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, when the other task began to run, relative to the failures, how long it has run (0: still fetching),
        // whether it fails as well, whether the machine is faulty in the end
        "'a task that started with those that failed and runs on clears the machine', 0, 10, false, false",
        "'a task that has only just started leaves the machine in doubt', 0, 3, false, false",
        "'a task that still fetches its image leaves the machine in doubt', 0, 0, false, false",
        "'a task that started before those that failed proves nothing', -20, 30, false, true",
        "'a machine where all that started together fails is faulty', 0, 3, true, true",
    )
    fun `a machine is not faulty while other tasks that it started run well`(
        name: String,
        startedAfterS: Double,
        ranS: Double,
        fails: Boolean,
        faulty: Boolean,
    ) {
        val machine = core.machine("A").apply {
            previousHeartbeatAt = core.ctx.now - 1.0
            lastHeartbeatAt = core.ctx.now
        }
        val failing = listOf(1, 2).map { core.schedulerState.place(findOrLearn(it), 0, machine, 1) }
        val other = core.schedulerState.place(findOrLearn(3), 0, machine, 1)
        if (startedAfterS < 0.0) other.runningSince = core.ctx.now + startedAfterS
        for (placement in failing) {
            faultAttribution.onTaskFailed(placement)
            core.schedulerState.release(placement, "ended")
        }
        if (ranS > 0.0 && other.runningSince == 0.0) other.runningSince = core.ctx.now
        core.ctx.time.advance(core.ctx.now + ranS, 0)
        if (fails) faultAttribution.onTaskFailed(other) else faultAttribution.onTaskRunning(other)
        assertEquals(faulty, machine.faulty, name)
        assertEquals(ranS >= 10.0 && !faulty, machine.failedJobs.isEmpty(), "evidence against the machine is dropped")
    }

    /** Guards against a job that never again uses a machine that was faulty for some seconds. */
    @ParameterizedTest(name = "after {0} failures on one machine it is avoided for {1} to {2} s")
    @CsvSource("1, 12, 18", "2, 24, 36", "3, 40, 60", "40, 40, 60")
    fun `a job is tried again on a machine where it failed, after a bounded backoff`(
        failures: Int,
        fromS: Double,
        untilS: Double,
    ) {
        val job = findOrLearn(1)
        val machine = core.machine("A")
        repeat(failures) {
            val placement = core.schedulerState.place(job, job.waiting.first(), machine, it + 1L)
            faultAttribution.onTaskFailed(placement)
            core.schedulerState.release(placement, "ended")
        }
        assertTrue(job.failedMachines.isAvoided(machine.index, core.ctx.now + fromS - 0.01))
        assertFalse(job.failedMachines.isAvoided(machine.index, core.ctx.now + untilS + 0.01))
    }

    @ParameterizedTest(name = "a task ran for {0} s, others failed at once: job suspected {1}")
    @CsvSource("3, true", "7, false")
    fun `a task that keeps running for a while clears its job like one that succeeds`(
        ranS: Double,
        suspected: Boolean,
    ) {
        val job = findOrLearn(1)
        listOf("A", "B").forEach {
            faultAttribution.onTaskFailed(core.schedulerState.place(job, job.waiting.first(), core.machine(it), 1))
        }
        val placement = core.schedulerState.place(job, job.waiting.first(), core.machine("C"), 2).apply {
            runningSince = core.ctx.now - ranS
        }
        faultAttribution.onTaskRunning(placement)
        assertEquals(suspected, job.isSuspected)
    }
}

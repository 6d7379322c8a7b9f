package plankwall.core.heartbeat

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.state.Job
import plankwall.fixtures.CoreParts
import plankwall.simulation.SimulatedCluster

/** What is marked faulty after tasks of jobs 1, 2, … failed (-) or succeeded (+) on machines A, B, …, in this order. */
class FaultAttributionTest {
    private val core = CoreParts()
    private val faultAttribution = FaultAttribution(core.ctx, core.schedulerState, core.fleet)

    private fun job(number: Int): Job =
        core.schedulerState.find("job-%06d".format(number)) ?: core.learn(SimulatedCluster.job(number, tasks = 20))

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "'one failure is not enough', '1-A', '', ''",
        // An array of 25 tasks failed at once; the machine that had two of them was returned with all its work.
        "'several tasks of one job on one machine are no more', '1-A 1-A 1-A', '', ''",
        "'a job that fails everywhere marks no machine', '1-A 1-B 1-C 2+A', '', '1'",
        "'nor do two of them, that failed elsewhere first', '1-A 1-B 2-C 2-D 1-E 2-E', '', '1 2'",
        "'two jobs that failed nowhere else mark it', '1-A 2-A', 'A', ''",
        "'not if anything was done there meanwhile', '1-A 3+A 2-A', '', ''",
        "'a job that is done elsewhere marks it alone', '1+B 1-A', 'A', ''",
        "'also if it is done elsewhere later', '1-A 1+B', 'A', ''",
        "'what failed on a faulty machine is cleared of it', '1-A 1-B 2-A 3-A', 'A', ''",
        "'a job that ran on faulty machines only recovers at once, and both machines are marked', '1-A 1-B 1+C', 'A B', ''",
    )
    fun `tells faulty machines from faulty jobs`(name: String, events: String, machines: String, jobs: String) {
        for (event in events.split(' ')) {
            val job = job(event.first().digitToInt())
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
        val live = core.schedulerState.liveJobs.sortedBy { it.spec.id }
        assertEquals(jobs, live.filter { it.isSuspected }.joinToString(" ") { it.spec.id.last().toString() }, name)
        live.forEach {
            assertEquals(
                it.isSuspected,
                it.backoffUntil > core.ctx.now,
                "${it.spec.id} is delayed only while suspected",
            )
        }
    }

    @ParameterizedTest(name = "after {0} failures it is retried in {1} s")
    @CsvSource("2, 3", "3, 6", "5, 24", "40, 120")
    fun `a suspected job is retried with exponential backoff`(failures: Int, pauseS: Double) {
        val job = job(1)
        repeat(failures) { n ->
            faultAttribution.onTaskFailed(
                core.schedulerState.place(job, job.waiting.first(), core.machine("m$n"), 1).also {
                    core.schedulerState.release(it, "ended")
                },
            )
        }
        assertEquals(pauseS, job.backoffUntil - core.ctx.now, 0.01)
    }

    @ParameterizedTest(name = "after {0} s beside a failure at once: suspected {1}")
    @CsvSource("3, true", "7, false")
    fun `running on for a while clears a job as much as its end`(ranS: Double, doubtful: Boolean) {
        val job = job(1)
        listOf("A", "B").forEach {
            faultAttribution.onTaskFailed(core.schedulerState.place(job, job.waiting.first(), core.machine(it), 1))
        }
        val placement = core.schedulerState.place(job, job.waiting.first(), core.machine("C"), 2).apply {
            runningSince = core.ctx.now - ranS
        }
        faultAttribution.onTaskRunning(placement)
        assertEquals(doubtful, job.isSuspected)
    }
}

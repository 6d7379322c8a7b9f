package plankwall.core.state

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.fixtures.CoreParts
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster

/** Tests that a gang of any size is stopped on the small stack of a controller's threads. */
class LargeGangTest {
    /**
     * Guards against a gang whose release needs a stack as deep as it has tasks: the overflow ended the leader's watch
     * of the jobs, and no later job ever started.
     */
    @ParameterizedTest(name = "{0} tasks, {1}")
    @CsvSource(
        "1000, CANCELLED", "1000, DRAINED", "1000, LOST",
        "10000, CANCELLED", "10000, DRAINED", "10000, LOST",
        "100000, CANCELLED", "100000, DRAINED", "100000, LOST",
    )
    fun `all tasks of a gang that were never commanded are released`(tasks: Int, event: String) {
        val core = CoreParts()
        val job = core.learn(SimulatedCluster.job(1, Shape.GANG, tasks = tasks))
        val placements = List(tasks) { core.schedulerState.place(job, it, core.machine("i-${it / 500}"), attempt = 7) }
        runOnSmallStack {
            when (event) {
                "CANCELLED" -> core.schedulerState.onCancelled(job.spec.id)
                "DRAINED" -> core.schedulerState.stopWithCheckpoint(placements.first(), StopCause.DRAINED)
                else -> core.schedulerState.release(placements.first(), "machine lost")
            }
        }
        assertEquals(0, job.placements.size)
        assertEquals(0, job.stoppingCount)
        assertEquals(Resources.NONE, core.schedulerState.usedBy(job.team))
        assertEquals(Resources.NONE, core.machine("i-0").used)
        assertEquals((0 until tasks).toSet(), job.waiting.toSet())
    }

    /** Guards against a cost that grows with the square of the tasks: each lost task looked at all others. */
    @Test
    @Timeout(MAX_TEST_S)
    fun `tasks of a running gang that are lost one by one are all stopped once and released`() {
        val tasks = 100_000
        val core = CoreParts()
        val job = core.learn(SimulatedCluster.job(1, Shape.GANG, tasks = tasks))
        val placements = List(tasks) {
            core.schedulerState.place(job, it, core.machine("i-${it / 500}"), attempt = 7).apply { isCommanded = true }
        }
        core.schedulerState.release(placements.first(), "machine lost")
        assertEquals(tasks - 1, job.stoppingCount)
        assertEquals(setOf(StopCause.GANG), job.placements.values.map { it.stopping }.toSet())
        core.schedulerState.onCancelled(job.spec.id)
        assertEquals(setOf(StopCause.CANCELLED), job.placements.values.map { it.stopping }.toSet())
        placements.drop(1).forEach { core.schedulerState.release(it, "machine lost") }
        assertEquals(0, job.placements.size + job.stoppingCount)
    }

    private fun runOnSmallStack(action: () -> Unit) {
        var failure: Throwable? = null
        val thread = Thread(null, action, "small stack", STACK_BYTES)
        thread.setUncaughtExceptionHandler { _, thrown -> failure = thrown }
        thread.start()
        thread.join()
        assertNull(failure)
    }

    private companion object {
        /** The stack of a thread by the run line of the deploy file. */
        const val STACK_BYTES = 256L * 1024

        /** A hundred times what a busy machine takes for a cost in proportion to the tasks. */
        const val MAX_TEST_S = 30L
    }
}

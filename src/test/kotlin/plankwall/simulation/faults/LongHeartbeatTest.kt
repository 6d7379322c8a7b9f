package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster

/** Tests jobs of more tasks than the heartbeat of one machine holds. */
class LongHeartbeatTest {
    /**
     * Guards against a gang of tiny tasks on one machine, whose heartbeat no controller read: its lease expired in each
     * round, and the tasks of other jobs were killed along with the gang.
     */
    @ParameterizedTest(name = "{0} tasks")
    @ValueSource(ints = [1200, 6000])
    fun `a gang of tiny tasks and the jobs beside it end without a lost lease`(tasks: Int) {
        val cluster = SimulatedCluster(seed = 5)
        cluster.submit(SimulatedCluster.job(1, tasks = 2, runS = 60.0))
        cluster.clock.runUntil(25.0)
        cluster.submit(
            SimulatedCluster.job(2, Shape.GANG, tasks = tasks, runS = 40.0).copy(need = Resources(10, 0, 10)),
        )
        cluster.clock.runUntil(200.0)
        assertEquals(0, cluster.tasksKilledByLease)
        assertEquals(null, cluster.faults.counts["reports too long"])
        assertEquals(listOf("done", "done"), listOf(1, 2).map { cluster.stageOf("job-%06d".format(it)) })
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }
}

package plankwall.core.autoscaling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.fixtures.CoreParts
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster

/** What is rented for one waiting task beside one busy machine. */
class EstimatorTest {
    private val core = CoreParts()
    private val ctx = core.ctx

    private fun learn(number: Int, gpus: Long, runS: Double, waitedS: Double) =
        core.learn(SimulatedCluster.job(number, tasks = 1, gpus = gpus, runS = runS), waitedS)

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, accelerators wanted, seconds waited, seconds until the running task should end, arriving machines,
        // machines rented
        "'room comes free before a new machine could', 4, 0, 5, 0, 0",
        "'a task put off with that for a while is put off no more', 4, 10, 5, 0, 1",
        "'room comes free too late', 4, 0, 100, 0, 1",
        "'room is left', 1, 60, 100, 0, 0",
        "'a machine is on its way', 4, 60, 100, 1, 0",
    )
    fun `rents what nothing else will give`(
        name: String,
        gpus: Long,
        waitedS: Double,
        endsInS: Double,
        arriving: Int,
        rented: Int,
    ) {
        val m = core.machine("i-000001")
        val runS = maxOf(20.0, endsInS * 2)
        val running = learn(1, 3, runS, 300.0)
        core.schedulerState.place(running, 0, m, 1).runningSince = ctx.now - runS + endsInS
        val waiting = learn(4, gpus, 20.0, waitedS)
        val demand = ScaleOutDemand(
            running = listOf(m),
            arriving = List(arriving) { CoreParts.GROUP },
            pending = listOf(waiting),
            countWaitingTasks = { it.waiting.size },
        )
        val wanted = Estimator(ctx, core.schedulerState, SimulatedCluster.CATALOG)
            .estimate(demand, ExpandableGroups({ true }) { 0 })
        assertEquals(rented, wanted.values.sum(), name)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, replicas, of them on a machine believed lost, spread, healthy groups, where starts do not fail,
        // machines rented
        "'four replicas fill one machine', 8, 4, false, true, true, 1",
        "'their own zone is open to them again', 8, 4, true, true, true, 1",
        "'a limit that the lost ones still use up', 16, 8, false, true, true, 2",
        "'no sound group: any where machines come up', 8, 4, false, false, true, 1",
        "'nor there', 8, 4, false, false, false, 0",
    )
    fun `rents for replicas that are believed lost`(
        name: String,
        tasks: Int,
        lost: Int,
        spread: Boolean,
        healthy: Boolean,
        starts: Boolean,
        rented: Int,
    ) {
        val job = core.learn(SimulatedCluster.job(1, Shape.SERVICE, tasks = tasks, team = "red", spread = spread))
        val silent = core.machine("i-000001")
        val other = core.machine("i-000002")
        val placed = (0 until tasks).map {
            core.schedulerState.place(
                job,
                it,
                if (it < lost) silent else other,
                it + 1L,
            )
        }
        val demand = ScaleOutDemand(
            running = emptyList(),
            arriving = emptyList(),
            pending = listOf(job),
            countWaitingTasks = { it.waiting.size },
            endangered = mapOf(job to placed.take(lost).toSet()),
        )
        val groups = ExpandableGroups({ healthy }, mayExpandForService = { starts }) { if (it == "a") 0 else 5 }
        val wanted = Estimator(ctx, core.schedulerState, SimulatedCluster.CATALOG).estimate(demand, groups)
        assertEquals(rented, wanted.values.sum(), name)
    }
}

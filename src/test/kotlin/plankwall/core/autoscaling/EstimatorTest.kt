package plankwall.core.autoscaling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.fixtures.CoreParts
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster

/** Tests how many machines are requested for a waiting task beside one busy machine, and for endangered replicas. */
class EstimatorTest {
    private val core = CoreParts()
    private val ctx = core.ctx

    private fun learn(number: Int, gpus: Long, runS: Double, waitedS: Double) =
        core.learn(SimulatedCluster.job(number, tasks = 1, gpus = gpus, runS = runS), waitedS)

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, accelerators that the task needs, seconds waited, seconds until the running task should end, arriving
        // machines, requested machines
        "'no machine is requested when capacity comes free before a new one could boot', 4, 0, 5, 0, 0",
        "'a machine is requested when the task has waited long enough for capacity to come free', 4, 10, 5, 0, 1",
        "'a machine is requested when capacity comes free too late', 4, 0, 100, 0, 1",
        "'no machine is requested when the running one has free capacity', 1, 60, 100, 0, 0",
        "'no machine is requested when one is about to arrive', 4, 60, 100, 1, 0",
    )
    fun `a machine is requested only for a task that no other capacity will serve`(
        name: String,
        gpus: Long,
        waitedS: Double,
        endsInS: Double,
        arriving: Int,
        requested: Int,
    ) {
        val machine = core.machine("i-000001")
        val runS = maxOf(20.0, endsInS * 2)
        val running = learn(1, 3, runS, 300.0)
        core.schedulerState.place(running, 0, machine, 1).runningSince = ctx.now - runS + endsInS
        val waiting = learn(4, gpus, 20.0, waitedS)
        val demand = ScaleOutDemand(
            running = listOf(machine),
            arriving = List(arriving) { CoreParts.GROUP },
            pending = listOf(waiting),
            countWaitingTasks = { it.waiting.size },
        )
        val requests = Estimator(ctx, core.schedulerState, SimulatedCluster.CATALOG)
            .estimate(demand, ExpandableGroups({ true }) { 0 })
        assertEquals(requested, requests.values.sum(), name)
    }

    /**
     * Guards against a gang that waits for ever: by its needs it fits on one machine, and no other was requested,
     * although the heartbeat of one machine can't hold all its tasks.
     */
    @ParameterizedTest(name = "{0} tasks, {1} running and {2} arriving machines, {3} requested")
    @CsvSource("1200, 0, 0, 3", "1200, 1, 0, 2", "1200, 1, 2, 0", "1200, 0, 1, 2", "400, 0, 0, 1")
    fun `machines are requested for as many tasks as their heartbeats hold`(
        tasks: Int,
        running: Int,
        arriving: Int,
        requested: Int,
    ) {
        val gang = core.learn(SimulatedCluster.job(1, Shape.GANG, tasks).copy(need = Resources(1, 0, 1)))
        val demand = ScaleOutDemand(
            running = List(running) { core.machine("i-00000$it") },
            arriving = List(arriving) { CoreParts.GROUP },
            pending = listOf(gang),
            countWaitingTasks = { it.waiting.size },
        )
        val requests = Estimator(ctx, core.schedulerState, SimulatedCluster.CATALOG)
            .estimate(demand, ExpandableGroups({ true }) { 0 })
        assertEquals(requested, requests.values.sum())
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, replicas, how many of them are on a machine presumed lost, whether they are spread over zones, whether
        // the groups are healthy, whether starts succeed there, requested machines
        "'one machine is requested for four replacements', 8, 4, false, true, true, 1",
        "'replacements may go to the zone of the replicas that they replace', 8, 4, true, true, true, 1",
        "'replacements take over the quota that the lost replicas still use', 16, 8, false, true, true, 2",
        "'a machine is requested in any group where starts succeed when none is healthy', 8, 4, false, false, true, 1",
        "'no machine is requested when no group is healthy and starts fail', 8, 4, false, false, false, 0",
    )
    fun `machines are requested to replace replicas on machines that are presumed lost`(
        name: String,
        replicas: Int,
        lostReplicas: Int,
        spread: Boolean,
        healthy: Boolean,
        startsSucceed: Boolean,
        requested: Int,
    ) {
        val job = core.learn(SimulatedCluster.job(1, Shape.SERVICE, tasks = replicas, team = "red", spread = spread))
        val silentMachine = core.machine("i-000001")
        val otherMachine = core.machine("i-000002")
        val placements = (0 until replicas).map {
            core.schedulerState.place(
                job,
                it,
                if (it < lostReplicas) silentMachine else otherMachine,
                it + 1L,
            )
        }
        val demand = ScaleOutDemand(
            running = emptyList(),
            arriving = emptyList(),
            pending = listOf(job),
            countWaitingTasks = { it.waiting.size },
            endangered = mapOf(job to placements.take(lostReplicas).toSet()),
        )
        val groups = ExpandableGroups({ healthy }, mayExpandForService = { startsSucceed }) { if (it == "a") 0 else 5 }
        val requests = Estimator(ctx, core.schedulerState, SimulatedCluster.CATALOG).estimate(demand, groups)
        assertEquals(requested, requests.values.sum(), name)
    }
}

package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.autoscaling.DemandForecast
import plankwall.core.autoscaling.Estimator
import plankwall.core.autoscaling.ExpandableGroups
import plankwall.core.autoscaling.LeftoverCapacityScaling
import plankwall.core.autoscaling.ScaleOutDemand
import plankwall.core.placement.Placer
import plankwall.core.state.StopCause
import plankwall.fixtures.CoreParts
import plankwall.model.Objective
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster

/** Work that nobody stated an aim for, and sweeps of short tasks: what they get, and what they leave to others. */
class BestEffortJobsTest {
    private val core =
        CoreParts(listOf(Objective("finished", "sweep", 400.0, 0.8), Objective("wait", "class", 100.0, 0.9)))
    private val ctx = core.ctx

    /**
     * The incidents: 25,000 tasks of four seconds, and 3,822 that may wait, took every machine of the cloud at the
     * dearest price.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, class, tasks, run time, may use spot, has waited long, machines allowed in this round, machines rented,
        // of them spot
        "'work with an aim is rented for, spot where it may', class, 40, 60, true, false, 3, 10, 10",
        "'spare-time work at a pace', spare, 40, 60, true, false, 3, 3, 3",
        "'not at all while much is under way', spare, 40, 60, true, false, 0, 0, 0",
        "'on ordinary machines where it has no choice', spare, 40, 60, false, false, 3, 3, 0",
        "'a sweep follows itself on few machines', sweep, 25000, 2, true, false, 0, 110, 110",
        "'short tasks that may start a while later share places', class, 8, 2, true, false, 0, 1, 1",
        "'tasks as long as a boot have a place each', sweep, 40, 12, true, false, 0, 10, 10",
    )
    fun `rents for them`(
        name: String,
        kind: String,
        tasks: Int,
        runS: Double,
        spot: Boolean,
        overlooked: Boolean,
        left: Int,
        rented: Int,
        ofSpot: Int,
    ) {
        val job = core.learn(
            SimulatedCluster.job(1, tasks = tasks, runS = runS, spot = spot).copy(jobClass = kind),
        ).also {
            it.starving =
                overlooked
        }
        val demand = ScaleOutDemand(emptyList(), emptyList(), listOf(job), { it.waiting.size })
        val wanted = Estimator(ctx, core.schedulerState, SimulatedCluster.CATALOG)
            .estimate(demand, ExpandableGroups({ true }) { 0 }, LeftoverCapacityScaling(left) { true })
        assertEquals(rented, wanted.values.sum(), name)
        assertEquals(ofSpot, wanted.filterKeys { it.spot }.values.sum(), name)
    }

    /**
     * What waited of guests once filled, in the estimate, the room that was kept for guaranteed teams, and more was
     * rented for ever.
     */
    @ParameterizedTest(name = "a class of {0}: {1} more machines for what is expected")
    @CsvSource("spare, 0", "class, 1")
    fun `what is still to come is reckoned with before spare-time work`(kind: String, more: Int) {
        val m = core.machine("i-000001").apply { registeredAt = ctx.now }
        val waiting = core.learn(SimulatedCluster.job(1, tasks = 4, spot = true).copy(jobClass = kind))
        val demand = ScaleOutDemand(
            running = listOf(m),
            arriving = emptyList(),
            pending = listOf(waiting),
            countWaitingTasks = { it.waiting.size },
            forecast = DemandForecast(Resources.NONE, SimulatedCluster.CATALOG.types.single().capacity),
        )
        val wanted = Estimator(ctx, core.schedulerState, SimulatedCluster.CATALOG)
            .estimate(demand, ExpandableGroups({ true }) { 0 })
        assertEquals(more, wanted.filterKeys { !it.spot }.values.sum())
    }

    /**
     * On a small day of which only one class had an aim, the bound of half the fleet starved another beside an idle
     * cloud.
     */
    @ParameterizedTest(name = "{0} machines, {1} arriving, {2} taken, others wait {3}: {4} more")
    @CsvSource(
        "100, 0, 0, true, 25", "100, 20, 0, true, 5", "100, 30, 0, true, 0", "100, 0, 40, true, 10",
        "100, 0, 60, true, 0",
        "100, 0, 60, false, 25", "8, 0, 4, true, 0", "8, 0, 4, false, 4", "8, 3, 8, false, 1", "0, 0, 0, true, 4",
    )
    fun `the pace at which spare time is rented for`(
        fleet: Int,
        arriving: Int,
        taken: Double,
        contested: Boolean,
        left: Int,
    ) = assertEquals(left, LeftoverCapacityScaling.computeMachineLimit(fleet, arriving, taken, contested))

    private fun ready(name: String) = core.machine(name).apply {
        registeredAt = ctx.now
        lastHeartbeatAt = ctx.now
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "'an empty ordinary machine could go back', spare, false, false, false, 0",
        "'one with a replica stays anyway', spare, true, false, false, 2",
        "'unless it is to run empty', spare, true, true, false, 0",
        "'one that has waited long goes anywhere', spare, false, false, true, 2",
        "'others do as before', class, false, false, false, 2",
    )
    fun `keeps no machine from being returned`(
        name: String,
        kind: String,
        replica: Boolean,
        surplus: Boolean,
        overlooked: Boolean,
        placed: Int,
    ) {
        val m = ready("i-000001").also { it.surplus = surplus }
        if (replica) core.schedulerState.place(core.learn(SimulatedCluster.job(1, Shape.SERVICE, tasks = 1)), 0, m, 1)
        val job = core.learn(SimulatedCluster.job(2, spot = true).copy(jobClass = kind)).also {
            it.starving =
                overlooked
        }
        Placer(ctx, core.schedulerState, core.fleet).runPass()
        assertEquals(placed, job.placements.size, name)
    }

    /**
     * A guest's work once could not be stopped for a guarantee, since only what exceeds one's own guarantee may, and it
     * had none.
     */
    @ParameterizedTest(name = "work of team {0} on the only machine: room made for {1}")
    @CsvSource("blue, 2", "red, 0")
    fun `a guarantee comes before whatever guests run`(team: String, made: Int) {
        val m = ready("i-000001")
        val there = core.learn(SimulatedCluster.job(1, tasks = 4, team = team, priority = Priority.LOW))
        repeat(4) { core.schedulerState.place(there, it, m, it + 1L).apply { isCommanded = true } }
        core.learn(SimulatedCluster.job(2, tasks = 2, team = "red", priority = Priority.LOW))
        Placer(ctx, core.schedulerState, core.fleet).runPass()
        assertEquals(made, there.placements.values.count { it.stopping == StopCause.PREEMPTED })
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "'with an aim', class, '', false, false",
        "'without', spare, '', false, true",
        "'a guaranteed team', spare, red, false, false",
        "'a stage of a pipeline', spare, '', true, false",
    )
    fun `what counts as spare time`(name: String, kind: String, team: String, awaited: Boolean, spare: Boolean) {
        val job = core.learn(SimulatedCluster.job(1, team = team.ifEmpty { "blue" }).copy(jobClass = kind))
        if (awaited) core.learn(SimulatedCluster.job(2, after = listOf(1)))
        assertEquals(spare, job.bestEffort, name)
    }

    /**
     * Hundreds of tiny tasks on one machine, and as many exits that wait to be stored, come near what a report may
     * hold.
     */
    @ParameterizedTest(name = "{0} exits shown: {1} placed")
    @CsvSource("0, 20", "690, 10", "700, 0")
    fun `a machine gets no more tasks than its report can show`(exits: Int, placed: Int) {
        ready("i-000001").exitsInHeartbeat = exits
        val job = core.learn(SimulatedCluster.job(1, tasks = 20).copy(need = Resources(1, 0, 1)))
        Placer(ctx, core.schedulerState, core.fleet).runPass()
        assertEquals(placed, job.placements.size)
    }

    @Test
    fun `a class without an aim is served in the end, however little else there is to do`() {
        val cluster = SimulatedCluster(61, objectives = listOf(Objective("finished", "class", 100.0, 0.9)))
        for (n in 1..6) {
            cluster.clock.after(2.0) {
                cluster.submit(
                    SimulatedCluster.job(
                        n,
                        tasks = 8,
                        runS = 40.0,
                        spot = true,
                    ).copy(jobClass = "spare", priority = Priority.LOW),
                )
            }
        }
        cluster.clock.after(10.0) { cluster.submit(SimulatedCluster.job(9, runS = 20.0)) }
        cluster.clock.runUntil(200.0)
        assertEquals(List(6) { "done" }, (1..6).map { cluster.stageOf("job-%06d".format(it)) })
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }
}

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

/**
 * Tests of best-effort jobs, whose class has no service-level objective, and of arrays of many short tasks: which
 * capacity they get, and what they leave to other jobs.
 */
class BestEffortJobsTest {
    private val core =
        CoreParts(listOf(Objective("finished", "sweep", 400.0, 0.8), Objective("wait", "class", 100.0, 0.9)))
    private val ctx = core.ctx

    /**
     * Guards against two incidents: 25,000 tasks of four seconds, and 3,822 tasks that could have waited, took every
     * machine of the cloud at the highest price.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // Name, class, tasks, run time in seconds, whether spot machines are allowed, whether the job has waited for
        // long, machines left for best-effort jobs in this iteration, requested machines, spot machines among these.
        "'a job with an objective gets spot machines if it allows them', class, 40, 60, true, false, 3, 10, 10",
        "'a best-effort job gets only the machines that are left', spare, 40, 60, true, false, 3, 3, 3",
        "'a best-effort job gets no machine if none is left', spare, 40, 60, true, false, 0, 0, 0",
        "'a best-effort job that allows no spot machines gets ordinary ones', spare, 40, 60, false, false, 3, 3, 0",
        "'many short tasks run one after another on few machines', sweep, 25000, 2, true, false, 0, 110, 110",
        "'short tasks that may start later share capacity', class, 8, 2, true, false, 0, 1, 1",
        "'tasks as long as a boot get their own capacity', sweep, 40, 12, true, false, 0, 10, 10",
    )
    fun `machines are requested according to objective, spot use and run time of a job`(
        name: String,
        jobClass: String,
        tasks: Int,
        runS: Double,
        spot: Boolean,
        starving: Boolean,
        machinesLeft: Int,
        expectedMachines: Int,
        expectedSpotMachines: Int,
    ) {
        val job = core.learn(
            SimulatedCluster.job(1, tasks = tasks, runS = runS, spot = spot).copy(jobClass = jobClass),
        ).also {
            it.starving =
                starving
        }
        val demand = ScaleOutDemand(emptyList(), emptyList(), listOf(job), { it.waiting.size })
        val wanted = Estimator(ctx, core.schedulerState, SimulatedCluster.CATALOG)
            .estimate(demand, ExpandableGroups({ true }) { 0 }, LeftoverCapacityScaling(machinesLeft) { true })
        assertEquals(expectedMachines, wanted.values.sum(), name)
        assertEquals(expectedSpotMachines, wanted.filterKeys { it.spot }.values.sum(), name)
    }

    /**
     * The estimate once placed waiting tasks of teams without a guarantee into the capacity that was reserved for
     * guaranteed teams, so that more machines were requested without end.
     */
    @ParameterizedTest(name = "job of class {0} waits, {1} more machines for the forecast")
    @CsvSource("spare, 0", "class, 1")
    fun `forecast demand is planned for before best-effort jobs`(jobClass: String, expectedMachines: Int) {
        val machine = core.machine("i-000001").apply { registeredAt = ctx.now }
        val waiting = core.learn(SimulatedCluster.job(1, tasks = 4, spot = true).copy(jobClass = jobClass))
        val demand = ScaleOutDemand(
            running = listOf(machine),
            arriving = emptyList(),
            pending = listOf(waiting),
            countWaitingTasks = { it.waiting.size },
            forecast = DemandForecast(Resources.NONE, SimulatedCluster.CATALOG.types.single().capacity),
        )
        val wanted = Estimator(ctx, core.schedulerState, SimulatedCluster.CATALOG)
            .estimate(demand, ExpandableGroups({ true }) { 0 })
        assertEquals(expectedMachines, wanted.filterKeys { !it.spot }.values.sum())
    }

    /**
     * On a day with little load, on which only one class had an objective, the limit of half of the fleet once starved
     * another class although the cloud was idle.
     */
    @ParameterizedTest(name = "{0} machines, {1} arriving, {2} used by best-effort jobs, other jobs wait {3}, {4} more")
    @CsvSource(
        "100, 0, 0, true, 25", "100, 20, 0, true, 5", "100, 30, 0, true, 0", "100, 0, 40, true, 10",
        "100, 0, 60, true, 0",
        "100, 0, 60, false, 25", "8, 0, 4, true, 0", "8, 0, 4, false, 4", "8, 3, 8, false, 1", "0, 0, 0, true, 4",
    )
    fun `machines for best-effort jobs are limited by the fleet, arrivals and jobs with objectives`(
        fleetSize: Int,
        arriving: Int,
        usedByBestEffort: Double,
        isContested: Boolean,
        expectedLeft: Int,
    ) = assertEquals(
        expectedLeft,
        LeftoverCapacityScaling.computeMachineLimit(fleetSize, arriving, usedByBestEffort, isContested),
    )

    private fun readyMachine(name: String) = core.machine(name).apply {
        registeredAt = ctx.now
        lastHeartbeatAt = ctx.now
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "'a best-effort job is not placed on an empty ordinary machine', spare, false, false, false, 0",
        "'a best-effort job is placed beside a replica', spare, true, false, false, 2",
        "'a best-effort job is not placed beside a replica on a surplus machine', spare, true, true, false, 0",
        "'a best-effort job that has waited for long is placed on any machine', spare, false, false, true, 2",
        "'a job with an objective is placed on an empty ordinary machine', class, false, false, false, 2",
    )
    fun `a best-effort job keeps no machine from being scaled in`(
        name: String,
        jobClass: String,
        replica: Boolean,
        surplus: Boolean,
        starving: Boolean,
        expectedPlacements: Int,
    ) {
        val m = readyMachine("i-000001").also { it.surplus = surplus }
        if (replica) core.schedulerState.place(core.learn(SimulatedCluster.job(1, Shape.SERVICE, tasks = 1)), 0, m, 1)
        val job = core.learn(SimulatedCluster.job(2, spot = true).copy(jobClass = jobClass)).also {
            it.starving =
                starving
        }
        Placer(ctx, core.schedulerState, core.fleet).runPass()
        assertEquals(expectedPlacements, job.placements.size, name)
    }

    /**
     * Tasks of a team without a guarantee once could not be preempted for a guaranteed team, since only tasks in excess
     * of their own team's guarantee were preempted, and that team had none.
     */
    @ParameterizedTest(name = "tasks of team {0} on the only machine, {1} of them preempted")
    @CsvSource("blue, 2", "red, 0")
    fun `tasks of a team without a guarantee are preempted for a guaranteed team`(
        team: String,
        expectedPreempted: Int,
    ) {
        val machine = readyMachine("i-000001")
        val runningJob = core.learn(SimulatedCluster.job(1, tasks = 4, team = team, priority = Priority.LOW))
        repeat(4) { core.schedulerState.place(runningJob, it, machine, it + 1L).apply { isCommanded = true } }
        core.learn(SimulatedCluster.job(2, tasks = 2, team = "red", priority = Priority.LOW))
        Placer(ctx, core.schedulerState, core.fleet).runPass()
        assertEquals(expectedPreempted, runningJob.placements.values.count { it.stopping == StopCause.PREEMPTED })
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "'a job with an objective', class, '', false, false",
        "'a job without an objective', spare, '', false, true",
        "'a job of a guaranteed team', spare, red, false, false",
        "'a job that another job depends on', spare, '', true, false",
    )
    fun `a job without objective, guarantee and dependent job is best effort`(
        name: String,
        jobClass: String,
        team: String,
        hasDependent: Boolean,
        expectedBestEffort: Boolean,
    ) {
        val job = core.learn(SimulatedCluster.job(1, team = team.ifEmpty { "blue" }).copy(jobClass = jobClass))
        if (hasDependent) core.learn(SimulatedCluster.job(2, after = listOf(1)))
        assertEquals(expectedBestEffort, job.bestEffort, name)
    }

    @Test
    fun `jobs of a class without an objective are done in the end although there is little other load`() {
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

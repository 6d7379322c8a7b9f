package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster

/** Whole days in virtual time, each with its troubles and several seeds: no rule may break, and the work gets done. */
class FaultScenarioTest {
    private class Trouble(val at: Double, val act: SimulatedCluster.() -> Unit)

    private val days: Map<String, List<Trouble>> = mapOf(
        "quiet" to emptyList(),
        "one crash" to listOf(Trouble(60.0) { nodes.first { it.leading }.crash(8.0) }),
        "all crash" to listOf(Trouble(60.0) { nodes.forEach { it.crash(8.0) } }),
        "rolling" to (0..2).map { n -> Trouble(50.0 + 20 * n) { nodes[n].crash(6.0) } },
        "outage" to listOf(Trouble(50.0) { state.outage = true }, Trouble(65.0) { state.outage = false }),
        "long outage" to listOf(Trouble(50.0) { state.outage = true }, Trouble(130.0) { state.outage = false }),
        "leader cut from state" to listOf(
            Trouble(50.0) { nodes.first { it.leading }.let { cuts.add("${it.name}-state") } },
            Trouble(110.0) { cuts.clear() },
        ),
        "leader cut from workers" to listOf(
            Trouble(50.0) { nodes.first { it.leading }.let { cuts.add("${it.name}-workers") } },
            Trouble(110.0) { cuts.clear() },
        ),
        "leader cut from state and peers" to listOf(
            Trouble(50.0) {
                nodes.first { it.leading }.let { cuts.addAll(listOf("${it.name}-state", "${it.name}-peers")) }
            },
            Trouble(120.0) { cuts.clear() },
        ),
        "machines fail" to listOf(Trouble(60.0) { cloud.alive.take(2).map { it.id }.forEach { cloud.fail(it) } }),
        "late writes" to listOf(Trouble(30.0) { lateWrites = 0.1 }, Trouble(150.0) { lateWrites = 0.0 }),
        "lost answers" to listOf(Trouble(20.0) { loss = 0.1 }, Trouble(150.0) { loss = 0.0 }),
        "everything" to listOf(
            Trouble(25.0) { loss = 0.05 },
            Trouble(30.0) { lateWrites = 0.05 },
            Trouble(55.0) { nodes.first { it.up }.crash(8.0) },
            Trouble(75.0) { cloud.alive.take(1).map { it.id }.forEach { cloud.fail(it) } },
            Trouble(90.0) { nodes.forEach { it.crash(10.0) } },
            Trouble(105.0) { state.outage = true },
            Trouble(120.0) { state.outage = false },
            Trouble(160.0) { lateWrites = 0.0 },
            Trouble(160.0) { loss = 0.0 },
        ),
        "machines never come" to listOf(Trouble(0.1) { cloud.bootFails = 0.3 }),
        "cloud outage" to listOf(Trouble(25.0) { cloud.outage = true }, Trouble(80.0) { cloud.outage = false }),
    )

    @ParameterizedTest(name = "{0}, seed {1}")
    @CsvSource(
        "quiet,1", "one crash,2", "all crash,3", "rolling,4", "outage,5", "long outage,6", "leader cut from state,7",
        "leader cut from workers,8", "leader cut from state and peers,9", "machines fail,10", "late writes,11",
        "lost answers,12",
        "everything,13", "everything,14", "everything,15", "machines never come,16", "cloud outage,17",
        "late writes,18",
    )
    fun `keeps the rules and finishes`(day: String, seed: Long) {
        val world = SimulatedCluster(seed)
        days.getValue(day).forEach { t -> world.clock.after(t.at) { t.act(world) } }
        val finishing = ArrayList<String>()
        fun at(s: Double, number: Int, spec: plankwall.model.JobSpec, cancelAfter: Double? = null) {
            world.clock.after(s) { world.submit(spec, cancelAfter) }
            if (cancelAfter == null && spec.shape != Shape.SERVICE) finishing.add("job-%06d".format(number))
        }
        at(3.0, 1, SimulatedCluster.job(1, Shape.SERVICE, tasks = 2, spread = true, priority = Priority.PRODUCTION))
        at(4.0, 2, SimulatedCluster.job(2, tasks = 6, runS = 30.0))
        at(
            5.0,
            3,
            SimulatedCluster.job(3, Shape.GANG, tasks = 3, oneZone = true, runS = 25.0, priority = Priority.HIGH),
        )
        at(6.0, 4, SimulatedCluster.job(4, tasks = 40, team = "red", runS = 8.0))
        at(7.0, 5, SimulatedCluster.job(5, Shape.SERVICE, tasks = 3, team = "red", spot = true), cancelAfter = 52.0)
        at(48.0, 6, SimulatedCluster.job(6, tasks = 5, spot = true, priority = Priority.LOW), cancelAfter = 13.0)
        for (n in 10..25) {
            at(
                20.0 + 5 * (n - 10),
                n,
                SimulatedCluster.job(
                    n,
                    tasks = 3,
                    priority = Priority.entries[n % 4],
                    spot =
                    n % 2 == 0,
                ),
            )
        }
        world.clock.runUntil(420.0)
        assertEquals(emptyList<String>(), world.checker.broken)
        assertTrue(world.checker.starts >= 100, "only ${world.checker.starts} starts")
        val unfinished = finishing.associateWith { world.stageOf(it) }.filterValues { it != "done" }
        assertEquals(emptyMap<String, String?>(), unfinished)
        assertEquals("withdrawn", world.stageOf("job-000005"))
    }
}

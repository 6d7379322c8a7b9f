package plankwall.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import plankwall.model.Priority
import plankwall.model.Shape

/** Hundreds of machines, and work that needs many of them at once. */
class LargeSiteTest {
    @Test
    fun `rents hundreds of machines in few calls and stays within the state service's rates`() {
        val world = SimulatedCluster(21)
        world.cloud.capacity = 1000
        for (n in 1..90) {
            world.clock.after(2.0 + n * 0.02) {
                world.submit(SimulatedCluster.job(n, tasks = 25, runS = 60.0))
            }
        }
        world.clock.runUntil(25.0)
        // More than a page of the cloud's list holds.
        assertTrue(world.cloud.rentals in 563..580, "${world.cloud.rentals} machines for 2250 tasks, four on each")
        world.clock.after(5.0) { world.nodes.first { it.leading }.crash(8.0) }
        world.clock.runUntil(150.0)
        assertEquals(emptyList<String>(), world.checker.broken)
        assertEquals(2250, world.checker.starts)
        assertEquals("done", world.stageOf("job-000090"))
        assertEquals(0, world.state.writes.beyond, "writes beyond the rate")
        assertEquals(0, world.state.calls.beyond, "calls beyond the rate")
    }

    @Test
    fun `a gang of whole machines starts amid small tasks that would take every machine piece by piece`() {
        val world = SimulatedCluster(104)
        world.cloud.capacity = 4
        // Small tasks of various lengths keep the four machines, all there is, half used for ever.
        for (n in 10..70) {
            world.clock.after(1.0 + 1.6 * (n - 10)) {
                world.submit(
                    SimulatedCluster.job(
                        n,
                        tasks = 1,
                        runS =
                        20.0 + n % 7,
                    ).copy(zone = "a"),
                )
            }
        }
        world.clock.after(60.0) {
            world.submit(
                SimulatedCluster.job(
                    1,
                    Shape.GANG,
                    tasks = 3,
                    gpus = 4,
                    oneZone = true,
                    runS = 10.0,
                    priority = Priority.NORMAL,
                ),
            )
        }
        world.clock.runUntil(125.0)
        assertEquals("done", world.stageOf("job-000001"))
        assertEquals(emptyList<String>(), world.checker.broken)
    }

    @Test
    fun `more important gangs get room by preemption`() {
        val world = SimulatedCluster(23)
        world.cloud.capacity = 4
        world.clock.after(1.0) {
            world.submit(SimulatedCluster.job(2, tasks = 16, runS = 500.0, priority = Priority.LOW).copy(zone = "a"))
        }
        world.clock.after(60.0) {
            world.submit(
                SimulatedCluster.job(
                    1,
                    Shape.GANG,
                    tasks = 2,
                    gpus = 4,
                    oneZone = true,
                    runS = 10.0,
                    priority = Priority.HIGH,
                ),
            )
        }
        world.clock.runUntil(90.0)
        assertEquals("done", world.stageOf("job-000001"))
        assertEquals(emptyList<String>(), world.checker.broken)
    }

    @Test
    fun `a job of the largest size runs as far as there is room, and is gone when withdrawn`() {
        val world = SimulatedCluster(24)
        world.cloud.capacity = 20
        world.clock.after(1.0) {
            world.submit(SimulatedCluster.job(1, tasks = 100_000, runS = 15.0), cancelAfter = 60.0)
        }
        world.clock.runUntil(55.0)
        assertEquals("running", world.stageOf("job-000001"))
        assertTrue(world.checker.starts >= 120, "only ${world.checker.starts} starts")
        world.clock.runUntil(110.0)
        assertEquals("withdrawn", world.stageOf("job-000001"))
        assertEquals(emptyList<String>(), world.checker.broken)
        assertEquals(0, world.state.writes.beyond, "writes beyond the rate")
    }

    @Test
    fun `a guarantee beyond what can be rented is served as far as it goes`() {
        val world = SimulatedCluster(25)
        world.cloud.capacity = 1
        world.clock.after(1.0) { world.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 8, team = "red")) }
        world.clock.runUntil(120.0)
        assertEquals("running", world.stageOf("job-000001"))
        assertEquals(4, world.checker.starts)
        assertEquals(emptyList<String>(), world.checker.broken)
    }
}

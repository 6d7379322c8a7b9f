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
        val cluster = SimulatedCluster(21)
        cluster.cloud.capacity = 1000
        for (n in 1..90) {
            cluster.clock.after(2.0 + n * 0.02) {
                cluster.submit(SimulatedCluster.job(n, tasks = 25, runS = 60.0))
            }
        }
        cluster.clock.runUntil(25.0)
        // More than a page of the cloud's list holds.
        assertTrue(
            cluster.cloud.instancesCreated in 563..580,
            "${cluster.cloud.instancesCreated} machines for 2250 tasks, four on each",
        )
        cluster.clock.after(5.0) { cluster.nodes.first { it.isLeader }.crash(8.0) }
        cluster.clock.runUntil(150.0)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertEquals(2250, cluster.checker.starts)
        assertEquals("done", cluster.stageOf("job-000090"))
        assertEquals(0, cluster.state.writeMeter.exceededCount, "writes beyond the rate")
        assertEquals(0, cluster.state.requestMeter.exceededCount, "calls beyond the rate")
    }

    @Test
    fun `a gang of whole machines starts amid small tasks that would take every machine piece by piece`() {
        val cluster = SimulatedCluster(104)
        cluster.cloud.capacity = 4
        // Small tasks of various lengths keep the four machines, all there is, half used for ever.
        for (n in 10..70) {
            cluster.clock.after(1.0 + 1.6 * (n - 10)) {
                cluster.submit(
                    SimulatedCluster.job(
                        n,
                        tasks = 1,
                        runS = 20.0 + n % 7,
                    ).copy(zone = "a"),
                )
            }
        }
        cluster.clock.after(60.0) {
            cluster.submit(
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
        cluster.clock.runUntil(125.0)
        assertEquals("done", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @Test
    fun `more important gangs get room by preemption`() {
        val cluster = SimulatedCluster(23)
        cluster.cloud.capacity = 4
        cluster.clock.after(1.0) {
            cluster.submit(SimulatedCluster.job(2, tasks = 16, runS = 500.0, priority = Priority.LOW).copy(zone = "a"))
        }
        cluster.clock.after(60.0) {
            cluster.submit(
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
        cluster.clock.runUntil(90.0)
        assertEquals("done", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @Test
    fun `a job of the largest size runs as far as there is room, and is gone when withdrawn`() {
        val cluster = SimulatedCluster(24)
        cluster.cloud.capacity = 20
        cluster.clock.after(1.0) {
            cluster.submit(SimulatedCluster.job(1, tasks = 100_000, runS = 15.0), cancelAfterS = 60.0)
        }
        cluster.clock.runUntil(55.0)
        assertEquals("running", cluster.stageOf("job-000001"))
        assertTrue(cluster.checker.starts >= 120, "only ${cluster.checker.starts} starts")
        cluster.clock.runUntil(110.0)
        assertEquals("withdrawn", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertEquals(0, cluster.state.writeMeter.exceededCount, "writes beyond the rate")
    }

    @Test
    fun `a guarantee beyond what can be rented is served as far as it goes`() {
        val cluster = SimulatedCluster(25)
        cluster.cloud.capacity = 1
        cluster.clock.after(1.0) { cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 8, team = "red")) }
        cluster.clock.runUntil(120.0)
        assertEquals("running", cluster.stageOf("job-000001"))
        assertEquals(4, cluster.checker.starts)
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }
}

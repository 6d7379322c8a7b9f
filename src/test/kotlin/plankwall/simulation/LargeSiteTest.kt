package plankwall.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import plankwall.model.Priority
import plankwall.model.Shape

/** Tests of clusters of up to hundreds of machines with jobs that need many machines at once. */
class LargeSiteTest {
    @Test
    fun `hundreds of machines are requested within the call and write rates of the state service`() {
        val cluster = SimulatedCluster(21)
        cluster.cloud.capacity = 1000
        for (n in 1..90) {
            cluster.clock.after(2.0 + n * 0.02) {
                cluster.submit(SimulatedCluster.job(n, tasks = 25, runS = 60.0))
            }
        }
        cluster.clock.runUntil(25.0)
        // These are more machines than one page of the cloud's list holds.
        assertTrue(
            cluster.cloud.instancesCreated in 563..580,
            "${cluster.cloud.instancesCreated} machines for 2250 tasks, four on each machine",
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
    fun `a gang that needs whole machines starts although small tasks keep every machine partly used`() {
        val cluster = SimulatedCluster(104)
        cluster.cloud.capacity = 4
        // Small tasks of different run times keep all four machines of the cloud partly used until the end of the test.
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
    fun `a gang of higher priority starts by preempting tasks of lower priority`() {
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
    fun `a job of the largest size runs as far as capacity allows and is withdrawn when cancelled`() {
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
    fun `a team whose guarantee exceeds the cloud's capacity gets all of that capacity`() {
        val cluster = SimulatedCluster(25)
        cluster.cloud.capacity = 1
        cluster.clock.after(1.0) { cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 8, team = "red")) }
        cluster.clock.runUntil(120.0)
        assertEquals("running", cluster.stageOf("job-000001"))
        assertEquals(4, cluster.checker.starts)
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }
}

package plankwall.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.statemachine.Input
import plankwall.fixtures.CoreParts
import plankwall.fixtures.DependencyFixture
import plankwall.model.JobSpec
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.wire.JobRecord

/**
 * Tests of dependent jobs: which dependencies a submission may name, and how priorities, deadlines and capacity take
 * dependencies into account.
 */
class DependencyScenarioTest : DependencyFixture() {
    @ParameterizedTest(name = "dependency is {0}, status {1}")
    @CsvSource(
        "live, 201",
        "done, 201",
        "withdrawn, 201",
        "accepted by another node just now, 201",
        "never accepted, 422",
        "unreadable, 503",
        "never accepted but known itself, 200",
    )
    fun `a submission is answered according to the state of its dependency`(
        dependencyState: String,
        expectedStatus: Int,
    ) {
        val cluster = SimulatedCluster(41)
        cluster.clock.after(2.0) {
            cluster.submit(
                SimulatedCluster.job(
                    1,
                    tasks = 1,
                    runS = if (dependencyState == "done") 3.0 else 300.0,
                ),
            )
        }
        if (dependencyState == "withdrawn") cluster.clock.after(8.0) { cluster.cancel("job-000001") }
        cluster.clock.runUntil(60.0)
        val spec = when (dependencyState) {
            "never accepted" -> SimulatedCluster.job(9, after = listOf(1, 77))
            "never accepted but known itself" -> SimulatedCluster.job(1, after = listOf(77))
            "accepted by another node just now" -> SimulatedCluster.job(9, after = listOf(8))
            "unreadable" -> SimulatedCluster.job(9, after = listOf(78))
            else -> SimulatedCluster.job(9, after = listOf(1))
        }
        val statuses = ArrayList<Int>()
        val sendRequest = {
            cluster.nodes[1].sendRequest({ Input.Submit(it, spec) }) { status, _ -> statuses.add(status) }
        }
        if (dependencyState == "unreadable") cluster.state.outage = true
        if (dependencyState.startsWith("accepted by another")) {
            cluster.nodes[0].sendRequest({ Input.Submit(it, SimulatedCluster.job(8, runS = 300.0)) }) { status, _ ->
                if (status == 201) {
                    sendRequest()
                }
            }
        } else {
            sendRequest()
        }
        cluster.clock.runUntil(62.0)
        assertEquals(listOf(expectedStatus), statuses)
    }

    @Test
    fun `a long chain and many direct dependents end when the job that they need is cancelled`() {
        val cluster = SimulatedCluster(51, stateNext = smaller)
        cluster.clock.after(1.0) { cluster.submit(SimulatedCluster.job(1, tasks = 1, runS = 500.0)) }
        for (n in 2..120) {
            cluster.clock.after(1.0 + n * 0.02) {
                cluster.submit(SimulatedCluster.job(n, tasks = 1, after = listOf(n - 1)))
            }
        }
        for (n in 201..320) {
            cluster.clock.after(1.0 + (n - 200) * 0.02) {
                cluster.submit(SimulatedCluster.job(n, tasks = 1, after = listOf(1)))
            }
        }
        cluster.clock.after(60.0) { cluster.cancel("job-000001") }
        cluster.clock.after(60.3) { cluster.nodes.first { it.isLeader }.crash(8.0) }
        cluster.clock.runUntil(60.0 + cluster.settings.workers.cancelS)
        assertTrue(
            cluster.state.keys.none {
                it.startsWith("j/")
            },
            "live job records are left: ${cluster.state.keys.filter { it.startsWith("j/") }}",
        )
        assertEquals(List(3) { "withdrawn" }, listOf(1, 120, 320).map { cluster.stageOf("job-%06d".format(it)) })
        assertEquals(1, cluster.checker.starts)
        cluster.assertSound()
    }

    @Test
    fun `a job that waits for a dependency keeps no capacity or quota from other jobs`() {
        val cluster = SimulatedCluster(61)
        // Team red may use 16 accelerators. Job 2, which waits for job 1, must neither count towards them nor keep
        // job 3 from using them.
        cluster.clock.after(1.0) {
            cluster.submit(SimulatedCluster.job(1, Shape.GANG, tasks = 4, gpus = 1, runS = 60.0, team = "red"))
        }
        cluster.clock.after(2.0) {
            cluster.submit(
                SimulatedCluster.job(
                    2,
                    Shape.GANG,
                    tasks = 4,
                    gpus = 4,
                    runS = 5.0,
                    team = "red",
                    priority = Priority.PRODUCTION,
                    after = listOf(1),
                ),
            )
        }
        cluster.clock.after(3.0) {
            cluster.submit(
                SimulatedCluster.job(3, tasks = 12, gpus = 1, runS = 20.0, team = "red", priority = Priority.LOW),
            )
        }
        cluster.clock.runUntil(60.0)
        assertEquals(listOf("running", "pending", "done"), cluster.stages(1..3))
        assertEquals(4, cluster.cloud.instancesCreated, "machines are requested only for jobs that may start")
        cluster.clock.runUntil(140.0)
        assertEquals("done", cluster.stageOf("job-000002"))
        cluster.assertSound()
    }

    @Test
    fun `a job has the priority of the most important job that depends on it`() {
        val cluster = SimulatedCluster(71)
        cluster.cloud.capacity = 1
        fun shortJob(number: Int, priority: Priority, after: List<Int> = emptyList()): JobSpec =
            SimulatedCluster.job(number, tasks = 4, runS = 10.0, priority = priority, after = after)
        cluster.clock.after(1.0) { cluster.submit(shortJob(1, Priority.HIGH)) }
        cluster.clock.after(2.0) { cluster.submit(shortJob(2, Priority.NORMAL)) }
        cluster.clock.after(3.0) { cluster.submit(shortJob(3, Priority.LOW)) }
        cluster.clock.after(4.0) { cluster.submit(shortJob(4, Priority.LOW, after = listOf(3))) }
        cluster.clock.after(5.0) { cluster.submit(shortJob(5, Priority.HIGH, after = listOf(4))) }
        while (cluster.stageOf("job-000003") != "done") cluster.clock.runUntil(cluster.clock.now + 0.5)
        assertEquals(
            "pending",
            cluster.stageOf("job-000002"),
            "job 2 has a lower priority than job 5, which needs job 3",
        )
        cluster.assertSound()
    }

    @Test
    fun `priority and deadline pass up a chain and are reset when the job they come from is withdrawn`() {
        val parts = CoreParts()
        val (first, second) = listOf(
            SimulatedCluster.job(1, priority = Priority.LOW),
            SimulatedCluster.job(2, priority = Priority.LOW, after = listOf(1)),
        ).map {
            parts.learn(it)
        }
        assertEquals(listOf(Priority.LOW, Long.MAX_VALUE), listOf(first.priority, first.dueMs))
        val last = parts.learn(
            SimulatedCluster.job(3, priority = Priority.HIGH, after = listOf(2)).copy(deadlineS = 100.0),
        )
        assertEquals(listOf(Priority.HIGH, Priority.HIGH), listOf(first.priority, second.priority))
        // Each dependent job takes 20 s to run and 2 s to fetch its image.
        assertEquals(listOf(last.dueMs - 22_000, last.dueMs - 44_000), listOf(second.dueMs, first.dueMs))
        parts.schedulerState.onJobRecord(last.spec.id, JobRecord(last.spec, 1, 2, 100), 9)
        assertEquals(listOf(Priority.LOW, Priority.LOW), listOf(first.priority, second.priority))
        assertEquals(listOf(Long.MAX_VALUE, Long.MAX_VALUE), listOf(first.dueMs, second.dueMs))
    }
}

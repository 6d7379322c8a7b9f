package plankwall.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import plankwall.core.statemachine.Input
import plankwall.fixtures.CoreParts
import plankwall.model.JobSpec
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.model.StateLimits
import plankwall.wire.JobRecord

/** Jobs that wait for others, on whole sites in virtual time. */
class DependencyScenarioTest {
    private val smaller = StateLimits(250.0, 70.0, 2.0, 10)

    /** A chain 1, 2, 3, 4 of which 2 and 3 both need 1, and 4 needs both. */
    private fun SimulatedCluster.pipeline(at: Double, first: Int = 1, lateLast: Double = 0.0) {
        clock.after(at) {
            submit(SimulatedCluster.job(first, tasks = 3, runS = 8.0, priority = Priority.LOW, spot = true))
            submit(
                SimulatedCluster.job(first + 1, tasks = 6, runS = 10.0, priority = Priority.LOW, after = listOf(first)),
            )
            submit(
                SimulatedCluster.job(
                    first + 2,
                    Shape.GANG,
                    tasks = 2,
                    runS = 6.0,
                    oneZone = true,
                    after = listOf(first),
                ),
            )
        }
        clock.after(at + lateLast) {
            submit(
                SimulatedCluster.job(
                    first + 3,
                    tasks = 2,
                    runS = 4.0,
                    priority = Priority.HIGH,
                    after = listOf(
                        first + 1,
                        first + 2,
                    ),
                ).copy(deadlineS = 120.0),
            )
        }
    }

    private fun SimulatedCluster.stages(ids: IntRange): List<String?> = ids.map { stageOf("job-%06d".format(it)) }

    private fun SimulatedCluster.assertSound() {
        assertEquals(emptyList<String>(), checker.violations)
        assertEquals(emptyList<String>(), checker.refused)
    }

    private val faults: Map<String, SimulatedCluster.(Double) -> Unit> = mapOf(
        "none" to {},
        "leader crash" to { at -> clock.after(at) { nodes.first { it.leading }.crash(6.0) } },
        "all crash" to { at -> clock.after(at) { nodes.forEach { it.crash(8.0) } } },
        "outage" to { at ->
            clock.after(at) { state.outage = true }
            clock.after(at + 12.0) { state.outage = false }
        },
        "late writes" to { at ->
            clock.after(at - 10.0) { faults.lateWrites = 0.2 }
            clock.after(at + 20.0) { faults.lateWrites = 0.0 }
        },
        "lost answers" to { at ->
            clock.after(at - 10.0) { faults.answerLoss = 0.15 }
            clock.after(at + 20.0) { faults.answerLoss = 0.0 }
        },
    )

    @ParameterizedTest(name = "{0} at {1}")
    @CsvSource(
        "none, 10", "leader crash, 22", "leader crash, 27", "leader crash, 34", "all crash, 24", "all crash, 33",
        "outage, 20", "outage, 26",
        "late writes, 25", "lost answers, 25",
    )
    fun `stages run in order whatever fails`(fault: String, at: Double) {
        val cluster = SimulatedCluster(at.toLong())
        cluster.pipeline(2.0)
        cluster.pipeline(4.0, first = 11, lateLast = 70.0)
        faults.getValue(fault)(cluster, at)
        cluster.clock.runUntil(200.0)
        assertEquals(List(4) { "done" }, cluster.stages(1..4))
        assertEquals(List(4) { "done" }, cluster.stages(11..14), "the last was submitted when the others were over")
        cluster.assertSound()
    }

    @ParameterizedTest(name = "{0} withdrawn at {1}, {2}")
    @CsvSource(
        "1, 5, none", "1, 20, leader crash", "1, 20, outage", "1, 18, all crash", "2, 5, leader crash",
        "2, 28, leader crash", "2, 28, outage",
        "3, 8, all crash", "4, 30, none", "4, 30, leader crash", "1, 20, late writes", "2, 25, lost answers",
    )
    fun `what is cancelled takes with it all that needs it, and nothing else`(stage: Int, at: Double, fault: String) {
        val cluster = SimulatedCluster(stage * 100L + at.toLong())
        cluster.pipeline(2.0)
        cluster.clock.after(at) { cluster.cancel("job-%06d".format(stage)) }
        faults.getValue(fault)(cluster, at + 0.05)
        // In that very moment, and long after.
        cluster.clock.after(at) { cluster.submit(SimulatedCluster.job(5, tasks = 1, after = listOf(stage))) }
        cluster.clock.after(at + 60.0) { cluster.submit(SimulatedCluster.job(6, tasks = 1, after = listOf(5))) }
        cluster.clock.runUntil(at + 130.0)
        val told = cluster.stages(1..6)
        val needs = mapOf(
            1 to emptyList(),
            2 to listOf(1),
            3 to listOf(1),
            4 to listOf(2, 3),
            5 to listOf(stage),
            6 to listOf(5),
        )
        for ((job, names) in needs) {
            val expected = if (names.any { told[it - 1] == "withdrawn" } ||
                (job == stage && told[job - 1] != "done")
            ) {
                "withdrawn"
            } else {
                "done"
            }
            assertEquals(expected, told[job - 1], "job $job of $told")
        }
        cluster.assertSound()
    }

    @Test
    fun `whether a stage was done or cancelled in the same moment is decided once, for its dependents too`() {
        val outcomes = HashSet<String?>()
        for (step in 0 until 24) {
            val cluster = SimulatedCluster(500L + step, nodeCount = 1)
            cluster.clock.after(2.0) {
                cluster.submit(SimulatedCluster.job(1, tasks = 1, runS = 8.0))
                cluster.submit(SimulatedCluster.job(2, tasks = 1, runS = 2.0, after = listOf(1)))
            }
            while (cluster.checker.starts == 0) cluster.clock.runUntil(cluster.clock.now + 0.01)
            cluster.clock.after(7.8 + 0.05 * step) { cluster.cancel("job-000001") }
            cluster.clock.runUntil(cluster.clock.now + 60.0)
            val (first, second) = cluster.stages(1..2)
            assertEquals(first, second)
            outcomes.add(first)
            cluster.assertSound()
        }
        assertEquals(setOf<String?>("done", "withdrawn"), outcomes, "both sides of the race were met")
    }

    @Test
    fun `a new leader reads how dependencies ended before it starts anything that needs them`() {
        val cluster = SimulatedCluster(31)
        cluster.clock.after(2.0) {
            cluster.submit(SimulatedCluster.job(1, tasks = 1, runS = 5.0))
            cluster.submit(SimulatedCluster.job(2, tasks = 1, runS = 60.0))
            cluster.submit(SimulatedCluster.job(3, tasks = 2, runS = 5.0, after = listOf(1, 2)))
        }
        cluster.clock.runUntil(40.0)
        assertEquals(listOf("done", "running", "pending"), cluster.stages(1..3))
        cluster.nodes.forEach { it.crash(5.0) }
        cluster.clock.runUntil(140.0)
        assertEquals(List(3) { "done" }, cluster.stages(1..3))
        cluster.assertSound()
    }

    @ParameterizedTest(name = "named job {0}: {1}")
    @CsvSource(
        "live, 201",
        "done, 201",
        "withdrawn, 201",
        "accepted by another node just now, 201",
        "never accepted, 422",
        "unreadable, 503",
        "never accepted but known itself, 200",
    )
    fun `what a submission may name`(standing: String, expected: Int) {
        val cluster = SimulatedCluster(41)
        cluster.clock.after(2.0) {
            cluster.submit(
                SimulatedCluster.job(
                    1,
                    tasks = 1,
                    runS = if (standing ==
                        "done"
                    ) {
                        3.0
                    } else {
                        300.0
                    },
                ),
            )
        }
        if (standing == "withdrawn") cluster.clock.after(8.0) { cluster.cancel("job-000001") }
        cluster.clock.runUntil(60.0)
        val spec = when (standing) {
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
        if (standing == "unreadable") cluster.state.outage = true
        if (standing.startsWith("accepted by another")) {
            cluster.nodes[0].sendRequest({ Input.Submit(it, SimulatedCluster.job(8, runS = 300.0)) }) { status, _ ->
                if (status ==
                    201
                ) {
                    sendRequest()
                }
            }
        } else {
            sendRequest()
        }
        cluster.clock.runUntil(62.0)
        assertEquals(listOf(expected), statuses)
    }

    @Test
    fun `a long chain and a crowd of dependents end with the one they all need`() {
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
        cluster.clock.after(60.3) { cluster.nodes.first { it.leading }.crash(8.0) }
        cluster.clock.runUntil(60.0 + cluster.settings.workers.cancelS)
        assertTrue(
            cluster.state.keys.none {
                it.startsWith("j/")
            },
            "still live: ${cluster.state.keys.filter { it.startsWith("j/") }}",
        )
        assertEquals(List(3) { "withdrawn" }, listOf(1, 120, 320).map { cluster.stageOf("job-%06d".format(it)) })
        assertEquals(1, cluster.checker.starts)
        cluster.assertSound()
    }

    @Test
    fun `a job that waits holds nothing back`() {
        val cluster = SimulatedCluster(61)
        // Team red may use 16 accelerators; what waits for job 1 must neither count nor take their place.
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
        assertEquals(4, cluster.cloud.instancesCreated, "rented for what may start, and no more")
        cluster.clock.runUntil(140.0)
        assertEquals("done", cluster.stageOf("job-000002"))
        cluster.assertSound()
    }

    @Test
    fun `a stage has the priority of the job that its user waits for`() {
        val cluster = SimulatedCluster(71)
        cluster.cloud.capacity = 1
        fun short(n: Int, priority: Priority, after: List<Int> = emptyList()): JobSpec =
            SimulatedCluster.job(n, tasks = 4, runS = 10.0, priority = priority, after = after)
        cluster.clock.after(1.0) { cluster.submit(short(1, Priority.HIGH)) }
        cluster.clock.after(2.0) { cluster.submit(short(2, Priority.NORMAL)) }
        cluster.clock.after(3.0) { cluster.submit(short(3, Priority.LOW)) }
        cluster.clock.after(4.0) { cluster.submit(short(4, Priority.LOW, after = listOf(3))) }
        cluster.clock.after(5.0) { cluster.submit(short(5, Priority.HIGH, after = listOf(4))) }
        while (cluster.stageOf("job-000003") != "done") cluster.clock.runUntil(cluster.clock.now + 0.5)
        assertEquals("pending", cluster.stageOf("job-000002"), "of lower priority than what needs job 3")
        cluster.assertSound()
    }

    @Test
    fun `priority and deadline travel up a chain, and back when what raised them is withdrawn`() {
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
        // What comes after takes 20 s to run and 2 s to fetch its image.
        assertEquals(listOf(last.dueMs - 22_000, last.dueMs - 44_000), listOf(second.dueMs, first.dueMs))
        parts.schedulerState.learn(last.spec.id, JobRecord(last.spec, 1, 2, 100), 9)
        assertEquals(listOf(Priority.LOW, Priority.LOW), listOf(first.priority, second.priority))
        assertEquals(listOf(Long.MAX_VALUE, Long.MAX_VALUE), listOf(first.dueMs, second.dueMs))
    }

    @ParameterizedTest
    @ValueSource(longs = [81, 82, 83])
    fun `a site is rolled node by node under load while limits shrink`(seed: Long) {
        val cluster = SimulatedCluster(seed, stateNext = smaller)
        for (n in 100..140) {
            cluster.clock.after(1.0 + (n - 100)) {
                cluster.submit(
                    SimulatedCluster.job(
                        n,
                        tasks = 4,
                        runS = 25.0,
                        spot =
                        n % 2 == 0,
                    ),
                )
            }
        }
        cluster.pipeline(20.0)
        cluster.pipeline(40.0, first = 11)
        cluster.pipeline(62.0, first = 21)
        for (n in 0..2) cluster.clock.after(30.0 + 15.0 * n) { cluster.nodes[n].crash(6.0) }
        cluster.clock.after(65.0) { cluster.state.limits = smaller }
        cluster.clock.after(80.0) { cluster.cancel("job-000022") }
        cluster.clock.runUntil(260.0)
        assertEquals(List(4) { "done" }, cluster.stages(1..4))
        assertEquals(listOf("done", "withdrawn", "done", "withdrawn"), cluster.stages(21..24))
        assertEquals(emptyMap<String, Int>(), cluster.state.rejected, "nothing beyond the announced limits was tried")
        cluster.assertSound()
    }
}

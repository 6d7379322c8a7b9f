package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import plankwall.core.statemachine.Input
import plankwall.fixtures.FaultCombinationFixture
import plankwall.model.Priority
import plankwall.simulation.LinkCut
import plankwall.simulation.SimulatedCluster
import plankwall.simulation.SimulatedWorker

/** Tests of users' requests that are repeated, invalid or many, combined with other faults. */
class RequestCombinationsTest : FaultCombinationFixture() {
    /** Guards against a repeated submission that is told `pending` while polls say that the job runs. */
    @ParameterizedTest(name = "the job depends on another one: {0}")
    @ValueSource(booleans = [false, true])
    fun `a repeated submission is told that the job runs as polls are`(hasDependency: Boolean) {
        cluster = SimulatedCluster(11)
        val earlier = SimulatedCluster.job(1, tasks = 1, runS = 5.0)
        val spec = SimulatedCluster.job(2, runS = 120.0, after = if (hasDependency) listOf(1) else emptyList())
        after(1.0) { listOf(earlier, spec).forEach(cluster::submit) }
        cluster.clock.runUntil(60.0)
        val polled = HashMap<String, String>()
        val repeated = HashMap<String, String>()
        for (node in cluster.nodes) {
            node.sendRequest({ Input.Show(it, spec.id) }) { _, body -> polled[node.name] = stageIn(body) }
            node.sendRequest({ Input.Submit(it, spec) }) { _, body -> repeated[node.name] = stageIn(body) }
        }
        cluster.clock.runUntil(62.0)
        assertEquals(cluster.nodeNames.associateWith { "running" }, polled)
        assertEquals(polled, repeated)
    }

    private fun stageIn(body: ByteArray): String = SimulatedWorker.json.readTree(body).get("stage").asText()

    @ParameterizedTest
    @ValueSource(
        strings = [
            "no other fault", "the leader ends", "a node stands still", "a node has just started", "late writes",
            "lost answers", "a node is cut from the store",
        ],
    )
    fun `requests repeated at all controllers as jobs are accepted, end and are cancelled violate no rule`(
        fault: String,
    ) {
        cluster = SimulatedCluster(9, nodeCount = 5)
        cluster.faults.concurrentRequests = true
        cluster.faults.cancelAtCompletion = 0.3
        for (n in 1..60) {
            after(2.0 + n) {
                cluster.submit(
                    SimulatedCluster.job(
                        n,
                        tasks = 1 + n % 3,
                        runS = 8.0,
                        after = if (n % 10 == 0) listOf(n - 1) else emptyList(),
                    ),
                    if (n % 4 == 0) n % 3 * 5.0 else null,
                )
            }
        }
        for (faultAtS in listOf(20.0, 40.0)) {
            after(faultAtS) {
                when (fault) {
                    "the leader ends" -> leader.crash(3.0)
                    "a node stands still" -> cluster.nodes.first { !it.isLeader }.freeze(9.0)
                    "a node has just started" -> cluster.nodes.first { !it.isLeader }.crash(0.1)
                    "a node is cut from the store" -> cluster.nodes.first { !it.isLeader }.name.let { nodeName ->
                        cluster.faults.cuts.add("$nodeName-state")
                        after(10.0) { cluster.faults.cuts.remove("$nodeName-state") }
                    }
                    "late writes" -> {
                        cluster.faults.lateWrites = 0.2
                        after(15.0) { cluster.faults.lateWrites = 0.0 }
                    }
                    "lost answers" -> {
                        cluster.faults.lostCommitAnswers = 0.2
                        after(15.0) { cluster.faults.lostCommitAnswers = 0.0 }
                    }
                }
            }
        }
        runFor(200.0)
        assertFaultsOccurred("close looks", "cancelled at its end")
        assertEquals(emptyList<String>(), cluster.checker.violations.take(5))
        (1..60).forEach {
            assertTrue(
                cluster.stageOf(jobId(it)) in setOf("done", "withdrawn"),
                "${jobId(it)} is ${cluster.stageOf(jobId(it))}",
            )
        }
    }

    @Test
    fun `invalid requests are refused with their reason and repeats of accepted ones are not`() {
        startJobs(nodes = 5, runS = 40.0)
        repeat(60) { second ->
            after(second.toDouble()) {
                cluster.retryingUsers.sendInvalidRequests(
                    (1..6).map(::jobId).filter {
                        cluster.checker.finalStageOf(it) ==
                            "done"
                    },
                    (1..6).map(::jobId).filter { cluster.checker.finalStageOf(it) == null },
                )
            }
        }
        after(10.0) { leader.crash(3.0) }
        runFor(120.0)
        assertFaultsOccurred("odd requests")
        assertNoViolations(stage = "done")
    }

    @Test
    fun `a lost answer to a write of any kind of record is not taken as a refusal`() {
        cluster = SimulatedCluster(5, nodeCount = 3)
        cluster.faults.lostCommitAnswers = 0.4
        for (n in 1..40) {
            after(2.0 + n) {
                cluster.submit(
                    SimulatedCluster.job(n, tasks = 3, runS = 12.0),
                    if (n % 4 == 0) 6.0 else null,
                )
            }
        }
        listOf(15.0, 30.0).forEach { after(it) { leader.crash(4.0) } }
        after(90.0) { cluster.faults.lostCommitAnswers = 0.0 }
        runFor(180.0)
        assertFaultsOccurred(
            "lost answer: j",
            "lost answer: t",
            "lost answer: f",
            "lost answer: fleet",
            "lost answer: leader",
            "lost answer: catalog",
        )
        assertEquals(emptyList<String>(), cluster.checker.violations.take(5))
        (1..40).forEach {
            assertEquals(
                if (it % 4 == 0) "withdrawn" else "done",
                cluster.stageOf(jobId(it)),
                jobId(it),
            )
        }
    }

    @Test
    fun `four jobs of one task per second stay within the rates of the state service`() {
        cluster = SimulatedCluster(3, nodeCount = 3)
        var submitted = 0
        for (n in 1..720) {
            after(5.0 + n * 0.25) {
                cluster.submit(
                    SimulatedCluster.job(n, tasks = 1, runS = 6.0),
                    if (n % 4 == 0) cluster.random.nextDouble() * 8.0 else null,
                )
                submitted++
            }
        }
        runFor(185.0)
        val changes = cluster.state.changes
        runFor(60.0)
        assertEquals(720, submitted)
        assertEquals(emptyList<String>(), cluster.checker.violations.take(5))
        (1..720).forEach {
            assertTrue(
                cluster.stageOf(jobId(it)) == "done" || it % 4 == 0 && cluster.stageOf(jobId(it)) == "withdrawn",
                "${jobId(it)} is ${cluster.stageOf(jobId(it))}",
            )
        }
        assertTrue(changes / 180.0 < cluster.settings.state.writeRps * 0.75, "${changes / 180.0} changes a second")
        assertTrue(
            cluster.state.requestMeter.exceededCount == 0 && cluster.state.writeMeter.exceededCount == 0,
            "beyond the settings: ${cluster.state.requestMeter.exceededCount} calls, ${cluster.state.writeMeter.exceededCount} changes",
        )
    }

    @Test
    fun `jobs of two priorities are done under scarce capacity and over slow links`() {
        cluster = SimulatedCluster(7, nodeCount = 3)
        cluster.cloud.capacity = 5
        for (n in 1..24) {
            after(2.0 + n) {
                cluster.submit(
                    SimulatedCluster.job(
                        n,
                        tasks = 4,
                        runS = 15.0,
                        priority = if (n % 3 == 0) Priority.HIGH else Priority.LOW,
                    ),
                    if (n % 8 == 0) 10.0 else null,
                )
            }
        }
        // Every ten seconds, all messages between the nodes and the state service or the workers are held for 3 s.
        for (round in 1..10) {
            after(round * 10.0) {
                cluster.nodes.forEach { node ->
                    listOf("state", "workers").forEach { cluster.network.cutBoth(node.name, it, LinkCut.HOLD) }
                }
                after(3.0) { cluster.network.healAll() }
            }
        }
        runFor(330.0)
        assertEquals(emptyList<String>(), cluster.checker.violations.take(5))
        assertEquals(5, cluster.cloud.maxInstances)
        (1..24).forEach {
            assertTrue(
                cluster.stageOf(jobId(it)) in if (it % 8 == 0) {
                    setOf("done", "withdrawn")
                } else {
                    setOf("done")
                },
                "${jobId(it)} is ${cluster.stageOf(jobId(it))}",
            )
        }
    }
}

package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.model.WorkerTimes
import plankwall.simulation.LinkCut
import plankwall.simulation.SimulatedCluster
import plankwall.simulation.SimulatedController
import plankwall.simulation.SimulatedWorker
import plankwall.wire.Keys
import plankwall.wire.StateOp

/**
 * Tests that cancelled tasks stop in time in the following case: the state service refuses only the leader, another
 * node confirms a cancellation, and then the state service is unavailable to all nodes for longer than `cancel_s`,
 * while workers report to the old leader. The checker reports `ran_cancelled` by the time at which the user got the
 * confirmation.
 */
class CancellationGapTest {
    private lateinit var cluster: SimulatedCluster
    private lateinit var firstLeader: SimulatedController
    private val others get() = cluster.nodes.filter { it !== firstLeader }

    private fun startCluster(times: WorkerTimes = SimulatedCluster.settings("n0", 5).workers) {
        cluster = SimulatedCluster(7, nodeCount = 5, times = times)
        cluster.clock.after(2.0) {
            (1..6).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 10, runS = 900.0)) }
        }
        cluster.clock.runUntil(60.0)
        assertEquals(60, cluster.checker.starts)
        firstLeader = cluster.nodes.first { it.isLeader }
    }

    private fun refuseStoreCalls(node: SimulatedController, durationS: Double) {
        cluster.faults.cuts.add("${node.name}-state")
        cluster.clock.after(durationS) { cluster.faults.cuts.remove("${node.name}-state") }
    }

    private fun outage(durationS: Double) {
        cluster.state.outage = true
        cluster.clock.after(durationS) { cluster.state.outage = false }
    }

    private var confirmedCancellations = 0

    private fun cancel(node: SimulatedController, job: Int, onConfirmed: () -> Unit = {}) {
        val id = "job-%06d".format(job)
        cluster.checker.cancelRequested(id)
        node.sendRequest({ Input.Cancel(it, id) }) { status, body ->
            if (status != 200) return@sendRequest
            confirmedCancellations++
            cluster.checker.cancelAnswered(
                id,
                SimulatedWorker.json.readTree(body).get("stage").asText(),
                cluster.clock.now,
            )
            onConfirmed()
        }
    }

    /**
     * Runs for 200 s and asserts that the first [cancellations] jobs were cancelled in time and all other jobs run.
     * [expectKilled] says whether leases must have killed tasks, since the leader was not told of a cancellation in
     * time; null allows both.
     */
    private fun assertOutcome(cancellations: Int, expectKilled: Boolean?) {
        cluster.clock.runUntil(cluster.clock.now + 200.0)
        assertEquals(cancellations, confirmedCancellations, "confirmed cancellations")
        assertEquals(emptyList<String>(), cluster.checker.violations)
        if (expectKilled != null) {
            assertEquals(
                expectKilled,
                cluster.tasksKilledByLease > 0,
                "${cluster.tasksKilledByLease} tasks killed by their lease",
            )
        }
        // Tasks that were killed run again, except those of cancelled jobs, and no job waits for ever.
        (1..6).forEach {
            assertEquals(
                if (it <= cancellations) "withdrawn" else "running",
                cluster.stageOf("job-%06d".format(it)),
            )
        }
    }

    @ParameterizedTest(name = "{0}, tasks killed by their lease is {1}")
    @CsvSource(
        "no further fault, false",
        "at the very moment, false",
        "the peers can't be heard either, true",
        "whoever confirmed crashes right after, true",
        "whoever confirmed crashes and is back at once,",
        "whoever confirmed stands still and goes on, true",
        "the word is held back, true",
        "the word is lost, true",
        "whoever confirmed is of an older version, true",
        "a leader has just won,",
        "a leader reads the book page by page,",
        "the old leader goes on beside the new one,",
        "twice in a row, false",
    )
    fun `tasks of a cancelled job stop in time although the leader has lost the store`(
        circumstance: String,
        expectKilled: Boolean?,
    ) {
        startCluster()
        val by = others.first()
        var cancellations = 1
        if (circumstance == "whoever confirmed is of an older version") {
            cluster.faults.previousVersionNodes.add(by.name)
            cluster.clock.runUntil(70.0)
        }
        refuseStoreCalls(firstLeader, 14.0)
        when (circumstance) {
            "a leader has just won" -> onSecondLeader(by) { true }
            "a leader reads the book page by page" -> onSecondLeader(by) { effect ->
                ((effect as? Effect.StateCall)?.op as? StateOp.Range)?.prefix ==
                    Keys.PAGES
            }
            "the old leader goes on beside the new one" -> {
                cluster.faults.cuts.add("${firstLeader.name}-peers")
                cluster.clock.after(10.0) { cancelBeforeOutage(by) }
            }
            else -> cluster.clock.after(
                if (circumstance == "at the very moment") 0.0 else 0.5,
            ) { cancel(by, 1) { injectAfterConfirmation(circumstance, by) } }
        }
        if (!circumstance.startsWith("a leader") && !circumstance.startsWith("the old leader")) {
            cluster.clock.after(if (circumstance == "at the very moment") 1.0 else 1.5) { outage(60.0 - 8.0) }
        }
        if (circumstance == "the peers can't be heard either") cluster.faults.cuts.add("${firstLeader.name}-peers")
        if (circumstance == "twice in a row") {
            cancellations = 2
            cluster.clock.after(100.0) {
                firstLeader = cluster.nodes.first { it.isLeader }
                refuseStoreCalls(firstLeader, 14.0)
                cluster.clock.after(0.5) { cancel(others.last(), 2) }
                cluster.clock.after(1.5) { outage(50.0) }
            }
        }
        cluster.clock.after(100.0) { cluster.faults.cuts.clear() }
        assertOutcome(cancellations, expectKilled)
    }

    private fun injectAfterConfirmation(circumstance: String, by: SimulatedController) {
        when (circumstance) {
            "whoever confirmed crashes right after" -> by.crash(30.0)
            "whoever confirmed crashes and is back at once" -> by.crash(0.2)
            "whoever confirmed stands still and goes on" -> by.freeze(45.0)
            "the word is held back" -> cutFromFirstLeader(by, LinkCut.HOLD)
            "the word is lost" -> cutFromFirstLeader(by, LinkCut.DROP)
        }
    }

    private fun cutFromFirstLeader(node: SimulatedController, linkCut: LinkCut) {
        cluster.network.cutBoth(node.name, firstLeader.name, linkCut)
        cluster.clock.after(70.0) { cluster.network.healBoth(node.name, firstLeader.name) }
    }

    /** Cancels job 1 at [by]; an outage of the state service for all nodes follows 29 ms later. */
    private fun cancelBeforeOutage(by: SimulatedController) {
        cluster.clock.after(0.001) { cancel(by, 1) }
        cluster.clock.after(0.03) { outage(60.0) }
    }

    /** Calls [cancelBeforeOutage] at the first effect of another leader for which [isTrigger] returns true. */
    private fun onSecondLeader(by: SimulatedController, isTrigger: (Effect) -> Boolean) {
        var triggered = false
        cluster.onEffect = { node, effect ->
            if (!triggered && node !== firstLeader && node.isLeader && isTrigger(effect)) {
                triggered = true
                cancelBeforeOutage(by)
            }
        }
    }

    @ParameterizedTest(name = "report {0} s, lease {1} s, cancel {2} s")
    @CsvSource("3, 18, 38", "3, 28, 53", "4, 18, 38", "5, 28, 53")
    fun `tasks of a cancelled job stop in time with the operators' settings with or without reachable peers`(
        reportS: Double,
        leaseS: Double,
        cancelS: Double,
    ) {
        for (peersReachable in listOf(true, false)) {
            confirmedCancellations = 0
            startCluster(WorkerTimes(reportS, leaseS, 45.0, 5.0, cancelS))
            refuseStoreCalls(firstLeader, 14.0)
            if (!peersReachable) cluster.faults.cuts.add("${firstLeader.name}-peers")
            cluster.clock.after(0.5) { cancel(others.first(), 1) }
            cluster.clock.after(1.5) { outage(cancelS + 12.0) }
            cluster.clock.after(100.0) { cluster.faults.cuts.clear() }
            assertOutcome(1, expectKilled = !peersReachable)
        }
    }

    @Test
    fun `an outage of the state service alone stops no task`() {
        startCluster()
        outage(52.0)
        cluster.clock.runUntil(cluster.clock.now + 100.0)
        assertEquals(0, cluster.tasksKilledByLease)
        assertEquals(60, cluster.checker.starts)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertTrue(cluster.nodes.count { it.isLeader } == 1)
    }
}

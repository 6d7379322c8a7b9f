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
 * The store refuses the leader alone, another node confirms a withdrawal, then the store is away for all for longer
 * than `cancel_s`, while workers report to the old leader. The checker says `ran_cancelled` by the user's clock.
 */
class CancellationGapTest {
    private lateinit var cluster: SimulatedCluster
    private lateinit var first: SimulatedController
    private val others get() = cluster.nodes.filter { it !== first }

    private fun begin(times: WorkerTimes = SimulatedCluster.settings("n0", 5).workers) {
        cluster = SimulatedCluster(7, nodeCount = 5, times = times)
        cluster.clock.after(2.0) {
            (1..6).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 10, runS = 900.0)) }
        }
        cluster.clock.runUntil(60.0)
        assertEquals(60, cluster.checker.starts)
        first = cluster.nodes.first { it.isLeader }
    }

    private fun refuse(node: SimulatedController, forS: Double) {
        cluster.faults.cuts.add("${node.name}-state")
        cluster.clock.after(forS) { cluster.faults.cuts.remove("${node.name}-state") }
    }

    private fun outage(forS: Double) {
        cluster.state.outage = true
        cluster.clock.after(forS) { cluster.state.outage = false }
    }

    private var told = 0

    private fun cancel(node: SimulatedController, job: Int, then: () -> Unit = {}) {
        val id = "job-%06d".format(job)
        cluster.checker.cancelRequested(id)
        node.sendRequest({ Input.Cancel(it, id) }) { status, body ->
            if (status != 200) return@sendRequest
            told++
            cluster.checker.cancelAnswered(
                id,
                SimulatedWorker.json.readTree(body).get("stage").asText(),
                cluster.clock.now,
            )
            then()
        }
    }

    /** [killed]: whether a bound has to end the work since no word came; null: either will do. */
    private fun ends(cancellations: Int, killed: Boolean?) {
        cluster.clock.runUntil(cluster.clock.now + 200.0)
        assertEquals(cancellations, told, "withdrawals confirmed")
        assertEquals(emptyList<String>(), cluster.checker.violations)
        if (killed != null) {
            assertEquals(
                killed,
                cluster.tasksKilledByLease > 0,
                "${cluster.tasksKilledByLease} tasks killed by their lease",
            )
        }
        // Whatever was killed meanwhile runs again: all but the withdrawn jobs, and nothing waits for ever.
        (1..6).forEach {
            assertEquals(
                if (it <= cancellations) "withdrawn" else "running",
                cluster.stageOf("job-%06d".format(it)),
            )
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "as it stands, false",
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
    fun `a withdrawn job's tasks are gone in time`(how: String, killed: Boolean?) {
        begin()
        val by = others.first()
        var cancellations = 1
        if (how == "whoever confirmed is of an older version") {
            cluster.faults.previousVersionNodes.add(by.name)
            cluster.clock.runUntil(70.0)
        }
        refuse(first, 14.0)
        when (how) {
            "a leader has just won" -> onSecond(by) { true }
            "a leader reads the book page by page" -> onSecond(by) { e ->
                ((e as? Effect.StateCall)?.op as? StateOp.Range)?.prefix ==
                    Keys.PAGES
            }
            "the old leader goes on beside the new one" -> {
                cluster.faults.cuts.add("${first.name}-peers")
                cluster.clock.after(10.0) { gap(by) }
            }
            else -> cluster.clock.after(
                if (how == "at the very moment") 0.0 else 0.5,
            ) { cancel(by, 1) { after(how, by) } }
        }
        if (!how.startsWith("a leader") && !how.startsWith("the old leader")) {
            cluster.clock.after(if (how == "at the very moment") 1.0 else 1.5) { outage(60.0 - 8.0) }
        }
        if (how == "the peers can't be heard either") cluster.faults.cuts.add("${first.name}-peers")
        if (how == "twice in a row") {
            cancellations = 2
            cluster.clock.after(100.0) {
                first = cluster.nodes.first { it.isLeader }
                refuse(first, 14.0)
                cluster.clock.after(0.5) { cancel(others.last(), 2) }
                cluster.clock.after(1.5) { outage(50.0) }
            }
        }
        cluster.clock.after(100.0) { cluster.faults.cuts.clear() }
        ends(cancellations, killed)
    }

    private fun after(how: String, by: SimulatedController) {
        when (how) {
            "whoever confirmed crashes right after" -> by.crash(30.0)
            "whoever confirmed crashes and is back at once" -> by.crash(0.2)
            "whoever confirmed stands still and goes on" -> by.freeze(45.0)
            "the word is held back" -> apart(by, LinkCut.HOLD)
            "the word is lost" -> apart(by, LinkCut.DROP)
        }
    }

    private fun apart(node: SimulatedController, how: LinkCut) {
        cluster.network.cutBoth(node.name, first.name, how)
        cluster.clock.after(70.0) { cluster.network.healBoth(node.name, first.name) }
    }

    /** The confirmation, and the outage for all right after it. */
    private fun gap(by: SimulatedController) {
        cluster.clock.after(0.001) { cancel(by, 1) }
        cluster.clock.after(0.03) { outage(60.0) }
    }

    /** The gap, once, as soon as a second leader does what [moment] waits for. */
    private fun onSecond(by: SimulatedController, moment: (Effect) -> Boolean) {
        var over = false
        cluster.onEffect = { node, effect ->
            if (!over && node !== first && node.isLeader && moment(effect)) {
                over = true
                gap(by)
            }
        }
    }

    @ParameterizedTest(name = "report {0} s, lease {1} s, cancel {2} s")
    @CsvSource("3, 18, 38", "3, 28, 53", "4, 18, 38", "5, 28, 53")
    fun `in time by the operators' own figures, with the peers heard or not`(
        reportS: Double,
        leaseS: Double,
        cancelS: Double,
    ) {
        for (heard in listOf(true, false)) {
            told = 0
            begin(WorkerTimes(reportS, leaseS, 45.0, 5.0, cancelS))
            refuse(first, 14.0)
            if (!heard) cluster.faults.cuts.add("${first.name}-peers")
            cluster.clock.after(0.5) { cancel(others.first(), 1) }
            cluster.clock.after(1.5) { outage(cancelS + 12.0) }
            cluster.clock.after(100.0) { cluster.faults.cuts.clear() }
            ends(1, killed = !heard)
        }
    }

    @Test
    fun `a plain outage stops nothing that could run`() {
        begin()
        outage(52.0)
        cluster.clock.runUntil(cluster.clock.now + 100.0)
        assertEquals(0, cluster.tasksKilledByLease)
        assertEquals(60, cluster.checker.starts)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertTrue(cluster.nodes.count { it.isLeader } == 1)
    }
}

package plankwall.core.cancellations

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.statemachine.Context
import plankwall.model.Tuning
import plankwall.simulation.SimulatedCluster
import plankwall.wire.CancellationUpdate
import plankwall.wire.PeerCodec
import plankwall.wire.PeerStatus
import plankwall.wire.ReachabilityReport
import java.util.Random

/**
 * Tests up to which moment a node knows all cancellations that were confirmed to users, from its reads of the store and
 * its peers' updates.
 */
class CancellationsTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1000, Random(1)).apply {
        time.advance(100.0, 0)
    }
    private val reachability = ReachabilityMatrix(ctx)
    private val cancellations = Cancellations(ctx, reachability)
    private val learned = ArrayList<String>().also { cancellations.onLearned = it::add }
    private var lastSeq = 10L

    private fun advanceTime(seconds: Double) = ctx.time.advance(ctx.now + seconds, 0)

    private fun receive(
        node: String,
        update: CancellationUpdate?,
        echo: Long? = reachability.createReport(0, null, null).seq,
        frameSeq: Long = ++lastSeq,
        incarnation: Long = 1,
    ) {
        val echoes = listOfNotNull(echo).associateBy { "n0" }
        val links = ReachabilityReport(frameSeq, echoes, listOf(0, 0, 0, 0), 0, 0, emptyList(), null, null)
        val status = PeerStatus(node, incarnation, 5, false, 0, true, 0, PeerCodec.LEVEL, links, update)
        // Written and read, as it is on its way between nodes.
        val received = PeerCodec.read(PeerCodec.write(status)) as PeerStatus
        if (reachability.onStatus(received)) cancellations.onStatus(received)
    }

    private fun completeList(upS: Double = 50.0, readAgeS: Double? = null, vararg jobs: String) =
        CancellationUpdate(1, jobs.toList(), readAgeS?.let { (it * 1000).toLong() } ?: -1, (upS * 1000).toLong())

    /**
     * Applies [events], which are separated by spaces:
     * - `read`: this node reads the store
     * - `wait:SECONDS`: time passes
     * - `whole:NODE`: the node sends an update, complete since its start, that echoes this node's newest frame
     * - `slow:NODE`: the same, but the echo may be up to 10 s old
     * - `unechoed:NODE`: the same without an echo
     * - `older:NODE`: the node sends a status of a version that sends no cancellations
     * - `replayed:NODE`: an old frame of the node arrives again
     * - `restarted:NODE/UP_S`: the node, which started UP_S seconds ago, sends an update
     * - `gap:NODE`: the node sends an update, but entries are missing before its first
     * - `reads:NODE/AGE_S`: the node sends an update after it read the store itself AGE_S seconds ago
     */
    private fun applyEvents(events: String) = events.split(' ').forEach { event ->
        val (kind, argument) = event.split(':', limit = 2).let { it[0] to it.getOrElse(1) { "" } }
        val node = argument.substringBefore('/')
        val seconds = argument.substringAfter('/').toDoubleOrNull() ?: 0.0
        when (kind) {
            "read" -> cancellations.onStoreRead(ctx.now)
            "wait" -> advanceTime(seconds)
            "whole" -> receive(node, completeList())
            "slow" -> reachability.createReport(0, null, null).seq.let { echo ->
                advanceTime(10.0)
                receive(node, completeList(), echo)
            }
            "unechoed" -> receive(node, completeList(), echo = null)
            "older" -> receive(node, null)
            "replayed" -> receive(node, completeList(), frameSeq = 10)
            "restarted" -> receive(node, completeList(upS = seconds), incarnation = 2)
            "gap" -> receive(node, completeList().copy(first = 4))
            "reads" -> receive(node, completeList(readAgeS = seconds))
            else -> error(event)
        }
    }

    @ParameterizedTest(name = "after {0} they are known up to {1} s ago")
    @CsvSource(
        // events, seconds since the moment up to which cancellations are known ("-": there is no such moment)
        "read wait:5 whole:n1 whole:n2, 0.0",
        "read wait:5 whole:n1, 5.0",
        "whole:n1 whole:n2, -",
        "read whole:n1 slow:n2, 10.0",
        "read wait:5 whole:n1 unechoed:n2, 5.0",
        "read wait:5 whole:n1 older:n2, 5.0",
        // A list that is complete since a node's start proves nothing about what the node confirmed before. It proves
        // everything if the node has been up since this node's read.
        "read wait:5 whole:n1 restarted:n2/2, 5.0",
        "read wait:5 whole:n1 restarted:n2/30, 0.0",
        "read whole:n1 whole:n2 wait:5 whole:n1 restarted:n2/1, 5.0",
        "read whole:n1 whole:n2 wait:5 whole:n1 restarted:n2/1 read wait:3 whole:n1 restarted:n2/4, 0.0",
        "read wait:5 whole:n1 gap:n2, 5.0",
        "read wait:5 gap:n2 wait:1 read wait:2 whole:n1 gap:n2, 0.0",
        "read whole:n1 whole:n2 wait:5 replayed:n1 whole:n2, 5.0",
        // A peer's read of the store proves as much as this node's own if the peer's list is complete since before this
        // node's last read. Otherwise it proves nothing.
        "read whole:n1 whole:n2 wait:5 reads:n1/1, 1.0",
        "reads:n1/1 reads:n2/1, -",
        "read wait:5 restarted:n1/2, 5.0",
        "read wait:5 reads:n1/30, 5.0",
    )
    fun `confirmed cancellations are known up to the last read or the oldest update of a peer`(
        events: String,
        lagS: String,
    ) {
        applyEvents(events)
        val lag = ctx.now - cancellations.confirmedKnownUpTo
        assertEquals(lagS, if (lag.isInfinite()) "-" else "%.1f".format(lag))
        assertEquals(lag <= cancellations.toleratedLagS, cancellations.isUpToDate)
        // The known moment does not advance merely because time passes.
        advanceTime(cancellations.toleratedLagS + 0.1)
        assertEquals(false, cancellations.isUpToDate)
    }

    @ParameterizedTest(name = "after {0}: sent again {1}")
    @CsvSource(
        // what happens after the first update ("echoed": by both peers, "one": by one peer), jobs that are sent again
        "nothing, job-000001 job-000002",
        "echoed, ''",
        "wait, ''",
        "one, job-000001 job-000002",
    )
    fun `a learned cancellation is sent again until each peer has echoed it or its time limit is over`(
        event: String,
        jobsSentAgain: String,
    ) {
        listOf("job-000001", "job-000002", "job-000001").forEach(cancellations::recordCancelled)
        assertEquals(listOf("job-000001", "job-000002"), learned)
        val frameSeq = reachability.createReport(0, null, null).seq
        assertEquals(2, cancellations.nextUpdate(frameSeq).jobs.size)
        when (event) {
            "echoed" -> listOf("n1", "n2").forEach { receive(it, completeList(), frameSeq) }
            "one" -> receive("n1", completeList(), frameSeq)
            "wait" -> advanceTime(ctx.settings.workers.cancelS + 1.0)
        }
        val update = cancellations.nextUpdate(frameSeq + 1)
        assertEquals(jobsSentAgain, update.jobs.joinToString(" "))
        assertEquals(3, update.first + update.jobs.size, "the numbers of the entries continue")
    }

    @ParameterizedTest
    @CsvSource("n1, 2", "n2, 5")
    fun `a cancellation from a peer is learned once, and known until the job has ended`(
        node: String,
        firstNumber: Long,
    ) {
        repeat(2) { receive(node, completeList().copy(first = firstNumber, jobs = listOf("job-000007"))) }
        assertEquals(listOf("job-000007"), learned)
        assertEquals(true, cancellations.isKnown("job-000007"))
        // This node may confirm the cancellation itself later. Its list claims to be complete, so it must name the job.
        cancellations.recordCancelled("job-000007")
        assertEquals(listOf("job-000007"), cancellations.nextUpdate(1).jobs)
        cancellations.onJobEnded("job-000007")
        assertEquals(false, cancellations.isKnown("job-000007"))
    }

    @Test
    fun `a peer's read counts as older than it states by the time that its clock may have lost since`() {
        applyEvents("read")
        advanceTime(60.0)
        receive("n1", completeList(upS = 100.0, readAgeS = 40.0))
        assertTrue(
            cancellations.storedKnownUpTo in ctx.now - 40.1..ctx.now - 40.04,
            "${ctx.now - cancellations.storedKnownUpTo}",
        )
    }
}

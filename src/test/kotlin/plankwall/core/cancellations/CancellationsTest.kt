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

/** Up to when a node knows all cancellations confirmed to users, from its reads of the store and its peers' updates. */
class CancellationsTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1000, Random(1)).apply {
        time.advance(100.0, 0)
    }
    private val reachability = ReachabilityMatrix(ctx)
    private val cancellations = Cancellations(ctx, reachability)
    private val learned = ArrayList<String>().also { cancellations.onLearned = it::add }
    private var seq = 10L

    private fun wait(seconds: Double) = ctx.time.advance(ctx.now + seconds, 0)

    private fun receive(
        node: String,
        update: CancellationUpdate?,
        echo: Long? = reachability.createReport(0, null, null).seq,
        number: Long = ++seq,
        incarnation: Long = 1,
    ) {
        val echoes = listOfNotNull(echo).associateBy { "n0" }
        val links = ReachabilityReport(number, echoes, listOf(0, 0, 0, 0), 0, 0, emptyList(), null, null)
        val status = PeerStatus(node, incarnation, 5, false, 0, true, 0, PeerCodec.LEVEL, links, update)
        // As it comes over the wire.
        val received = PeerCodec.read(PeerCodec.write(status)) as PeerStatus
        if (reachability.onStatus(received)) cancellations.onStatus(received)
    }

    private fun completeList(upS: Double = 50.0, readAgeS: Double? = null, vararg jobs: String) =
        CancellationUpdate(1, jobs.toList(), readAgeS?.let { (it * 1000).toLong() } ?: -1, (upS * 1000).toLong())

    /**
     * read, wait:SECONDS, whole:NODE, slow:NODE (made up to 10 s ago), unechoed:NODE, older:NODE (of a version that
     * sends no cancellations), replayed:NODE, restarted:NODE/UP_S, gap:NODE (numbers are missing before its first),
     * reads:NODE/AGE_S (it has read the store itself).
     */
    private fun applyEvents(events: String) = events.split(' ').forEach { event ->
        val (kind, what) = event.split(':', limit = 2).let { it[0] to it.getOrElse(1) { "" } }
        val node = what.substringBefore('/')
        val seconds = what.substringAfter('/').toDoubleOrNull() ?: 0.0
        when (kind) {
            "read" -> cancellations.onStoreRead(ctx.now)
            "wait" -> wait(seconds)
            "whole" -> receive(node, completeList())
            "slow" -> reachability.createReport(0, null, null).seq.let { echo ->
                wait(10.0)
                receive(node, completeList(), echo)
            }
            "unechoed" -> receive(node, completeList(), echo = null)
            "older" -> receive(node, null)
            "replayed" -> receive(node, completeList(), number = 10)
            "restarted" -> receive(node, completeList(upS = seconds), incarnation = 2)
            "gap" -> receive(node, completeList().copy(first = 4))
            "reads" -> receive(node, completeList(readAgeS = seconds))
            else -> error(event)
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "read wait:5 whole:n1 whole:n2, 0.0",
        "read wait:5 whole:n1, 5.0",
        "whole:n1 whole:n2, -",
        "read whole:n1 slow:n2, 10.0",
        "read wait:5 whole:n1 unechoed:n2, 5.0",
        "read wait:5 whole:n1 older:n2, 5.0",
        // A list that is complete from a node's start proves nothing of what it confirmed before, but all if it has
        // been up since the read.
        "read wait:5 whole:n1 restarted:n2/2, 5.0",
        "read wait:5 whole:n1 restarted:n2/30, 0.0",
        "read whole:n1 whole:n2 wait:5 whole:n1 restarted:n2/1, 5.0",
        "read whole:n1 whole:n2 wait:5 whole:n1 restarted:n2/1 read wait:3 whole:n1 restarted:n2/4, 0.0",
        "read wait:5 whole:n1 gap:n2, 5.0",
        "read wait:5 gap:n2 wait:1 read wait:2 whole:n1 gap:n2, 0.0",
        "read whole:n1 whole:n2 wait:5 replayed:n1 whole:n2, 5.0",
        // A peer's read proves as much where its list is complete from before this node's own read; else it proves
        // nothing.
        "read whole:n1 whole:n2 wait:5 reads:n1/1, 1.0",
        "reads:n1/1 reads:n2/1, -",
        "read wait:5 restarted:n1/2, 5.0",
        "read wait:5 reads:n1/30, 5.0",
    )
    fun `up to when cancellations are known`(events: String, behindS: String) {
        applyEvents(events)
        val behind = ctx.now - cancellations.confirmedKnownUpTo
        assertEquals(behindS, if (behind.isInfinite()) "-" else "%.1f".format(behind))
        assertEquals(behind <= cancellations.toleratedLagS, cancellations.isUpToDate)
        // The known moment does not advance by time alone.
        wait(cancellations.toleratedLagS + 0.1)
        assertEquals(false, cancellations.isUpToDate)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "nothing, job-000001 job-000002",
        "echoed, ''",
        "wait, ''",
        "one, job-000001 job-000002",
    )
    fun `what was learned is repeated until each peer has had it, for as long as it matters`(
        what: String,
        sentAgain: String,
    ) {
        listOf("job-000001", "job-000002", "job-000001").forEach(cancellations::recordCancelled)
        assertEquals(listOf("job-000001", "job-000002"), learned)
        val frame = reachability.createReport(0, null, null).seq
        assertEquals(2, cancellations.nextUpdate(frame).jobs.size)
        when (what) {
            "echoed" -> listOf("n1", "n2").forEach { receive(it, completeList(), frame) }
            "one" -> receive("n1", completeList(), frame)
            "wait" -> wait(ctx.settings.workers.cancelS + 1.0)
        }
        val update = cancellations.nextUpdate(frame + 1)
        assertEquals(sentAgain, update.jobs.joinToString(" "))
        assertEquals(3, update.first + update.jobs.size, "numbers go on")
    }

    @ParameterizedTest
    @CsvSource("n1, 2", "n2, 5")
    fun `a cancellation from a peer is learned once, and known until the job has ended`(node: String, first: Long) {
        repeat(2) { receive(node, completeList().copy(first = first, jobs = listOf("job-000007"))) }
        assertEquals(listOf("job-000007"), learned)
        assertEquals(true, cancellations.isKnown("job-000007"))
        // Confirmed by this node later, it would be missing from a list that claims to be complete.
        cancellations.recordCancelled("job-000007")
        assertEquals(listOf("job-000007"), cancellations.nextUpdate(1).jobs)
        cancellations.onJobEnded("job-000007")
        assertEquals(false, cancellations.isKnown("job-000007"))
    }

    @Test
    fun `a peer's read is as old as it states, and older by what its clock may be slow`() {
        applyEvents("read")
        wait(60.0)
        receive("n1", completeList(upS = 100.0, readAgeS = 40.0))
        assertTrue(
            cancellations.storedKnownUpTo in ctx.now - 40.1..ctx.now - 40.04,
            "${ctx.now - cancellations.storedKnownUpTo}",
        )
    }
}

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

/** Up to when a node knows all withdrawals that users were told of, from what it has read and heard. */
class CancellationsTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1000, Random(1)).apply {
        time.advance(100.0, 0)
    }
    private val reachability = ReachabilityMatrix(ctx)
    private val cancellations = Cancellations(ctx, reachability)
    private val learned = ArrayList<String>().also { cancellations.onLearned = it::add }
    private var seq = 10L

    private fun wait(seconds: Double) = ctx.time.advance(ctx.now + seconds, 0)

    private fun says(
        node: String,
        news: CancellationUpdate?,
        echo: Long? = reachability.report(0, null, null).seq,
        number: Long = ++seq,
        incarnation: Long = 1,
    ) {
        val links =
            ReachabilityReport(
                number,
                listOfNotNull(echo).associateBy {
                    "n0"
                },
                listOf(0, 0, 0, 0),
                0,
                0,
                emptyList(),
                null,
                null,
            )
        val status = PeerStatus(node, incarnation, 5, false, 0, true, 0, PeerCodec.LEVEL, links, news)
        // As it comes over the wire.
        val heard = PeerCodec.read(PeerCodec.write(status)) as PeerStatus
        if (reachability.onStatus(heard)) cancellations.onStatus(heard)
    }

    private fun whole(upS: Double = 50.0, readAgeS: Double? = null, vararg jobs: String) =
        CancellationUpdate(1, jobs.toList(), readAgeS?.let { (it * 1000).toLong() } ?: -1, (upS * 1000).toLong())

    /**
     * read, wait:SECONDS, whole:NODE, slow:NODE (made up to 10 s ago), unechoed:NODE, older:NODE (of a version that
     * tells nothing), replayed:NODE, restarted:NODE/UP_S, gap:NODE (numbers are missing before its first),
     * reads:NODE/AGE_S (it has read the store itself).
     */
    private fun happen(words: String) = words.split(' ').forEach { word ->
        val (kind, what) = word.split(':', limit = 2).let { it[0] to it.getOrElse(1) { "" } }
        val node = what.substringBefore('/')
        val seconds = what.substringAfter('/').toDoubleOrNull() ?: 0.0
        when (kind) {
            "read" -> cancellations.readUpTo(ctx.now)
            "wait" -> wait(seconds)
            "whole" -> says(node, whole())
            "slow" -> reachability.report(0, null, null).seq.let { echo ->
                wait(10.0)
                says(node, whole(), echo)
            }
            "unechoed" -> says(node, whole(), echo = null)
            "older" -> says(node, null)
            "replayed" -> says(node, whole(), number = 10)
            "restarted" -> says(node, whole(upS = seconds), incarnation = 2)
            "gap" -> says(node, whole().copy(first = 4))
            "reads" -> says(node, whole(readAgeS = seconds))
            else -> error(word)
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
        // A list that is whole from a node's start proves nothing of what it told before, but all if it has been up
        // since the reading.
        "read wait:5 whole:n1 restarted:n2/2, 5.0",
        "read wait:5 whole:n1 restarted:n2/30, 0.0",
        "read whole:n1 whole:n2 wait:5 whole:n1 restarted:n2/1, 5.0",
        "read whole:n1 whole:n2 wait:5 whole:n1 restarted:n2/1 read wait:3 whole:n1 restarted:n2/4, 0.0",
        "read wait:5 whole:n1 gap:n2, 5.0",
        "read wait:5 gap:n2 wait:1 read wait:2 whole:n1 gap:n2, 0.0",
        "read whole:n1 whole:n2 wait:5 replayed:n1 whole:n2, 5.0",
        // What a peer has read serves as well, where its list is whole from before our own reading; else it is nobody's
        // proof.
        "read whole:n1 whole:n2 wait:5 reads:n1/1, 1.0",
        "reads:n1/1 reads:n2/1, -",
        "read wait:5 restarted:n1/2, 5.0",
        "read wait:5 reads:n1/30, 5.0",
    )
    fun `what is surely known`(words: String, behindS: String) {
        happen(words)
        val behind = ctx.now - cancellations.knownUpTo
        assertEquals(behindS, if (behind.isInfinite()) "-" else "%.1f".format(behind))
        assertEquals(behind <= cancellations.toleratedLagS, cancellations.isAware)
        // Time alone brings no knowledge.
        wait(cancellations.toleratedLagS + 0.1)
        assertEquals(false, cancellations.isAware)
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
        told: String,
    ) {
        listOf("job-000001", "job-000002", "job-000001").forEach(cancellations::learn)
        assertEquals(listOf("job-000001", "job-000002"), learned)
        val frame = reachability.report(0, null, null).seq
        assertEquals(2, cancellations.nextUpdate(frame).jobs.size)
        when (what) {
            "echoed" -> listOf("n1", "n2").forEach { says(it, whole(), frame) }
            "one" -> says("n1", whole(), frame)
            "wait" -> wait(ctx.settings.workers.cancelS + 1.0)
        }
        val news = cancellations.nextUpdate(frame + 1)
        assertEquals(told, news.jobs.joinToString(" "))
        assertEquals(3, news.first + news.jobs.size, "numbers go on")
    }

    @ParameterizedTest
    @CsvSource("n1, 2", "n2, 5")
    fun `word of a peer is learned once, and known until the job is over`(node: String, first: Long) {
        repeat(2) { says(node, whole().copy(first = first, jobs = listOf("job-000007"))) }
        assertEquals(listOf("job-000007"), learned)
        assertEquals(true, cancellations.isKnown("job-000007"))
        // Told by this node later, it would be missing from a list that claims to be whole.
        cancellations.learn("job-000007")
        assertEquals(listOf("job-000007"), cancellations.nextUpdate(1).jobs)
        cancellations.onJobEnded("job-000007")
        assertEquals(false, cancellations.isKnown("job-000007"))
    }

    @Test
    fun `a peer's reading is as old as it says, and older by what its clock may be slow`() {
        happen("read")
        wait(60.0)
        says("n1", whole(upS = 100.0, readAgeS = 40.0))
        assertTrue(cancellations.storedUpTo in ctx.now - 40.1..ctx.now - 40.04, "${ctx.now - cancellations.storedUpTo}")
    }
}

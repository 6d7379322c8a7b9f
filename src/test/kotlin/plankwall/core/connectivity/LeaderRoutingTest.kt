package plankwall.core.connectivity

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.statemachine.Context
import plankwall.model.Tuning
import plankwall.simulation.SimulatedCluster
import plankwall.wire.LeaderSighting
import plankwall.wire.PeerStatus
import plankwall.wire.ReachabilityReport
import java.util.Random

/** Tests which leader a node names, and when it tries to acquire leadership, from what it has read and received. */
class LeaderRoutingTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 5), Tuning(), 1000, Random(1)).apply {
        time.advance(100.0, 0)
    }
    private val reachability = ReachabilityMatrix(ctx)
    private val routing = LeaderRouting(ctx, reachability, 2.5)

    /** The sequence number of a new frame of this node, for a peer to echo. */
    private val newFrameSeq get() = reachability.createReport(0, null, null).seq

    private fun links(
        seq: Long,
        echo: Long,
        leader: LeaderSighting? = null,
        recentWorkers: Int = 0,
        successor: String? = null,
    ) = ReachabilityReport(
        seq,
        mapOf("n0" to echo),
        listOf(0, 0, 0, 0),
        0,
        recentWorkers,
        emptyList(),
        leader,
        successor,
    )

    private fun receive(
        node: String,
        epoch: Long,
        leading: Boolean,
        resignedEpoch: Long = 0,
        links: ReachabilityReport?,
    ) {
        val status = PeerStatus(node, 1, epoch, leading, resignedEpoch, true, 0, 2, links)
        routing.onEpoch(epoch)
        reachability.onStatus(status)
    }

    /**
     * Applies [events], which are separated by spaces:
     * - `read:NODE@EPOCH`: this node reads from the leader's key that the node leads
     * - `free`: this node finds the leader's key unset
     * - `leads:NODE@EPOCH`: the node sends, with a recent echo, that it leads
     * - `late:NODE@EPOCH`: the same, but the echo is a minute old
     * - `old:NODE@EPOCH`: the same from an older version, which sends no sequence numbers
     * - `resigned:NODE@EPOCH`: the node sends that it resigned
     * - `follows:NODE@EPOCH`: the node sends that it does not lead, and the newest epoch that it knows
     * - `reported:NODE@EPOCH`: n4 sends that it lately saw the node lead
     * - `wait:SECONDS`: time passes
     */
    private fun applyEvents(events: String) =
        events.split(' ').filter { it.isNotEmpty() }.forEachIndexed { index, event ->
            val seq = 10L + index
            val (kind, argument) = event.split(':', limit = 2).let { it[0] to it.getOrElse(1) { "" } }
            val node = argument.substringBefore('@')
            val epoch = argument.substringAfter('@', "0").toLongOrNull() ?: 0L
            when (kind) {
                "read" -> routing.onLeaderKeyRead(node, epoch, ctx.now)
                "free" -> routing.onLeaderKeyRead(null, 0, ctx.now)
                "leads" -> receive(node, epoch, true, links = links(seq, newFrameSeq))
                "late" -> newFrameSeq.let { echo ->
                    ctx.time.advance(ctx.now + 60.0, 0)
                    receive(node, epoch, true, links = links(seq, echo))
                }
                "old" -> receive(node, epoch, true, links = null)
                "resigned" -> receive(node, epoch, false, resignedEpoch = epoch, links = links(seq, newFrameSeq))
                "follows" -> receive(node, epoch, false, links = links(seq, newFrameSeq))
                "reported" -> receive(
                    "n4",
                    epoch,
                    false,
                    links = links(seq, newFrameSeq, LeaderSighting(node, epoch, 500)),
                )
                "wait" -> ctx.time.advance(ctx.now + argument.toDouble(), 0)
                else -> error(event)
            }
        }

    @ParameterizedTest(name = "after {0} it names {1}")
    @CsvSource(
        // events, the leader that this node names ("-": none)
        "read:n1@5, n1",
        "wait:1, -",
        "read:n1@5 free, -",
        // This node lost the store at epoch 5. Only frames show that n2 leads, and n1 must no longer be named.
        "read:n1@5 wait:4 follows:n1@9 leads:n2@9, n2",
        "read:n1@5 leads:n2@9, n2",
        "read:n1@5 old:n2@9, n2",
        "read:n1@5 reported:n2@9, n2",
        // A frame that a partition held back for a minute proves nothing about the present.
        "late:n2@9, -",
        "leads:n2@9 wait:5, -",
        // A node that is known to have resigned, or to follow another leader, is never named, whoever leads next.
        "read:n1@5 resigned:n1@5, -",
        "read:n1@5 follows:n1@5, -",
        "reported:n2@9 resigned:n2@9, -",
        // An epoch newer than any claim means that a newer leader exists. Redirects to an older one could go in
        // circles.
        "read:n1@5 follows:n3@7, -",
        "read:n1@5 follows:n3@7 read:n2@7, n2",
        // An old read of the leader's key expires while peers are connected.
        "read:n1@5 wait:30 follows:n3@5, -",
        // For a node cut off from the store and its peers the last read counts for as long as that leader may go on.
        "read:n1@5 wait:30, n1",
        "read:n1@5 wait:60, -",
        "read:n0@5, -",
    )
    fun `a node names the leader of which it has the freshest proof`(events: String, leader: String) {
        applyEvents(events)
        assertEquals(leader, routing.leader()?.node ?: "-")
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, workers that reach this node, workers that reach peer n1, whether this node resigned for lack of
        // workers, proposed successor, seconds until this node tries to acquire leadership
        "'a node acquires at once when nothing is known of workers', 0, 0, false, '', 0.0",
        "'a node waits when workers reach only a peer', 0, 4, false, '', 0.6",
        "'a node acquires at once when workers reach it too', 1, 4, false, '', 0.0",
        "'a node that resigned for lack of workers waits', 0, 0, true, '', 1.3",
        "'a node that resigned for lack of workers acquires at once when one reaches it again', 3, 0, true, '', 0.0",
        "'a node waits when another is the proposed successor', 3, 4, false, n1, 1.3",
        "'the proposed successor acquires at once', 0, 4, false, n0, 0.0",
        // The proposed successor is not connected: no node may wait for it.
        "'a node acquires at once when the proposed successor is gone', 3, 0, false, n3, 0.0",
    )
    fun `a node that workers reach acquires leadership first`(
        name: String,
        workersHere: Int,
        workersAtPeer: Int,
        resignedForLackOfWorkers: Boolean,
        proposedSuccessor: String,
        acquiresAfterS: Double,
    ) {
        val priority = CandidatePriority(ctx, reachability) { workersHere }
        val status =
            PeerStatus(
                "n1", 1, 5, false, 0, true, 0, 2,
                links(
                    1,
                    newFrameSeq,
                    recentWorkers = workersAtPeer,
                    successor = proposedSuccessor.ifEmpty { null },
                ),
            )
        reachability.onStatus(status)
        if (resignedForLackOfWorkers) priority.onWorkersLost()
        assertEquals(proposedSuccessor == "n0", priority.onStatus(status))
        var waitedS = 0.0
        while (!priority.mayAcquire() && waitedS < 5.0) {
            waitedS += 0.1
            ctx.time.advance(100.0 + waitedS, 0)
        }
        assertEquals(acquiresAfterS, waitedS, 0.15, name)
    }
}

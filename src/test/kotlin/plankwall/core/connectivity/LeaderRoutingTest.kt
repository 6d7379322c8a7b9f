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

/** Which leader a node names, and when it tries to acquire leadership, from what it has read and received. */
class LeaderRoutingTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 5), Tuning(), 1000, Random(1)).apply {
        time.advance(100.0, 0)
    }
    private val reachability = ReachabilityMatrix(ctx)
    private val routing = LeaderRouting(ctx, reachability, 2.5)

    /** The sequence number of a new frame of this node. */
    private val newEcho get() = reachability.createReport(0, null, null).seq

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

    private fun receive(node: String, epoch: Long, leading: Boolean, resigned: Long = 0, links: ReachabilityReport?) {
        val status = PeerStatus(node, 1, epoch, leading, resigned, true, 0, 2, links)
        routing.onEpoch(epoch)
        reachability.onStatus(status)
    }

    /**
     * Events: read:NODE@EPOCH, free, leads:NODE@EPOCH (a frame with a recent echo), late: (one whose echo is old), old:
     * (of an older version, without sequence numbers), resigned:, follows:, reported:NODE@EPOCH (by n4), wait:SECONDS.
     */
    private fun replay(events: String) = events.split(' ').filter { it.isNotEmpty() }.forEachIndexed { i, event ->
        val seq = 10L + i
        val (kind, what) = event.split(':', limit = 2).let { it[0] to it.getOrElse(1) { "" } }
        val node = what.substringBefore('@')
        val epoch = what.substringAfter('@', "0").toLongOrNull() ?: 0L
        when (kind) {
            "read" -> routing.onLeaderKeyRead(node, epoch, ctx.now)
            "free" -> routing.onLeaderKeyRead(null, 0, ctx.now)
            "leads" -> receive(node, epoch, true, links = links(seq, newEcho))
            "late" -> newEcho.let { echo ->
                ctx.time.advance(ctx.now + 60.0, 0)
                receive(node, epoch, true, links = links(seq, echo))
            }
            "old" -> receive(node, epoch, true, links = null)
            "resigned" -> receive(node, epoch, false, resigned = epoch, links = links(seq, newEcho))
            "follows" -> receive(node, epoch, false, links = links(seq, newEcho))
            "reported" -> receive("n4", epoch, false, links = links(seq, newEcho, LeaderSighting(node, epoch, 500)))
            "wait" -> ctx.time.advance(ctx.now + what.toDouble(), 0)
            else -> error(event)
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "read:n1@5, n1",
        "wait:1, -",
        "read:n1@5 free, -",
        // The store was lost at epoch 5; only frames show that n2 leads, and n1 must not be named any more.
        "read:n1@5 wait:4 follows:n1@9 leads:n2@9, n2",
        "read:n1@5 leads:n2@9, n2",
        "read:n1@5 old:n2@9, n2",
        "read:n1@5 reported:n2@9, n2",
        // Held back by a partition for a minute and delivered now: it proves nothing about the present.
        "late:n2@9, -",
        "leads:n2@9 wait:5, -",
        // Known to have resigned, or to follow another leader: never named, whoever is next.
        "read:n1@5 resigned:n1@5, -",
        "read:n1@5 follows:n1@5, -",
        "reported:n2@9 resigned:n2@9, -",
        // An epoch beyond all claims: a newer leader exists, and redirects to an older one could go in circles.
        "read:n1@5 follows:n3@7, -",
        "read:n1@5 follows:n3@7 read:n2@7, n2",
        // An old read of the leader's key expires where peers are connected.
        "read:n1@5 wait:30 follows:n3@5, -",
        // Isolated from store and peers: the last read counts for as long as that leader may go on.
        "read:n1@5 wait:30, n1",
        "read:n1@5 wait:60, -",
        "read:n0@5, -",
    )
    fun `the freshest proof names the leader`(events: String, leader: String) {
        replay(events)
        assertEquals(leader, routing.leader()?.node ?: "-")
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, workers seen here, at peer n1, this node resigned for lack of workers, named successor, seconds until
        // it tries to acquire leadership
        "'nothing is known', 0, 0, false, '', 0.0",
        "'workers reach a peer only', 0, 4, false, '', 0.6",
        "'workers reach this node too', 1, 4, false, '', 0.0",
        "'resigned for lack of workers', 0, 0, true, '', 1.3",
        "'resigned for lack of workers, and is reached again', 3, 0, true, '', 0.0",
        "'another node is named', 3, 4, false, n1, 1.3",
        "'this node is named', 0, 4, false, n0, 0.0",
        // The named one is not connected: no node may wait for it.
        "'a node that is gone is named', 3, 0, false, n3, 0.0",
    )
    fun `a node that workers reach acquires leadership first`(
        name: String,
        here: Int,
        there: Int,
        lost: Boolean,
        named: String,
        acquiresAfterS: Double,
    ) {
        val priority = CandidatePriority(ctx, reachability) { here }
        val status =
            PeerStatus(
                "n1", 1, 5, false, 0, true, 0, 2,
                links(
                    1,
                    newEcho,
                    recentWorkers = there,
                    successor = named.ifEmpty { null },
                ),
            )
        reachability.onStatus(status)
        if (lost) priority.onWorkersLost()
        assertEquals(named == "n0", priority.onStatus(status))
        var waited = 0.0
        while (!priority.mayAcquire() && waited < 5.0) {
            waited += 0.1
            ctx.time.advance(100.0 + waited, 0)
        }
        assertEquals(acquiresAfterS, waited, 0.15, name)
    }
}

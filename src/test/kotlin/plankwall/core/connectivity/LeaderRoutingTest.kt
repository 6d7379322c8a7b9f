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

/** Whom a node believes to lead, and whether it stands for the lead itself, from what it has read and heard. */
class LeaderRoutingTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 5), Tuning(), 1000, Random(1)).apply {
        time.advance(100.0, 0)
    }
    private val reachability = ReachabilityMatrix(ctx)
    private val routing = LeaderRouting(ctx, reachability, 2.5)
    private val mine get() = reachability.report(0, null, null).seq

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

    private fun hear(node: String, epoch: Long, leading: Boolean, resigned: Long = 0, links: ReachabilityReport?) {
        val status = PeerStatus(node, 1, epoch, leading, resigned, true, 0, 2, links)
        routing.onEpoch(epoch)
        reachability.onStatus(status)
    }

    /**
     * Words: read:NODE@EPOCH, free, leads:NODE@EPOCH (a frame that answers ours), late: (one that answers nothing
     * recent), old: (of an older version), resigned:, follows:, told:NODE@EPOCH (n4 says so), wait:SECONDS.
     */
    private fun happen(words: String) = words.split(' ').filter { it.isNotEmpty() }.forEachIndexed { i, word ->
        val seq = 10L + i
        val (kind, what) = word.split(':', limit = 2).let { it[0] to it.getOrElse(1) { "" } }
        val node = what.substringBefore('@')
        val epoch = what.substringAfter('@', "0").toLongOrNull() ?: 0L
        when (kind) {
            "read" -> routing.onLeaderKeyRead(node, epoch, ctx.now)
            "free" -> routing.onLeaderKeyRead(null, 0, ctx.now)
            "leads" -> hear(node, epoch, true, links = links(seq, mine))
            "late" -> mine.let { echo ->
                ctx.time.advance(ctx.now + 60.0, 0)
                hear(node, epoch, true, links = links(seq, echo))
            }
            "old" -> hear(node, epoch, true, links = null)
            "resigned" -> hear(node, epoch, false, resigned = epoch, links = links(seq, mine))
            "follows" -> hear(node, epoch, false, links = links(seq, mine))
            "told" -> hear("n4", epoch, false, links = links(seq, mine, LeaderSighting(node, epoch, 500)))
            "wait" -> ctx.time.advance(ctx.now + what.toDouble(), 0)
            else -> error(word)
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "read:n1@5, n1",
        "wait:1, -",
        "read:n1@5 free, -",
        // The store was lost at epoch 5; that n2 leads comes with its frames, and n1 must not be named any more.
        "read:n1@5 wait:4 follows:n1@9 leads:n2@9, n2",
        "read:n1@5 leads:n2@9, n2",
        "read:n1@5 old:n2@9, n2",
        "read:n1@5 told:n2@9, n2",
        // Held back by a cut for a minute and delivered now: it proves nothing of now.
        "late:n2@9, -",
        "leads:n2@9 wait:5, -",
        // Known to have given up, or to follow somebody: never named, whoever takes over.
        "read:n1@5 resigned:n1@5, -",
        "read:n1@5 follows:n1@5, -",
        "told:n2@9 resigned:n2@9, -",
        // An epoch beyond all claims: somebody newer leads, and to send a worker to an older one could go in circles.
        "read:n1@5 follows:n3@7, -",
        "read:n1@5 follows:n3@7 read:n2@7, n2",
        // Frames of one node in the wrong order are told apart by their numbers elsewhere; an old record ages away
        // where peers are heard.
        "read:n1@5 wait:30 follows:n3@5, -",
        // Alone, without store and peers: the record is all there is, for as long as that leader may go on.
        "read:n1@5 wait:30, n1",
        "read:n1@5 wait:60, -",
        "read:n0@5, -",
    )
    fun `the freshest proof names the leader`(happened: String, leader: String) {
        happen(happened)
        assertEquals(leader, routing.leader()?.node ?: "-")
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, workers that turn up here, at peer n1, this node lost its workers as a leader, named, seconds until it
        // stands
        "'nobody knows anything', 0, 0, false, '', 0.0",
        "'workers turn up at a peer only', 0, 4, false, '', 0.6",
        "'workers turn up here too', 1, 4, false, '', 0.0",
        "'lost its workers as a leader', 0, 0, true, '', 1.3",
        "'lost them, and has them back', 3, 0, true, '', 0.0",
        "'another is named', 3, 4, false, n1, 1.3",
        "'this node is named', 0, 4, false, n0, 0.0",
        // The one that is named is not heard: nobody may wait for it.
        "'one that is gone is named', 3, 0, false, n3, 0.0",
    )
    fun `who is reached by workers stands first`(
        name: String,
        here: Int,
        there: Int,
        lost: Boolean,
        named: String,
        standsAfterS: Double,
    ) {
        val succession = CandidatePriority(ctx, reachability) { here }
        val status =
            PeerStatus(
                "n1", 1, 5, false, 0, true, 0, 2,
                links(
                    1,
                    mine,
                    recentWorkers = there,
                    successor = named.ifEmpty {
                        null
                    },
                ),
            )
        reachability.onStatus(status)
        if (lost) succession.onWorkersLost()
        assertEquals(named == "n0", succession.onStatus(status))
        var waited = 0.0
        while (!succession.mayAcquire() && waited < 5.0) {
            waited += 0.1
            ctx.time.advance(100.0 + waited, 0)
        }
        assertEquals(standsAfterS, waited, 0.15, name)
    }
}

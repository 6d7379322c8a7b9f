package plankwall.audit

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.LeaseAuthority
import plankwall.identity.SigningKey
import plankwall.wire.AccessKeys
import plankwall.wire.AuditSeal
import plankwall.wire.Guard
import plankwall.wire.Keys
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/**
 * Signs a checkpoint (seal) over the audit chains of all nodes every [intervalS] seconds, if any of them has grown.
 * Only the leader does so. The chain of a node that was removed from the settings is kept in the next seals, so that it
 * can't be dropped unnoticed. [key]: the key that signs; null to write no seals.
 */
class AuditLogSealer(private val ctx: Context, private val key: SigningKey?, private val intervalS: Double) {
    private val log = LoggerFactory.getLogger("audit")
    private val sealTail = SealChainTail(ctx)

    /** The end of each node's chain that was found last. */
    private val chainTails = HashMap<String, AuditChainTail.End>()
    private var epoch = 0L

    /** The end of the chain of seals; null if it must be looked up in the store. */
    private var lastSeal: SealChainTail.End? = null
    private var nextSealAt = 0.0
    private var isBusy = false

    /** Writes a seal if the next one is due. [authority]: null while this node does not lead. */
    fun tick(authority: LeaseAuthority?) {
        if (authority == null || key == null || isBusy || ctx.now < nextSealAt || !authority.mayWrite()) return
        if (epoch != authority.epoch) {
            // Another leader may have written seals since the last term of this node.
            epoch = authority.epoch
            lastSeal = null
        }
        isBusy = true
        nextSealAt = ctx.now + intervalS
        val knownSeal = lastSeal
        if (knownSeal != null) {
            collectHeads(knownSeal, key)
        } else {
            sealTail.find { foundSeal ->
                lastSeal = foundSeal
                if (foundSeal == null) isBusy = false else collectHeads(foundSeal, key)
            }
        }
    }

    /** Reads the ends of all chains and writes a seal if they differ from those in the [previous] seal. */
    private fun collectHeads(previous: SealChainTail.End, key: SigningKey) {
        val nodes = (ctx.settings.peers.map { it.node } + ctx.settings.node + previous.heads.keys).distinct().sorted()
        val heads = HashMap<String, ChainHead>(previous.heads)
        var unansweredReads = nodes.size
        var allReadable = true
        for (node in nodes) {
            AuditChainTail(ctx, node).find(chainTails[node]) { tail ->
                if (tail == null) allReadable = false
                if (tail != null && tail.version > 0) {
                    chainTails[node] = tail
                    heads[node] = ChainHead(tail.segment, tail.next, tail.hash)
                }
                if (--unansweredReads == 0) {
                    if (allReadable && heads != previous.heads) writeSeal(previous, heads, key) else isBusy = false
                }
            }
        }
    }

    private fun writeSeal(previous: SealChainTail.End, heads: Map<String, ChainHead>, key: SigningKey) {
        val seal = Seal(previous.next, previous.hash, ctx.time.wallMs, epoch, ctx.settings.node, heads)
        val jws = Seals.sign(seal, key)
        val guards = listOf(Guard(Keys.LEADER, epoch), Guard(AccessKeys.seal(seal.number), 0))
        val write = Write.Put(AccessKeys.seal(seal.number), AuditSeal(jws))
        ctx.out.state(StateOp.Txn(guards, listOf(write))) { result ->
            isBusy = false
            if (result is StateResult.Committed) {
                lastSeal = SealChainTail.End(seal.number + 1, AuditLines.hash(jws), heads)
                val entries = heads.values.sumOf { it.next }
                log.info("seal written number={} chains={} entries={}", seal.number, heads.size, entries)
            } else {
                // The seal may have been stored all the same, so the last one is looked up again.
                lastSeal = null
            }
        }
    }
}

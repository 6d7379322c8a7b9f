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
 * Signs a checkpoint (seal) over all nodes' audit chains every [intervalS] seconds, if any has grown; done by the
 * leader. A chain whose node was removed from the settings is carried on from the last seal, so that it can't be
 * dropped unnoticed. [key]: null: no seals are written.
 */
class AuditLogSealer(private val ctx: Context, private val key: SigningKey?, private val intervalS: Double) {
    private val log = LoggerFactory.getLogger("audit")
    private val sealTail = SealChainTail(ctx)
    private val chainTails = HashMap<String, AuditChainTail.End>()
    private var epoch = 0L

    /** The last seal; null: to be looked up. */
    private var lastSeal: SealChainTail.End? = null
    private var nextSealAt = 0.0
    private var isBusy = false

    /** [authority]: null while this node does not lead. */
    fun tick(authority: LeaseAuthority?) {
        if (authority == null || key == null || isBusy || ctx.now < nextSealAt || !authority.mayWrite()) return
        if (epoch != authority.epoch) {
            // Another leader may have written seals since.
            epoch = authority.epoch
            lastSeal = null
        }
        isBusy = true
        nextSealAt = ctx.now + intervalS
        val known = lastSeal
        if (known != null) {
            collectHeads(known, key)
        } else {
            sealTail.find { found ->
                lastSeal = found
                if (found == null) isBusy = false else collectHeads(found, key)
            }
        }
    }

    private fun collectHeads(previous: SealChainTail.End, key: SigningKey) {
        val nodes = (ctx.settings.peers.map { it.node } + ctx.settings.node + previous.heads.keys).distinct().sorted()
        val heads = HashMap<String, ChainHead>(previous.heads)
        var unanswered = nodes.size
        var allReadable = true
        for (node in nodes) {
            AuditChainTail(ctx, node).find(chainTails[node]) { tail ->
                if (tail == null) allReadable = false
                if (tail != null && tail.version > 0) {
                    chainTails[node] = tail
                    heads[node] = ChainHead(tail.segment, tail.next, tail.hash)
                }
                if (--unanswered == 0) {
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
                // It may have been stored all the same, so the last seal is looked up again.
                lastSeal = null
            }
        }
    }
}

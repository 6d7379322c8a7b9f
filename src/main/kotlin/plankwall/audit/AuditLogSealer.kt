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
 * The leader's part: seals all nodes' chains together every [everyS] seconds, if any has grown. A chain whose node was
 * taken out of the settings is sealed on by what the last seal says of it, so that it can't be dropped unseen.
 */
class AuditLogSealer(private val ctx: Context, private val key: SigningKey?, private val everyS: Double) {
    private val log = LoggerFactory.getLogger("audit")
    private val seals = SealChainTail(ctx)
    private val ends = HashMap<String, AuditChainTail.End>()
    private var epoch = 0L
    private var last: SealChainTail.End? = null
    private var nextAt = 0.0
    private var busy = false

    fun tick(authority: LeaseAuthority?) {
        if (authority == null || key == null || busy || ctx.now < nextAt || !authority.mayWrite()) return
        if (epoch != authority.epoch) {
            // Another leader may have sealed meanwhile.
            epoch = authority.epoch
            last = null
        }
        busy = true
        nextAt = ctx.now + everyS
        val known = last
        if (known != null) {
            collect(known, key)
        } else {
            seals.find { found ->
                last = found
                if (found == null) busy = false else collect(found, key)
            }
        }
    }

    private fun collect(before: SealChainTail.End, key: SigningKey) {
        val nodes = (ctx.settings.peers.map { it.node } + ctx.settings.node + before.heads.keys).distinct().sorted()
        val heads = HashMap<String, ChainHead>(before.heads)
        var left = nodes.size
        var readable = true
        for (node in nodes) {
            AuditChainTail(ctx, node).find(ends[node]) { end ->
                if (end == null) readable = false
                if (end != null && end.version > 0) {
                    ends[node] = end
                    heads[node] = ChainHead(end.segment, end.next, end.hash)
                }
                if (--left == 0) {
                    if (readable && heads != before.heads) write(before, heads, key) else busy = false
                }
            }
        }
    }

    private fun write(before: SealChainTail.End, heads: Map<String, ChainHead>, key: SigningKey) {
        val seal = Seal(before.next, before.hash, ctx.time.wallMs, epoch, ctx.settings.node, heads)
        val jws = Seals.sign(seal, key)
        val guards = listOf(Guard(Keys.LEADER, epoch), Guard(AccessKeys.seal(seal.number), 0))
        ctx.out.state(StateOp.Txn(guards, listOf(Write.Put(AccessKeys.seal(seal.number), AuditSeal(jws))))) { result ->
            busy = false
            // Unanswered: it may stand there already, so the end is looked for anew.
            last =
                if (result is StateResult.Committed) {
                    SealChainTail.End(
                        seal.number + 1,
                        AuditLines.hash(jws),
                        heads,
                    )
                } else {
                    null
                }
            if (result is StateResult.Committed) {
                log.info(
                    "seal {}: {} chains, {} entries",
                    seal.number,
                    heads.size,
                    heads.values.sumOf {
                        it.next
                    },
                )
            }
        }
    }
}

/** Finds the last seal, which are numbered without a gap, in a few reads. */
class SealChainTail(private val ctx: Context) {
    class End(val next: Long, val hash: String, val heads: Map<String, ChainHead>)

    fun find(then: (End?) -> Unit) = LastRecordSearch({ AccessKeys.seal(it) }, ctx).find(0) { found ->
        val value = found?.item?.value as? AuditSeal
        when {
            found == null -> then(null)
            value == null -> then(End(0, AuditLines.START, emptyMap()))
            else -> then(
                try {
                    End(found.number + 1, AuditLines.hash(value.jws), Seals.read(value.jws).heads)
                } catch (e: MalformedAuditLineException) {
                    // Somebody wrote over it: the next seal still names what stands there, and verifying shows it.
                    LoggerFactory.getLogger("audit").error("seal {} can't be read: {}", found.number, e.message)
                    End(found.number + 1, AuditLines.hash(value.jws), emptyMap())
                },
            )
        }
    }
}

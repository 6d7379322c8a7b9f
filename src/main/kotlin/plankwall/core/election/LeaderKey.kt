package plankwall.core.election

import plankwall.core.statemachine.Context
import plankwall.wire.Guard
import plankwall.wire.Keys
import plankwall.wire.LeaderRecord
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/**
 * The calls to the state service about the key `leader` and the lease that it is attached to. Decides nothing and keeps
 * nothing: [Leadership] does.
 */
internal class LeaderKey(private val ctx: Context, private val ttlS: Double) {
    /** What became of an attempt to take the key. */
    sealed interface Acquisition {
        /** This node holds the key. The revision of that write is the [epoch]; [lease] is the key's. */
        class Won(val lease: Long, val epoch: Long) : Acquisition

        /** Another node holds the key, or the outcome is unknown or came too late. Nothing of the attempt remains. */
        data object Lost : Acquisition

        /** No lease was granted, so the key was not tried. */
        data object NoLease : Acquisition
    }

    /** Reads who holds the key. */
    fun read(then: (StateResult) -> Unit) = ctx.out.state(StateOp.Get(Keys.LEADER), then)

    /** Renews [lease] for its full time to live. */
    fun renew(lease: Long, then: (StateResult) -> Unit) = ctx.out.state(StateOp.Renew(lease), then)

    /** Ends [lease] and removes the key with it, whatever comes back. */
    fun drop(lease: Long) = ctx.out.state(StateOp.Drop(lease)) {}

    /** Asks for a lease, and with it for the key, which must be free. */
    fun acquire(then: (Acquisition) -> Unit) {
        val sentAt = ctx.now
        ctx.out.state(StateOp.Grant((ttlS * 1000).toLong())) { granted ->
            if (granted is StateResult.Granted) put(granted.lease, sentAt, then) else then(Acquisition.NoLease)
        }
    }

    private fun put(lease: Long, sentAt: Double, then: (Acquisition) -> Unit) {
        val write = Write.Put(Keys.LEADER, LeaderRecord(ctx.settings.node, ctx.incarnation), lease)
        ctx.out.state(StateOp.Txn(listOf(Guard(Keys.LEADER, 0)), listOf(write))) { result ->
            if (result is StateResult.Committed && ctx.now < sentAt + ttlS) {
                then(Acquisition.Won(lease, result.revision))
            } else {
                // Lost the race, or the outcome is unknown: whatever was written must not outlive this attempt.
                drop(lease)
                then(Acquisition.Lost)
            }
        }
    }
}

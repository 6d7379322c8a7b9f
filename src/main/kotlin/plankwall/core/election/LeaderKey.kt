package plankwall.core.election

import plankwall.core.statemachine.Context
import plankwall.wire.Guard
import plankwall.wire.Keys
import plankwall.wire.LeaderRecord
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/**
 * The calls to the state service that concern the key `leader` and the lease that it is attached to. Makes no decisions
 * and keeps no state; [Leadership] does both.
 */
internal class LeaderKey(private val ctx: Context, private val ttlS: Double) {
    /** The outcome of an attempt to acquire the key. */
    sealed interface Acquisition {
        /**
         * This node holds the key, which is attached to the lease [leaseId]. The [epoch] is the revision of the write.
         */
        class Won(val leaseId: Long, val epoch: Long) : Acquisition

        /**
         * Another node holds the key, or the outcome is unknown or arrived too late. The lease of the attempt was given
         * up, so that nothing of it remains.
         */
        data object Lost : Acquisition

        /** No lease was granted, so no attempt to write the key was made. */
        data object NoLease : Acquisition
    }

    /** Reads the record of the node that holds the key. */
    fun read(onResult: (StateResult) -> Unit) = ctx.out.state(StateOp.Get(Keys.LEADER), onResult)

    /** Renews [leaseId] for its full time to live. */
    fun renew(leaseId: Long, onResult: (StateResult) -> Unit) = ctx.out.state(StateOp.Renew(leaseId), onResult)

    /** Ends [leaseId], which also removes the key. The result of the call does not matter. */
    fun endLease(leaseId: Long) = ctx.out.state(StateOp.Drop(leaseId)) {}

    /** Requests a lease and, with it, the key, which must be free. */
    fun acquire(onResult: (Acquisition) -> Unit) {
        val sentAt = ctx.now
        ctx.out.state(StateOp.Grant((ttlS * 1000).toLong())) { reply ->
            if (reply is StateResult.Granted) putKey(reply.lease, sentAt, onResult) else onResult(Acquisition.NoLease)
        }
    }

    private fun putKey(leaseId: Long, sentAt: Double, onResult: (Acquisition) -> Unit) {
        val write = Write.Put(Keys.LEADER, LeaderRecord(ctx.settings.node, ctx.incarnation), leaseId)
        ctx.out.state(StateOp.Txn(listOf(Guard(Keys.LEADER, 0)), listOf(write))) { result ->
            if (result is StateResult.Committed && ctx.now < sentAt + ttlS) {
                onResult(Acquisition.Won(leaseId, result.revision))
            } else {
                // The race is lost or its outcome is unknown: a key that was written nevertheless must not outlive this
                // attempt.
                endLease(leaseId)
                onResult(Acquisition.Lost)
            }
        }
    }
}

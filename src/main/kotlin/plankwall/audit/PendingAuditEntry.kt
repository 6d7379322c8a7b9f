package plankwall.audit

import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * An entry that waits to be stored. [txn]: the change that it allows, which is stored in the same transaction; null for
 * an entry by itself. Its caller waits until [timeoutS] seconds after [queuedAt]. [onResult] is called exactly once.
 */
internal class PendingAuditEntry(
    val entry: AuditEntry,
    val txn: StateOp.Txn?,
    val queuedAt: Double,
    val timeoutS: Double,
    val onResult: (StateResult) -> Unit,
) {
    /** The number of times that it was sent and then queued again. */
    var attempts = 0

    /** The keys that the change is guarded on; none for an entry by itself. */
    val guardKeys: Set<String> get() = txn?.guards.orEmpty().mapTo(HashSet()) { it.key }
}

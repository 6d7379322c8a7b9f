package plankwall.audit

import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * An entry that waits to be stored. [txn]: the change that it allows, stored in one transaction with it; null for an
 * entry by itself. [queuedAt], [timeoutS]: after that its caller does not wait for it any more. [then] is called once.
 */
internal class PendingAuditEntry(
    val entry: AuditEntry,
    val txn: StateOp.Txn?,
    val queuedAt: Double,
    val timeoutS: Double,
    val then: (StateResult) -> Unit,
) {
    /** How often it was sent. */
    var attempts = 0

    /** The keys that the change is guarded on. */
    val guardKeys: Set<String> get() = txn?.guards.orEmpty().mapTo(HashSet()) { it.key }
}

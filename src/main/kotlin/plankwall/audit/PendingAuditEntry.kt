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
    var attempts = 0
}

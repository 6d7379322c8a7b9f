package plankwall.wire

/** A stored value under its key, with the revision that wrote it. */
data class StateItem(val key: String, val value: Stored, val version: Long)

/** The condition of a transaction that [key] still has [version]; 0: that there is no such key. */
data class Guard(val key: String, val version: Long)

/** One change of a transaction. */
sealed interface Write {
    /** Stores [value]. With a [lease] the key is removed when the lease expires. */
    data class Put(val key: String, val value: Stored, val lease: Long? = null) : Write

    data class Remove(val key: String) : Write
}

/** A request to the state service. */
sealed interface StateOp {
    data class Get(val key: String) : StateOp

    /** Up to [limit] keys with [prefix] that follow [after] in order. */
    data class Range(val prefix: String, val after: String?, val limit: Int) : StateOp

    /** Compare-and-swap: all [writes] if all [guards] hold, or none. */
    data class Txn(val guards: List<Guard>, val writes: List<Write>) : StateOp

    /** Asks for a new lease. */
    data class Grant(val ttlMs: Long) : StateOp

    data class Renew(val lease: Long) : StateOp

    /** Gives a lease up, with the keys that depend on it. */
    data class Drop(val lease: Long) : StateOp

    /** The changes since revision [after] so far, without waiting. */
    data class Changes(val prefix: String, val after: Long) : StateOp

    /** The changes since revision [after], waiting up to [waitMs] for the first. */
    data class Watch(val prefix: String, val after: Long, val waitMs: Long) : StateOp
}

/** A change of a key; [value] is null if it was removed. */
data class StateEvent(val key: String, val value: Stored?, val version: Long)

/** The outcome of a [StateOp]. */
sealed interface StateResult {
    data class Item(val item: StateItem?) : StateResult

    data class Items(val items: List<StateItem>, val more: Boolean, val revision: Long) : StateResult

    data class Committed(val revision: Long) : StateResult

    /** A transaction was not applied; [failed]: the keys whose guards did not hold. */
    data class Conflict(val failed: Set<String>) : StateResult

    data class Granted(val lease: Long) : StateResult

    data object Renewed : StateResult

    data object NoLease : StateResult

    data class News(val events: List<StateEvent>, val revision: Long) : StateResult

    /** The changes asked for are no longer kept: the keys have to be read anew. */
    data object TooOld : StateResult

    /** 400: not executed, and never will be as it is: too large, or malformed. */
    data object Rejected : StateResult

    /** 429, 503, or never sent: surely not executed. */
    data object Refused : StateResult

    /** No answer, or one that can't be read: may have been executed, or may still be. */
    data object Unknown : StateResult
}

package plankwall.wire

/** A key with its stored value. [version]: the revision of the transaction that wrote it last. */
data class StateItem(val key: String, val value: Stored, val version: Long)

/** A condition of a transaction: [key] must have this [version]. With version 0 the key must not exist. */
data class Guard(val key: String, val version: Long)

/** One write of a transaction. */
sealed interface Write {
    /** Stores [value] under [key]. With a [lease], the state service removes the key when the lease ends. */
    data class Put(val key: String, val value: Stored, val lease: Long? = null) : Write

    /** Removes [key]. */
    data class Remove(val key: String) : Write
}

/** A request to the state service. */
sealed interface StateOp {
    /** Reads one key. */
    data class Get(val key: String) : StateOp

    /** Reads up to [limit] keys that begin with [prefix] and follow [after], if given, in the order of keys. */
    data class Range(val prefix: String, val after: String?, val limit: Int) : StateOp

    /** A compare-and-swap transaction: applies all [writes] if all [guards] hold, otherwise none. */
    data class Txn(val guards: List<Guard>, val writes: List<Write>) : StateOp

    /** Requests a new lease that expires [ttlMs] milliseconds after its last renewal. */
    data class Grant(val ttlMs: Long) : StateOp

    /** Renews a lease. */
    data class Renew(val lease: Long) : StateOp

    /** Ends a lease. The state service removes the keys that were stored with it. */
    data class Drop(val lease: Long) : StateOp

    /** Reads the changes after revision [after] of keys that begin with [prefix], without waiting for any. */
    data class Changes(val prefix: String, val after: Long) : StateOp

    /** Reads the changes like [Changes], but waits up to [waitMs] milliseconds for the first one. */
    data class Watch(val prefix: String, val after: Long, val waitMs: Long) : StateOp
}

/** A change of a key in the revision [version]. [value]: the new value; null if the key was removed. */
data class StateEvent(val key: String, val value: Stored?, val version: Long)

/** The outcome of a [StateOp]. */
sealed interface StateResult {
    /** The answer to a [StateOp.Get]; null if there is no such key. */
    data class Item(val item: StateItem?) : StateResult

    /** The answer to a [StateOp.Range], as of [revision]. [more]: whether further keys follow. */
    data class Items(val items: List<StateItem>, val more: Boolean, val revision: Long) : StateResult

    /** A transaction was applied and has this [revision]. */
    data class Committed(val revision: Long) : StateResult

    /** A transaction was not applied. [failed]: the keys whose guards did not hold. */
    data class Conflict(val failed: Set<String>) : StateResult

    /** A new lease, to be renewed under the number [lease]. */
    data class Granted(val lease: Long) : StateResult

    /** The lease was renewed. */
    data object Renewed : StateResult

    /** The lease does not exist: it expired or was ended. */
    data object NoLease : StateResult

    /** The answer to a [StateOp.Changes] or a [StateOp.Watch]: the changes up to [revision]. */
    data class News(val events: List<StateEvent>, val revision: Long) : StateResult

    /** The state service no longer has the requested changes, so the keys themselves have to be read again. */
    data object TooOld : StateResult

    /**
     * The request is too large or malformed (HTTP status 400). It was not executed, and a repetition would fail too.
     */
    data object Rejected : StateResult

    /** The request was refused (HTTP status 429 or 503) or could not be sent. It was certainly not executed. */
    data object Refused : StateResult

    /** No readable answer arrived. The request may have been executed, or may be executed later. */
    data object Unknown : StateResult
}

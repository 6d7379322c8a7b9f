package plankwall.wire

import plankwall.model.Catalog
import plankwall.model.GroupKey

/** A machine's state in the cloud's list. */
enum class ListedState { BOOTING, RUNNING, FAILED }

/** A machine in the cloud's list. [ageS]: seconds since it was created. */
data class ListedMachine(
    val id: String,
    val address: String,
    val group: GroupKey,
    val state: ListedState,
    val ageS: Double,
)

/** A request to the cloud. */
sealed interface CloudOp {
    data object GetCatalog : CloudOp

    /** Scales a group out. [request] is the idempotency key: repeated, it creates no further machines. */
    data class Rent(val request: String, val group: GroupKey, val count: Int) : CloudOp

    /** Scales in. */
    data class Delete(val machines: List<String>) : CloudOp

    data class ListMachines(val after: String?, val limit: Int) : CloudOp
}

/** The outcome of a [CloudOp]. */
sealed interface CloudResult {
    data class CatalogRead(val catalog: Catalog) : CloudResult

    data class Rented(val machines: List<String>) : CloudResult

    data object NoCapacity : CloudResult

    data object Deleted : CloudResult

    data class Listed(val machines: List<ListedMachine>, val more: Boolean) : CloudResult

    /** 400: this request will never be served as it stands. */
    data object Malformed : CloudResult

    /** Refused or unanswered: may have been executed, is to be repeated. */
    data object Trouble : CloudResult
}

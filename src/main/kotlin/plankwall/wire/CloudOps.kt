package plankwall.wire

import plankwall.model.Catalog
import plankwall.model.GroupKey

/** The state of a machine in the cloud's list. */
enum class ListedState { BOOTING, RUNNING, FAILED }

/** One machine in the cloud's list. [address]: empty if the list gives none. [ageS]: seconds since its creation. */
data class ListedMachine(
    val id: String,
    val address: String,
    val group: GroupKey,
    val state: ListedState,
    val ageS: Double,
)

/** A request to the cloud. */
sealed interface CloudOp {
    /** Asks for the machine types on offer. */
    data object GetCatalog : CloudOp

    /**
     * Asks for [count] new machines of [group]. [request]: the idempotency key; a repeated request with the same key
     * creates no further machines.
     */
    data class Rent(val request: String, val group: GroupKey, val count: Int) : CloudOp

    /** Deletes the named machines. */
    data class Delete(val machines: List<String>) : CloudOp

    /** Asks for up to [limit] machines that follow the one named [after] in the list; from its start if null. */
    data class ListMachines(val after: String?, val limit: Int) : CloudOp
}

/** The outcome of a [CloudOp]. */
sealed interface CloudResult {
    /** The machine types on offer. */
    data class CatalogRead(val catalog: Catalog) : CloudResult

    /** The names of the machines that were created, possibly fewer than requested. */
    data class Rented(val machines: List<String>) : CloudResult

    /** The cloud has no machine of the requested group to give. */
    data object NoCapacity : CloudResult

    /** The machines are deleted. */
    data object Deleted : CloudResult

    /** One page of the list of machines. [more]: whether further machines follow. */
    data class Listed(val machines: List<ListedMachine>, val more: Boolean) : CloudResult

    /** The cloud rejected the request as malformed (HTTP status 400): a repetition would be rejected too. */
    data object Malformed : CloudResult

    /** The request was refused or not answered. It may have been executed, and has to be repeated. */
    data object Trouble : CloudResult
}

package plankwall.core.statemachine

/** The parts of a request that may prove the caller's identity. */
class Credentials(
    val method: String,
    val path: String,
    val body: ByteArray,
    /** The `Authorization` header; null if the request has none. */
    val authorization: String?,
    /** The network address that the request came from. It proves nothing by itself. */
    val address: String,
)

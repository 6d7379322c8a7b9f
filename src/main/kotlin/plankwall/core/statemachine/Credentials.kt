package plankwall.core.statemachine

/** What came with a request that may prove the caller's identity. */
class Credentials(
    val method: String,
    val path: String,
    val body: ByteArray,
    /** The `Authorization` header. */
    val authorization: String?,
    /** The network address that the request came from, which proves nothing by itself. */
    val address: String,
)

package plankwall.core.statemachine

/**
 * Access control in front of the users' API, where the operators require an identity with each request. Without one,
 * anybody may do anything, as PROTOCOL has it.
 */
interface AccessCheck {
    /** Calls [then] with the caller that [credentials] prove; answers [request] here if they prove none. */
    fun authenticate(request: RequestId, credentials: Credentials, then: (Caller) -> Unit)

    /** Answers a [request] about the access policy or the audit log. */
    fun handleAdmin(request: RequestId, credentials: Credentials, asked: AdminRequest)

    /**
     * Why a heartbeat from [address] is rejected, or null if it is not.
     *
     * @param claimed the worker's address according to the heartbeat
     * @param listed the worker's address according to the cloud, null if unknown
     */
    fun heartbeatRefusal(address: String, claimed: String, listed: String?): String?

    /** Does what is due; to be called regularly. [authority]: null while this node does not lead. */
    fun tick(authority: LeaseAuthority?)
}

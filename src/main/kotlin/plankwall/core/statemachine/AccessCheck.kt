package plankwall.core.statemachine

/**
 * Access control for requests and heartbeats, used where the operators require every request to prove an identity. A
 * controller without an access check allows every request, as the protocol specifies.
 */
interface AccessCheck {
    /**
     * Calls [onAuthenticated] with the caller that [credentials] prove. If they prove none, answers [request] itself
     * instead.
     */
    fun authenticate(request: RequestId, credentials: Credentials, onAuthenticated: (Caller) -> Unit)

    /** Answers [request], in which a caller asks about the access policy or the audit log. */
    fun handleAdmin(request: RequestId, credentials: Credentials, adminRequest: AdminRequest)

    /**
     * Returns why a heartbeat is refused, or null if it is accepted.
     *
     * @param address the network address that the heartbeat came from
     * @param claimed the worker's address according to the heartbeat
     * @param listed the worker's address according to the cloud's list, null if unknown
     */
    fun heartbeatRefusal(address: String, claimed: String, listed: String?): String?

    /**
     * Does the periodic work that is due; to be called on each tick. [authority] is null while this node does not lead.
     */
    fun tick(authority: LeaseAuthority?)
}

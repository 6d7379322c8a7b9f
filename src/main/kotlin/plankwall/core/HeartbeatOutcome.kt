package plankwall.core

import plankwall.wire.Order

/** How the leader responds to a heartbeat. */
internal sealed interface HeartbeatOutcome {
    /** The heartbeat was accepted, and its worker gets [orders]. */
    class Answered(val orders: List<Order>) : HeartbeatOutcome

    /** The worker is ordered to send its heartbeats to [node]. */
    class RedirectedTo(val node: String) : HeartbeatOutcome

    /** The heartbeat is outdated and changes nothing; its worker is asked to try again. */
    data object Outdated : HeartbeatOutcome
}

package plankwall.core

import plankwall.wire.Order

/** The leader's response to a heartbeat. */
internal sealed interface HeartbeatOutcome {
    /** The heartbeat was accepted, and its worker gets [orders]. */
    class Answered(val orders: List<Order>) : HeartbeatOutcome

    /** The worker is redirected: it has to send its heartbeats to [node]. */
    class RedirectedTo(val node: String) : HeartbeatOutcome

    /** The heartbeat is outdated and changes nothing; its worker has to retry. */
    data object Outdated : HeartbeatOutcome
}

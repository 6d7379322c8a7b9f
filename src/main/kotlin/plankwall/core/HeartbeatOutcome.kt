package plankwall.core

import plankwall.wire.Order

/** What becomes of a heartbeat at the leader. */
internal sealed interface HeartbeatOutcome {
    /** It is answered with [orders]. */
    class Answered(val orders: List<Order>) : HeartbeatOutcome

    /** The worker should send its heartbeats to [node]. */
    class RedirectedTo(val node: String) : HeartbeatOutcome

    /** It is outdated and must change nothing. */
    data object Outdated : HeartbeatOutcome
}

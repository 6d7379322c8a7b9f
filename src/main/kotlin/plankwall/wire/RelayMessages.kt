package plankwall.wire

/**
 * A worker's heartbeat that the node [from] received and relays to the leader, which the worker can't reach
 * directly.
 *
 * @property id the number that [from] gave to the heartbeat; the answer repeats it
 * @property echo the number of the newest frame that [from] received from the leader. It tells the leader how old the
 *   heartbeat can be at most.
 * @property address the network address from which the heartbeat came; empty if it is not known
 * @property heartbeat the heartbeat itself
 */
data class RelayedHeartbeat(
    val from: String,
    val id: Long,
    val echo: Long,
    val address: String,
    val heartbeat: HeartbeatStatus,
) : PeerMessage {
    override val sender: String get() = from
}

/**
 * The answer of the leader [from] to the [RelayedHeartbeat] with the number [id]. [status] and [body] are the HTTP
 * status and the body that the worker gets unchanged.
 */
data class RelayedAnswer(val from: String, val id: Long, val status: Int, val body: ByteArray) : PeerMessage {
    override val sender: String get() = from

    override fun equals(other: Any?): Boolean = other is RelayedAnswer &&
        other.from == from &&
        other.id == id &&
        other.status == status &&
        other.body.contentEquals(body)

    override fun hashCode(): Int = id.hashCode()
}

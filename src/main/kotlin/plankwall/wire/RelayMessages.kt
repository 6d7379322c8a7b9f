package plankwall.wire

/**
 * A worker's heartbeat that reached [from], for the leader that only [from] can reach. [echo]: the newest frame that
 * [from] received from the leader, which tells the leader how old the heartbeat can be. [address]: where the heartbeat
 * came from, or empty.
 */
data class RelayedHeartbeat(
    val from: String,
    val id: Long,
    val echo: Long,
    val address: String,
    val report: HeartbeatStatus,
) : PeerMessage {
    override val sender: String get() = from
}

/** The answer of the leader [from] to the [RelayedHeartbeat] [id], to be passed to the worker unchanged. */
data class RelayedAnswer(val from: String, val id: Long, val status: Int, val body: ByteArray) : PeerMessage {
    override val sender: String get() = from

    override fun equals(other: Any?): Boolean = other is RelayedAnswer &&
        other.from == from &&
        other.id == id &&
        other.status == status &&
        other.body.contentEquals(body)

    override fun hashCode(): Int = id.hashCode()
}

package plankwall.model

/** The settings that the platform provides. */
data class Settings(
    val node: String,
    val zone: String,
    val front: Address,
    val internal: Address,
    val peers: List<Peer>,
    val cloudAddress: Address,
    val stateAddress: Address,
    val zones: List<String>,
    val timeBoundMs: Double,
    val teams: List<Team>,
    val objectives: List<Objective>,
    val workers: WorkerTimes,
    val state: StateLimits,
    val cloud: CloudLimits,
    val maxConnections: Int,
    /** The limits that the state service will have from an unannounced time on. */
    val stateNext: StateLimits? = null,
) {
    /** The limits to keep to from the start, since those of [stateNext] come into force without notice. */
    val stateTight: StateLimits = stateNext?.within(state) ?: state

    /** How many controllers there are. */
    val nodes: Int get() = peers.size + 1

    /** Connections that workers and users may have here: all but those that this node opens and has with its peers. */
    val frontConnections: Int
        get() = maxOf(maxConnections - OWN_CONNECTIONS - CONNECTIONS_PER_PEER * peers.size, maxConnections / 2)

    /** How many workers' sessions this node can serve; the other connections are for users. */
    val sessionCapacity: Int get() = (frontConnections * SESSION_SHARE).toInt()

    private companion object {
        /** To the state service, the cloud and workers. */
        const val OWN_CONNECTIONS = 70

        /** To and from a peer, with those that are being replaced. */
        const val CONNECTIONS_PER_PEER = 6
        const val SESSION_SHARE = 0.85
    }
}

/** Another controller, with the address for frames between controllers. */
data class Peer(val node: String, val zone: String, val host: String, val port: Int)

/** The workers' intervals and timeouts, in seconds, by the platform's settings. */
data class WorkerTimes(
    val reportS: Double,
    val leaseS: Double,
    val gangWaitS: Double,
    val gangPeerS: Double,
    val cancelS: Double,
) {
    /** The longest interval between heartbeats of a healthy worker: they are up to a quarter late by the protocol. */
    val longestReportS: Double get() = reportS * LATEST_REPORT_FACTOR

    /** A worker without a heartbeat for longer has missed one, whatever delay a network adds. */
    val missedS: Double get() = reportS * MISSED_REPORT_FACTOR + MISSED_REPORT_MARGIN_S

    private companion object {
        const val LATEST_REPORT_FACTOR = 1.25
        const val MISSED_REPORT_FACTOR = 1.5
        const val MISSED_REPORT_MARGIN_S = 1.0
    }
}

/** The limits of the state service: requests and writes a second, KiB of a value, operations of a transaction. */
data class StateLimits(val rps: Double, val writeRps: Double, val valueKb: Double, val txnOps: Int) {
    /** The lower of both limits, each. */
    fun within(other: StateLimits) = StateLimits(
        rps = minOf(rps, other.rps),
        writeRps = minOf(writeRps, other.writeRps),
        valueKb = minOf(valueKb, other.valueKb),
        txnOps = minOf(txnOps, other.txnOps),
    )
}

/** The limits of the cloud: requests a second, and how many seconds its list may lag. */
data class CloudLimits(val rps: Double, val listLagS: Double)

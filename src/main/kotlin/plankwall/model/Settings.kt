package plankwall.model

/**
 * The settings that the platform provides.
 *
 * @property node the name of this node
 * @property zone the zone of this node
 * @property front the address for users and workers
 * @property internal the address for frames of other controllers
 * @property timeBoundMs the bound on the error of the wall clocks, in milliseconds
 * @property maxConnections the maximum number of open connections of this process
 */
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
    /** The limits of the state service from a time on that is not announced; null if they will not change. */
    val stateNext: StateLimits? = null,
) {
    /**
     * The lower of the present limits and those of [stateNext], each. They have to be kept from the start, since the
     * next ones come into force without notice.
     */
    val strictestStateLimits: StateLimits = stateNext?.lowerOf(state) ?: state

    /** The number of controllers, this node included. */
    val nodes: Int get() = peers.size + 1

    /**
     * The maximum number of connections of workers and users to this node: those that remain after the ones that this
     * node opens itself and has with its peers, but at least half of all.
     */
    val frontConnections: Int
        get() = maxOf(maxConnections - OWN_CONNECTIONS - CONNECTIONS_PER_PEER * peers.size, maxConnections / 2)

    /** The number of workers' sessions that this node can serve; the remaining connections are for users. */
    val sessionCapacity: Int get() = (frontConnections * SESSION_SHARE).toInt()

    private companion object {
        /** The connections that this node opens to the state service, the cloud and workers. */
        const val OWN_CONNECTIONS = 70

        /** The connections to and from one peer, including those that are being replaced. */
        const val CONNECTIONS_PER_PEER = 6

        /** The share of [frontConnections] that workers' sessions may take. */
        const val SESSION_SHARE = 0.85
    }
}

/** Another controller, with the address for frames between controllers. */
data class Peer(val node: String, val zone: String, val host: String, val port: Int)

/**
 * The workers' intervals and timeouts, in seconds, as the platform's settings state them. [gangWaitS] and [gangPeerS]
 * are timeouts for gangs that the workers alone apply.
 *
 * @property heartbeatIntervalS the interval between two heartbeats
 * @property leaseS the duration of a worker's lease, after which it stops its tasks if no heartbeat was answered
 * @property cancelS the time after which no task of a cancelled job may run any more
 */
data class WorkerTimes(
    val heartbeatIntervalS: Double,
    val leaseS: Double,
    val gangWaitS: Double,
    val gangPeerS: Double,
    val cancelS: Double,
) {
    /** The longest interval between two heartbeats of a healthy worker: the protocol lets them be late by a quarter. */
    val longestHeartbeatIntervalS: Double get() = heartbeatIntervalS * LATEST_REPORT_FACTOR

    /** The time since its last heartbeat after which a worker has missed one, whatever delay the network adds. */
    val missedHeartbeatS: Double get() = heartbeatIntervalS * MISSED_REPORT_FACTOR + MISSED_REPORT_MARGIN_S

    private companion object {
        const val LATEST_REPORT_FACTOR = 1.25
        const val MISSED_REPORT_FACTOR = 1.5
        const val MISSED_REPORT_MARGIN_S = 1.0
    }
}

/**
 * The limits of the state service: requests per second, writes per second, the size of a value in KiB, and the number
 * of operations in one transaction.
 */
data class StateLimits(val rps: Double, val writeRps: Double, val valueKb: Double, val txnOps: Int) {
    /** Returns the lower one of each limit. */
    fun lowerOf(other: StateLimits) = StateLimits(
        rps = minOf(rps, other.rps),
        writeRps = minOf(writeRps, other.writeRps),
        valueKb = minOf(valueKb, other.valueKb),
        txnOps = minOf(txnOps, other.txnOps),
    )
}

/** The limits of the cloud: requests per second, and the seconds by which its list of machines may be out of date. */
data class CloudLimits(val rps: Double, val listLagS: Double)

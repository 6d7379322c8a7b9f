package plankwall.model

data class Peer(val node: String, val zone: String, val host: String, val port: Int)

data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        fun parse(text: String): Address? {
            val colon = text.lastIndexOf(':')
            val port = if (colon > 0) text.substring(colon + 1).toIntOrNull() else null
            return if (port == null || port !in 1..65535) null else Address(text.substring(0, colon), port)
        }
    }
}

/** 0 in a field means: no guarantee, or no limit. */
data class Team(val name: String, val cpus: Long, val cpusMax: Long, val gpus: Long, val gpusMax: Long) {
    val hasGuarantee: Boolean get() = cpus > 0 || gpus > 0

    /** Whether the team's tasks may use [sum] at the same time. */
    fun allows(sum: Resources): Boolean =
        (cpusMax == 0L || sum.cpus <= cpusMax) && (gpusMax == 0L || sum.gpus <= gpusMax)
}

/** [withinS]: of starts and ends, in seconds; [times]: of deadlines, how many times the job's own time it may take. */
data class Objective(
    val kind: String,
    val jobClass: String?,
    val withinS: Double,
    val share: Double,
    val times: Double = 1.0,
)

data class WorkerTimes(
    val reportS: Double,
    val leaseS: Double,
    val gangWaitS: Double,
    val gangPeerS: Double,
    val cancelS: Double,
) {
    /**
     * The longest, in seconds, that a sound worker goes without a report: they come up to a quarter late (PROTOCOL).
     */
    val longestReportS: Double get() = reportS * 1.25

    /** A worker that was not heard for longer has missed a report, whatever a network adds to it. */
    val missedS: Double get() = reportS * 1.5 + 1.0
}

data class StateLimits(val rps: Double, val writeRps: Double, val valueKb: Double, val txnOps: Int) {
    /** What keeps within both. */
    fun within(o: StateLimits) =
        StateLimits(minOf(rps, o.rps), minOf(writeRps, o.writeRps), minOf(valueKb, o.valueKb), minOf(txnOps, o.txnOps))
}

data class CloudLimits(val rps: Double, val listLagS: Double)

/** The settings that the platform hands over. */
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
    /** The limits that the state service will have from some unannounced moment on. */
    val stateNext: StateLimits? = null,
) {
    /** Kept to from the start: the smaller limits come without notice. */
    val stateTight: StateLimits = stateNext?.within(state) ?: state

    val nodes: Int get() = peers.size + 1

    /** Connections that workers and users may have here: all but what this node opens itself and has with its peers. */
    val frontConnections: Int get() = maxOf(
        maxConnections - OWN_CONNECTIONS - PER_PEER * peers.size,
        maxConnections / 2,
    )

    /** Workers whose sessions fit here, with room for users beside them. */
    val sessionCapacity: Int get() = (frontConnections * PART_FOR_SESSIONS).toInt()

    private companion object {
        /** Calls of the state service, the cloud and workers. */
        const val OWN_CONNECTIONS = 70

        /** Links to and from a peer, with those that are being made anew. */
        const val PER_PEER = 6
        const val PART_FOR_SESSIONS = 0.85
    }
}

/**
 * The operators' own settings (YAML). The defaults are DESIGN's, but for the two waits of which 0 means: as long as a
 * machine of the type takes to boot. Where machines are paid by the second and up within a minute, ten minutes of
 * waiting cost many times what a needless return does.
 */
data class Tuning(
    val haltUnreadyShare: Double = 0.30,
    val haltRetryS: Double = 10.0,
    val shortGroupS: Double = 120.0,
    val unregisteredS: Double = 120.0,
    val unreadyS: Double = 300.0,
    val unneededS: Double = 0.0,
    val afterRentalS: Double = 0.0,
    val leaderLeaseS: Double = 0.0,
    val outageGraceLeases: Double = 3.0,
    /**
     * From which part of the leader's room for workers' sessions on they are spread over all controllers; 0: never. The
     * leader's setting counts.
     */
    val spreadSessionsAt: Double = 0.0,
)

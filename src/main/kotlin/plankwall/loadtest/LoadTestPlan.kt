package plankwall.loadtest

import plankwall.model.CloudLimits
import plankwall.model.StateLimits
import plankwall.model.WorkerTimes

/** What a fault of a scale run does. */
enum class FaultKind {
    /** Controller processes are ended and started again. */
    KILL,

    /** The state service refuses everybody. */
    STATE_AWAY,

    /** Workers of a zone or region reach nobody. */
    REPORTS_LOST,

    /** Workers of a zone or region get neither answers nor commands. */
    ANSWERS_LOST,

    /**
     * Frames between the controllers of a zone or region and all others are held back, and come in order when it is
     * over.
     */
    PEERS_APART,
}

/**
 * A fault, [atS] seconds into the fault phase, for [forS] seconds (of [FaultKind.KILL]: how long a controller stays
 * away). [target]: `leader`, `all`, a controller, a zone or a region.
 */
data class Fault(val atS: Double, val kind: FaultKind, val target: String, val forS: Double)

/** How long the phases of a scale run last, in seconds; a phase of 0 s is left out. */
data class PhaseLengths(
    /** At most this long until all workers are served. */
    val connectS: Double = 40.0,
    /** Workers without tasks. */
    val idleS: Double = 30.0,
    /** At most this long until the services run. */
    val fillS: Double = 150.0,
    /** Services run, nothing else happens. */
    val restS: Double = 30.0,
    /** Jobs come and go. */
    val churnS: Double = 40.0,
    /** Jobs come and go, and the faults happen. */
    val faultS: Double = 0.0,
)

/** The work of a scale run. */
data class Workload(
    /** Tasks of services that run throughout. */
    val running: Int = 2_000,
    val replicas: Int = 12,
    /** Task starts that the arriving arrays ask for, a second. */
    val startsPerS: Double = 50.0,
    val arrayTasks: Int = 20,
    val arrayRunS: Double = 10.0,
    /** Urgent jobs of one task, a second. */
    val urgentPerS: Double = 1.0,
    val gangTasks: Int = 0,
    val gangsPerMin: Double = 1.0,
    /** Share of the arrays that are cancelled within a few seconds. */
    val cancelShare: Double = 0.05,
    val pollEveryS: Double = 5.0,
)

/** A scale run: real controllers over loopback; workers, users, cloud and state service are stand-ins. */
data class LoadTestPlan(
    val workers: Int = 500,
    val controllers: Int = 3,
    val regions: Int = 1,
    val zones: Int = 2,
    val teams: Int = 10,
    val seed: Long = 1,
    val memoryMb: Double = 257.0,
    val maxConnections: Int = 2_442,
    val phases: PhaseLengths = PhaseLengths(),
    val work: Workload = Workload(),
    val times: WorkerTimes =
        WorkerTimes(reportS = 5.0, leaseS = 28.0, gangWaitS = 60.0, gangPeerS = 5.0, cancelS = 53.0),
    val state: StateLimits = StateLimits(rps = 350.0, writeRps = 150.0, valueKb = 16.0, txnOps = 32),
    val cloud: CloudLimits = CloudLimits(rps = 7.0, listLagS = 8.0),
    val faults: List<Fault> = emptyList(),
) {
    val zoneNames: List<String> = List(zones) { "zone-${it + 1}" }

    /** Zones belong to regions in turn. */
    fun regionOf(zone: String): String = "region-${zoneNames.indexOf(zone) % regions + 1}"

    fun nodeName(index: Int): String = "node-${index + 1}"

    fun zoneOfNode(index: Int): String = zoneNames[index % zones]
}

package plankwall.loadtest

import plankwall.model.CloudLimits
import plankwall.model.StateLimits
import plankwall.model.WorkerTimes

/** The effect of a fault in a load test. */
enum class FaultKind {
    /** Kills the target controller processes and starts them again after the fault's duration. */
    KILL,

    /** The state service refuses all requests of all controllers. */
    STATE_AWAY,

    /** Heartbeats of the workers in the target zones are lost before they reach a controller. */
    REPORTS_LOST,

    /** Workers in the target zones receive neither answers to their heartbeats nor commands. */
    ANSWERS_LOST,

    /**
     * Peer frames between the target controllers and all other controllers are held back, and are delivered in order
     * when the fault ends.
     */
    PEERS_APART,

    /** Stops the target controller processes, which keep their sockets, and continues them when the fault ends. */
    PAUSE,

    /** The state service refuses the requests of the target controllers alone. */
    STATE_REFUSES,

    /** A share of the calls of the state service is slow: the request and the answer are up to 0.6 s late. */
    STATE_SLOW,

    /** A share of the transactions gets no answer and is executed 2 s to 12 s later. */
    STATE_LATE_WRITES,

    /** A share of the transactions is executed at once but gets no answer. */
    STATE_LOST_ANSWERS,

    /** Of a share of the heartbeats, a copy reaches a random controller between 2 s and two leases later. */
    REPORTS_REPEATED,
}

/**
 * A fault of a load test plan.
 *
 * @property startS when the fault begins, in seconds after the start of the fault phase
 * @property target `leader`, `all`, or the name of a controller, a zone or a region
 * @property durationS how long the fault lasts, in seconds; for [FaultKind.KILL], how long the controllers stay down
 * @property share the share of the calls or heartbeats that a fault affects which does not affect all of them
 */
data class Fault(
    val startS: Double,
    val kind: FaultKind,
    val target: String,
    val durationS: Double,
    val share: Double = DEFAULT_SHARE,
) {
    /** The default values of faults. */
    companion object {
        /** The default of [share]. */
        const val DEFAULT_SHARE = 0.3
    }
}

/** The durations of the phases of a load test, in seconds. A phase of 0 s is skipped. */
data class PhaseLengths(
    /** Maximum duration of the phase that ends when every worker has had a heartbeat answered. */
    val connectS: Double = 40.0,
    /** Duration of the phase in which the workers run no tasks. */
    val idleS: Double = 30.0,
    /** Maximum duration of the phase that ends when every service task has started. */
    val fillS: Double = 150.0,
    /** Duration of the phase in which the services run and no other jobs arrive. */
    val restS: Double = 30.0,
    /** Duration of the phase in which further jobs arrive and end while the services run. */
    val churnS: Double = 40.0,
    /** Duration of the phase in which jobs arrive and end and the faults of the plan happen. */
    val faultS: Double = 0.0,
    /**
     * Duration of the phase after the faults, in which no jobs arrive. At its end, every job is asked for at every
     * controller.
     */
    val settleS: Double = 0.0,
)

/** The jobs that the simulated users of a load test submit, and how often they poll. */
data class Workload(
    /** The number of service tasks that run until the end of the load test, over all services. */
    val running: Int = 2_000,
    /** The number of tasks of each service. */
    val replicas: Int = 12,
    /** The mean rate of task starts per second that the arriving array jobs request. */
    val startsPerS: Double = 50.0,
    /** The number of tasks of each array job. */
    val arrayTasks: Int = 20,
    /** The run time of a task of an array, urgent or gang job, in seconds. */
    val arrayRunS: Double = 10.0,
    /** The mean number of urgent jobs per second; each has one task. */
    val urgentPerS: Double = 1.0,
    /** The number of tasks of each gang job; 0 means that no gang jobs arrive. */
    val gangTasks: Int = 0,
    /** The mean number of gang jobs per minute. */
    val gangsPerMin: Double = 1.0,
    /** The share of the array jobs that are cancelled, each at a random time between 1 s and 1 s + [arrayRunS]. */
    val cancelShare: Double = 0.05,
    /**
     * The mean number of pipelines per second: each is a job and others that depend on it, submitted one after another.
     */
    val pipelinesPerS: Double = 0.0,
    /** The share of the pipelines whose first job is cancelled at a random time while the others are submitted. */
    val pipelineCancelShare: Double = 0.5,
    /** The share of the jobs that are cancelled within 0.6 s after their last task completed. */
    val cancelAtEndShare: Double = 0.0,
    /** Whether users repeat their requests at all controllers when a job is accepted, ends or is cancelled. */
    val repeatRequests: Boolean = false,
    /** The interval at which a user polls the status of each job, in seconds. */
    val pollEveryS: Double = 5.0,
)

/**
 * The plan of a load test. The controllers are real processes on this machine, reached over loopback; the workers, the
 * users, the cloud and the state service are simulated.
 */
data class LoadTestPlan(
    val workers: Int = 500,
    val controllers: Int = 3,
    val regions: Int = 1,
    val zones: Int = 2,
    val teams: Int = 10,
    /** The seed of the random arrivals and delays. */
    val seed: Long = 1,
    /** The memory limit in each controller's settings, in MB. */
    val memoryMb: Double = 257.0,
    /** The limit of open connections in each controller's settings. */
    val maxConnections: Int = 2_442,
    val phases: PhaseLengths = PhaseLengths(),
    val work: Workload = Workload(),
    /** The workers' intervals and timeouts in the settings of the controllers. */
    val times: WorkerTimes =
        WorkerTimes(heartbeatIntervalS = 5.0, leaseS = 28.0, gangWaitS = 60.0, gangPeerS = 5.0, cancelS = 53.0),
    /** The limits of the simulated state service, which the controllers' settings contain too. */
    val state: StateLimits = StateLimits(rps = 350.0, writeRps = 150.0, valueKb = 16.0, txnOps = 32),
    /** The limits of the simulated cloud, which the controllers' settings contain too. */
    val cloud: CloudLimits = CloudLimits(rps = 7.0, listLagS = 8.0),
    /** The faults of the fault phase. */
    val faults: List<Fault> = emptyList(),
) {
    /** The names of all zones of the plan. */
    val zoneNames: List<String> = List(zones) { "zone-${it + 1}" }

    /** Returns the region of [zone]; the zones are assigned to the regions round-robin. */
    fun regionOf(zone: String): String = "region-${zoneNames.indexOf(zone) % regions + 1}"

    /** Returns the name of the controller at [index]. */
    fun nodeName(index: Int): String = "node-${index + 1}"

    /** Returns the zone of the controller at [index]; the controllers are assigned to the zones round-robin. */
    fun zoneOfNode(index: Int): String = zoneNames[index % zones]
}

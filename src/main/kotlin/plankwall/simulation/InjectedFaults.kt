package plankwall.simulation

/**
 * The faults that a [SimulatedCluster] injects at present, and how often each kind took effect. Scenarios and tests set
 * them while the cluster runs. Shares are probabilities from 0 to 1.
 */
class InjectedFaults {
    /** The share of heartbeats, store calls (except watches) and cloud calls whose answer is lost. */
    var answerLoss = 0.0

    /**
     * The share of store transactions whose caller gets no answer and stops waiting after 1.5 s, while the store
     * applies them at a random time within 30 s.
     */
    var lateWrites = 0.0

    /** The share of store transactions that are applied at once while their answer is lost. */
    var lostCommitAnswers = 0.0

    /**
     * The share of the store calls, watches excepted, that are slow: the request arrives up to 0.6 s late, and so does
     * the answer.
     */
    var slowStoreCalls = 0.0

    /** The share of the frames between controllers that are lost. */
    var frameLoss = 0.0

    /** The share of the frames between controllers of which a second copy arrives up to 8 s later. */
    var lateFrameCopies = 0.0

    /** The share of the heartbeats of which a second copy arrives between 2 s and 2 s plus two leases later. */
    var lateHeartbeatCopies = 0.0

    /** The share of the direct commands that were executed and are executed once more, up to two leases later. */
    var lateCommandCopies = 0.0

    /**
     * The share of the heartbeats of which a copy is kept and sent to all controllers twice: as soon as the next leader
     * is elected, and 0.3 s or 4 s after the election.
     */
    var copiesForNextLeader = 0.0

    /**
     * Names of the controllers that behave as the previous version: their status messages carry no links, cancellations
     * or sessions, and a frame of a kind that this version does not know fails the run.
     */
    val previousVersionNodes = HashSet<String>()

    /**
     * Controllers, each with what it can't reach: the store ("n0-state"), the workers ("n1-workers") or the other
     * controllers ("n2-peers").
     */
    val cuts = HashSet<String>()

    /** Zones whose workers are cut off: no heartbeat leaves the zone and no command enters it. */
    val cutZones = HashSet<String>()

    /** Ids of the machines whose heartbeats arrive while answers and direct commands to them are lost. */
    val inboundBlocked = HashSet<String>()

    /** Ids of the machines whose heartbeats are lost while direct commands reach them. */
    val outboundBlocked = HashSet<String>()

    /** Ids of the jobs whose tasks fail on every machine. */
    val faultyJobs = HashSet<String>()

    /** The factor on the rate at which users poll their jobs. */
    var pollFactor = 1.0

    /**
     * Whether users query and resubmit a job at all controllers within milliseconds, several times, right after the job
     * was accepted, ended or cancelled.
     */
    var concurrentRequests = false

    /** The share of the jobs that are cancelled within 0.6 s after their last task completed. */
    var cancelAtCompletion = 0.0

    /** Ids of the jobs that were cancelled because of [cancelAtCompletion]. */
    val cancelledAtCompletion = HashSet<String>()

    /**
     * The number of times that each kind of fault took effect. A test checks it, since the test proves nothing if its
     * fault never occurred.
     */
    val counts = HashMap<String, Int>()

    /** Counts one effect of the kind of fault named [fault] in [counts]. */
    internal fun count(fault: String) {
        counts.merge(fault, 1, Int::plus)
    }
}

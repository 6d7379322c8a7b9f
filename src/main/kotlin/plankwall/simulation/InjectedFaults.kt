package plankwall.simulation

/** The faults that a [SimulatedCluster] injects at present, and how often each kind took effect. */
class InjectedFaults {
    /** Share of messages whose answer is lost. */
    var answerLoss = 0.0

    /** Share of transactions that the store applies long after the caller gave up. */
    var lateWrites = 0.0

    /** Share of transactions that the store applies at once while the answer is lost. */
    var lostCommitAnswers = 0.0

    /** Share of the frames between controllers that are lost. */
    var frameLoss = 0.0

    /** Share of the frames between controllers of which a copy arrives again some seconds later. */
    var lateFrameCopies = 0.0

    /** Share of the heartbeats of which a copy arrives again, up to two leases later. */
    var lateHeartbeatCopies = 0.0

    /**
     * Share of the heartbeats of which a copy reaches all controllers as the next leader is elected, and again later.
     */
    var copiesForNextLeader = 0.0

    /** Controllers of the previous version: they send no links, and end a link that carries frames unknown to them. */
    val previousVersionNodes = HashSet<String>()

    /** Pairs that can't reach each other, as "n0-state", "n1-workers", "n2-peers". */
    val cuts = HashSet<String>()

    /** Zones whose workers reach nobody and are reached by nobody. */
    val cutZones = HashSet<String>()

    /** Machines whose heartbeats arrive, while answers and direct commands to them are lost. */
    val inboundBlocked = HashSet<String>()

    /** Machines whose heartbeats are lost, while direct commands reach them. */
    val outboundBlocked = HashSet<String>()

    /** Jobs that fail wherever they run. */
    val faultyJobs = HashSet<String>()

    /** Factor on the rate at which users poll their jobs. */
    var pollFactor = 1.0

    /**
     * Users send requests to all controllers within milliseconds, and repeat them, right after a job was accepted,
     * ended or cancelled.
     */
    var concurrentRequests = false

    /** Share of the jobs that are cancelled at the moment of their completion. */
    var cancelAtCompletion = 0.0

    /** The jobs that were cancelled at the moment of their completion. */
    val cancelledAtCompletion = HashSet<String>()

    /** How often each kind of fault took effect: a test of a fault proves nothing where it did not. */
    val counts = HashMap<String, Int>()

    internal fun count(fault: String) {
        counts.merge(fault, 1, Int::plus)
    }
}

package plankwall.core.relay

import plankwall.core.connectivity.LeadershipClaim
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.TokenBucket
import plankwall.wire.HeartbeatStatus
import plankwall.wire.WorkerCodec

/** What a node that does not lead remembers of a worker that sent it a heartbeat; moments in seconds. */
internal class SeenWorker(var lastSeenAt: Double) {
    /** The node that it was last redirected to, which need not be the leader, for which leader's epoch, and when. */
    var redirectedTo = ""
        private set
    var redirectedEpoch = 0L
        private set
    var redirectedAt = Double.NEGATIVE_INFINITY
        private set

    /** Its last heartbeat was not answered with 200, as far as is known. */
    var unserved = true

    /** Its heartbeats are relayed until the leader redirects it. */
    var relayed = false
        private set

    /** Its heartbeat is on its way to the leader, in a batch. */
    var inFlight = false
    var address = ""
    var session = 0L

    /** When this node last sent it a direct command to find out whether it can be reached. */
    var probedAt = Double.NEGATIVE_INFINITY

    /** It has answered the last probe. */
    var answeredProbe = false

    /** It is redirected to [node] for the leader of [epoch]. */
    fun noteRedirect(node: String, epoch: Long, now: Double) {
        redirectedTo = node
        redirectedEpoch = epoch
        redirectedAt = now
        relayed = false
    }

    /** It can't reach [leader]: its heartbeats are relayed from now on. */
    fun keepRelaying(leader: LeadershipClaim) {
        redirectedTo = leader.node
        redirectedEpoch = leader.epoch
        relayed = true
    }

    /** Whether it was last redirected to [node], for the leader of [epoch]. */
    fun wasRedirectedTo(node: String, epoch: Long): Boolean = redirectedTo == node && redirectedEpoch == epoch
}

/** The workers that sent this node a heartbeat within a lease, and which of them no node serves. */
internal class SeenWorkers(private val ctx: Context) {
    private val workers = LinkedHashMap<String, SeenWorker>()
    private val probes = TokenBucket(ctx.time, PROBES_PER_SECOND)
    private val times = ctx.settings.workers

    /** How many workers sent a heartbeat within a heartbeat interval, however it was answered. */
    val recentWorkers: Int get() = workers.values.count { ctx.now - it.lastSeenAt < times.longestReportS }

    /**
     * How many workers lately were served neither here nor, as far as is known, by the leader, and could be served by
     * this node. A worker whose heartbeats arrive but that gets no answer goes round all nodes like one that can't
     * reach the leader; leadership that moved for its sake would serve none more. Therefore only workers count that
     * answered a direct command, and of those not probed yet the same share.
     */
    val unserved: Int
        get() {
            val unservedWorkers = workers.values.filter { isUnserved(it) }
            val reached = unservedWorkers.count { it.answeredProbe }
            val missed = unservedWorkers.count {
                !it.answeredProbe && ctx.now - it.probedAt in PROBE_TIMEOUT_S..UNSERVED_S
            }
            val probed = reached + missed
            return if (probed == 0) 0 else unservedWorkers.size * reached / probed
        }

    operator fun get(machine: String): SeenWorker? = workers[machine]

    /** Takes note of [heartbeat], which counts as unserved until the leader's answer to it is passed on. */
    fun onHeartbeat(heartbeat: HeartbeatStatus): SeenWorker {
        val machine = heartbeat.machine
        // The longest unseen first, so that the bound drops those.
        val worker = workers.remove(machine) ?: SeenWorker(ctx.now)
        workers[machine] = worker
        if (workers.size > MAX_WORKERS) workers.remove(workers.keys.first())
        worker.lastSeenAt = ctx.now
        worker.unserved = true
        worker.address = heartbeat.address
        worker.session = heartbeat.session
        return worker
    }

    /** The worker on [machine] answered a direct command of this node. */
    fun onCommandAnswered(machine: String) {
        workers[machine]?.answeredProbe = true
    }

    /** Drops workers unseen for a lease and probes unserved ones; to be called regularly. */
    fun tick() {
        while (workers.isNotEmpty() && ctx.now - workers.values.first().lastSeenAt > times.leaseS) {
            workers.remove(workers.keys.first())
        }
        probeUnserved()
    }

    /** Forgets all workers. */
    fun clear() = workers.clear()

    private fun isUnserved(worker: SeenWorker): Boolean =
        worker.unserved && !worker.inFlight && ctx.now - worker.lastSeenAt < UNSERVED_S

    /**
     * Sends commands without a fencing token. A worker refuses such a command and changes nothing, but its answer shows
     * that the path is open in both directions.
     */
    private fun probeUnserved() {
        for ((machine, worker) in workers) {
            if (!isUnserved(worker) || worker.address.isEmpty() || ctx.now - worker.probedAt < UNSERVED_S) continue
            if (!probes.tryTake(1)) return
            worker.probedAt = ctx.now
            worker.answeredProbe = false
            val command = WorkerCodec.commands(0, worker.session, emptyList())
            ctx.out.add(Effect.WorkerPost(machine, worker.address, command))
        }
    }

    private companion object {
        const val UNSERVED_S = 5.0

        /** A worker answers a command in some milliseconds; one that has not within this time is out of reach. */
        const val PROBE_TIMEOUT_S = 1.0

        /** A sample is enough to tell whether most can be reached; at each failover all workers come at once. */
        const val PROBES_PER_SECOND = 8.0
        const val MAX_WORKERS = 20_000
    }
}

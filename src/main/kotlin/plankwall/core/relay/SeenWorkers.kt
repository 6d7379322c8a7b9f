package plankwall.core.relay

import plankwall.core.connectivity.LeadershipClaim
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.TokenBucket
import plankwall.wire.HeartbeatStatus
import plankwall.wire.WorkerCodec

/**
 * The state that a node that does not lead keeps of a worker that sent it a heartbeat. Times are in seconds of this
 * node's monotonic clock.
 */
internal class SeenWorker(var lastSeenAt: Double) {
    /**
     * The node that the worker was last redirected to, which need not be the leader; the leader itself while the
     * heartbeats are relayed because the worker can't reach it; empty at first.
     */
    var redirectedTo = ""
        private set

    /** The epoch of the leader that the worker was redirected for. */
    var redirectedEpoch = 0L
        private set

    /** The time at which the worker was last redirected. */
    var redirectedAt = Double.NEGATIVE_INFINITY
        private set

    /** Whether no answer with status 200 to the worker's last heartbeat is known. */
    var isUnserved = true

    /** Whether the worker's heartbeats are relayed until the leader redirects it. */
    var isRelayed = false
        private set

    /** Whether a heartbeat of the worker was sent to the leader in a batch and is not answered yet. */
    var isInFlight = false

    /** The address that direct commands go to, as the worker gives it in its heartbeats; empty if it gives none. */
    var address = ""

    /** The agent epoch in the worker's last heartbeat, which a direct command has to name. */
    var session = 0L

    /** The time at which this node last sent the worker a direct command to find out whether it can be reached. */
    var probedAt = Double.NEGATIVE_INFINITY

    /** Whether the worker has answered a direct command since the last probe was sent. */
    var hasAnsweredProbe = false

    /** Records that the worker is redirected to [node] for the leader of [epoch]. */
    fun recordRedirect(node: String, epoch: Long, now: Double) {
        redirectedTo = node
        redirectedEpoch = epoch
        redirectedAt = now
        isRelayed = false
    }

    /** Records that the worker can't reach [leader] and that its heartbeats are relayed from now on. */
    fun markAsRelayed(leader: LeadershipClaim) {
        redirectedTo = leader.node
        redirectedEpoch = leader.epoch
        isRelayed = true
    }

    /** Whether the worker was last redirected to [node] for the leader of [epoch]. */
    fun wasRedirectedTo(node: String, epoch: Long): Boolean = redirectedTo == node && redirectedEpoch == epoch
}

/** The workers that sent this node a heartbeat within the duration of a lease, and which of them no node serves. */
internal class SeenWorkers(private val ctx: Context) {
    private val workers = LinkedHashMap<String, SeenWorker>()
    private val probes = TokenBucket(ctx.time, PROBES_PER_SECOND)
    private val workerTimes = ctx.settings.workers

    /** The number of workers that sent a heartbeat within the longest heartbeat interval, however it was answered. */
    val recentWorkerCount: Int get() = workers.values.count {
        ctx.now - it.lastSeenAt <
            workerTimes.longestHeartbeatIntervalS
    }

    /**
     * An estimate of the number of workers that no node served recently, as far as is known, and that this node could
     * serve. A worker whose heartbeats arrive but that receives no answer tries all nodes in turn, just like a worker
     * that can't reach the leader; moving the leadership would not help it. Therefore only workers that answered a
     * direct command count, and the same share of those whose probe has no result yet.
     */
    val unservedCount: Int
        get() {
            val unservedWorkers = workers.values.filter { seemsUnserved(it) }
            val reachedCount = unservedWorkers.count { it.hasAnsweredProbe }
            val missedCount = unservedWorkers.count {
                !it.hasAnsweredProbe && ctx.now - it.probedAt in PROBE_TIMEOUT_S..UNSERVED_S
            }
            val probedCount = reachedCount + missedCount
            return if (probedCount == 0) 0 else unservedWorkers.size * reachedCount / probedCount
        }

    operator fun get(machine: String): SeenWorker? = workers[machine]

    /** Records that [heartbeat] arrived. Its worker is unserved until an answer with status 200 is passed on. */
    fun onHeartbeat(heartbeat: HeartbeatStatus): SeenWorker {
        val machine = heartbeat.machine
        // Moves the worker to the end, so that the limit drops the worker that has not been seen for longest.
        val worker = workers.remove(machine) ?: SeenWorker(ctx.now)
        workers[machine] = worker
        if (workers.size > MAX_WORKERS) workers.remove(workers.keys.first())
        worker.lastSeenAt = ctx.now
        worker.isUnserved = true
        worker.address = heartbeat.address
        worker.session = heartbeat.session
        return worker
    }

    /** Records that the worker on [machine] answered a direct command of this node. */
    fun onCommandAnswered(machine: String) {
        workers[machine]?.hasAnsweredProbe = true
    }

    /** Drops workers not seen for the duration of a lease, and probes unserved ones. Called regularly. */
    fun tick() {
        while (workers.isNotEmpty() && ctx.now - workers.values.first().lastSeenAt > workerTimes.leaseS) {
            workers.remove(workers.keys.first())
        }
        probeUnserved()
    }

    fun clear() = workers.clear()

    private fun seemsUnserved(worker: SeenWorker): Boolean =
        worker.isUnserved && !worker.isInFlight && ctx.now - worker.lastSeenAt < UNSERVED_S

    /**
     * Probes unserved workers with commands that carry the fencing token 0. A worker refuses such a command and changes
     * nothing, but its answer shows that the path is open in both directions.
     */
    private fun probeUnserved() {
        for ((machine, worker) in workers) {
            if (!seemsUnserved(worker) || worker.address.isEmpty() || ctx.now - worker.probedAt < UNSERVED_S) continue
            if (!probes.tryTake(1)) return
            worker.probedAt = ctx.now
            worker.hasAnsweredProbe = false
            val command = WorkerCodec.commands(0, worker.session, emptyList())
            ctx.out.add(Effect.WorkerPost(machine, worker.address, command))
        }
    }

    private companion object {
        /**
         * The time for which a worker counts as unserved after its last heartbeat, and the interval between two probes
         * of it.
         */
        const val UNSERVED_S = 5.0

        /** A worker answers a command within milliseconds, so one that has not answered by then can't be reached. */
        const val PROBE_TIMEOUT_S = 1.0

        /**
         * A sample of the workers is enough to tell whether most of them can be reached. The limit matters at a
         * failover, when all workers connect at once.
         */
        const val PROBES_PER_SECOND = 8.0
        const val MAX_WORKERS = 20_000
    }
}

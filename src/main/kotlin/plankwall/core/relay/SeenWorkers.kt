package plankwall.core.relay

import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.TokenBucket
import plankwall.wire.HeartbeatStatus
import plankwall.wire.WorkerCodec

/** What a node that does not lead remembers of a worker that reported to it. */
class SeenWorker(var at: Double) {
    /** The leader's epoch for which it was sent elsewhere, the node, which need not be the leader, and when. */
    var sentTo = 0L
    var sentToNode = ""
    var sentAt = Double.NEGATIVE_INFINITY

    /** Was not answered with 200 since its last report, as far as is known. */
    var unserved = true

    /** Its reports are passed on until the leader calls it. */
    var relayed = false

    /** Its report is on its way to the leader, in a batch. */
    var passedOn = false
    var address = ""
    var session = 0L
    var triedAt = Double.NEGATIVE_INFINITY
    var reached = false
}

/** The workers that reported to this node within a lease, and which of them nobody serves. */
class SeenWorkers(private val ctx: Context) {
    private val workers = LinkedHashMap<String, SeenWorker>()
    private val tries = TokenBucket(ctx.time, TRIES_A_SECOND)
    private val times = ctx.settings.workers

    /** Workers that turned up within a report interval, whatever became of them. */
    val recentWorkers: Int get() = workers.values.count { ctx.now - it.at < times.longestReportS }

    /**
     * Workers that could not be served lately, neither here nor, as far as is known, by the leader, and that this node
     * could answer. A worker whose reports arrive and that hears nobody goes round all nodes like one that can't reach
     * the leader; a lead that moved for its sake would serve no one more. So only those count that a direct command has
     * reached, and of the rest as many as by these.
     */
    val unserved: Int
        get() {
            val open = workers.values.filter { isUnserved(it) }
            val reached = open.count { it.reached }
            val tried = reached + open.count { !it.reached && ctx.now - it.triedAt in TRY_S..UNSERVED_S }
            return if (tried == 0) 0 else open.size * reached / tried
        }

    operator fun get(machine: String): SeenWorker? = workers[machine]

    fun note(report: HeartbeatStatus): SeenWorker {
        val machine = report.machine
        // Oldest first, so that the bound drops those not seen for longest.
        val seen = workers.remove(machine) ?: SeenWorker(ctx.now)
        workers[machine] = seen
        if (workers.size > MAX_WORKERS) workers.remove(workers.keys.first())
        seen.at = ctx.now
        seen.unserved = true
        seen.address = report.address
        seen.session = report.session
        return seen
    }

    /** [machine] answered a direct command of this node. */
    fun onCommandAnswered(machine: String) {
        workers[machine]?.reached = true
    }

    fun tick() {
        while (workers.isNotEmpty() &&
            ctx.now - workers.values.first().at > times.leaseS
        ) {
            workers.remove(workers.keys.first())
        }
        tryUnserved()
    }

    fun clear() = workers.clear()

    private fun isUnserved(seen: SeenWorker): Boolean =
        seen.unserved && !seen.passedOn && ctx.now - seen.at < UNSERVED_S

    /**
     * With no token at all, a command is refused, changes nothing, and shows that the way is open in both directions.
     */
    private fun tryUnserved() {
        for ((machine, seen) in workers) {
            if (!isUnserved(seen) || seen.address.isEmpty() || ctx.now - seen.triedAt < UNSERVED_S) continue
            if (!tries.tryTake(1)) return
            seen.triedAt = ctx.now
            seen.reached = false
            ctx.out.add(Effect.WorkerPost(machine, seen.address, WorkerCodec.commands(0, seen.session, emptyList())))
        }
    }

    private companion object {
        const val UNSERVED_S = 5.0

        /** A worker answers a command in some milliseconds; one that has not within this time is out of reach. */
        const val TRY_S = 1.0

        /** A sample is enough to tell whether most can be reached; at every take-over all workers turn up at once. */
        const val TRIES_A_SECOND = 8.0
        const val MAX_WORKERS = 20_000
    }
}

package plankwall.core.relay

import org.slf4j.LoggerFactory
import plankwall.core.failuredetector.FailureDetector
import plankwall.core.sessions.SessionPlanner
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.wire.ZoneReach

/**
 * Tracks which workers reach the leader directly, and decides when a worker whose heartbeats are relayed by another
 * node is called back, which means redirected to the leader. A worker that fails to connect loses several seconds of
 * its lease and may connect to any other node next. Therefore a worker is called back only after direct contact with it
 * or, if its whole zone was cut off, with another worker of the zone has shown that the network path is open. An answer
 * to a direct command takes a path that is open in both directions.
 */
class DirectReachability(
    private val ctx: Context,
    private val fleet: Fleet,
    private val failureDetector: FailureDetector,
    private val sessions: SessionPlanner,
) {
    /**
     * The observed state of the network path between this leader and one worker. Times are in seconds of this node's
     * monotonic clock, or [Machine.NEVER].
     */
    private class Path {
        /** The time of the newest heartbeat that came directly from the worker. */
        var directHeartbeatAt = Machine.NEVER

        /** The time at which a relayed heartbeat of the worker was last accepted. */
        var relayedHeartbeatAt = Machine.NEVER

        /**
         * The time at which the worker last answered a direct command; [Machine.NEVER] again once it is called back.
         */
        var commandAnsweredAt = Machine.NEVER

        /** The time at which the worker was last called back; [Machine.NEVER] again once that has failed. */
        var calledBackAt = Machine.NEVER

        /** The time at which the worker was last sent a probe. */
        var probedAt = Machine.NEVER

        /** The time before which the worker is not called back again, since the last call back failed. */
        var nextCallBackAt = Machine.NEVER

        /** The current pause between two attempts to call the worker back; 0 if the last one did not fail. */
        var pauseS = 0.0

        /**
         * Whether, at some time since this worker's heartbeats have been relayed, no worker of its zone had direct
         * contact with the leader. The fault is then the link of the zone, not that of this worker.
         */
        var isZoneCutOff = false
    }

    private val log = LoggerFactory.getLogger("relay")
    private val paths = HashMap<Int, Path>()
    private val zonePaths = ZonePaths(ctx)
    private val redirects = SessionRedirects(ctx, sessions)
    private val workerTimes = ctx.settings.workers
    private var lastCommandAnsweredAt = Machine.NEVER
    private var lastRelayedAt = Machine.NEVER
    private var probeBudget = 0.0
    private var probeBudgetUpdatedAt = ctx.now
    private var previousRelayedCount = 0
    private var lastSummaryLoggedAt = Machine.NEVER

    /**
     * Whether no heartbeat has been relayed within two heartbeat intervals. This saves a search of all machines, which
     * may be a thousand, ten times a second.
     */
    private val hasNoRelayedWorkers: Boolean get() = ctx.now - lastRelayedAt >= workerTimes.heartbeatIntervalS * 2

    private fun pathOf(machine: Machine): Path = paths.getOrPut(machine.index.value) { Path() }

    /**
     * Returns the node that the worker on [machine] is to be redirected to, or null if it is served where it is.
     * [receivingNode] is the node that received its heartbeat.
     */
    fun redirectTarget(machine: Machine, zone: String, receivingNode: String): String? =
        redirects.targetFor(machine, zone, receivingNode)

    /** Records that a heartbeat of [machine] came directly to this leader. */
    fun onDirectHeartbeat(machine: Machine) {
        val path = pathOf(machine)
        path.directHeartbeatAt = ctx.now
        zonePaths.onDirectHeartbeat(machine)
        if (path.pauseS > 0 && ctx.now - path.relayedHeartbeatAt > workerTimes.leaseS * 2) path.pauseS = 0.0
    }

    /**
     * Records that a heartbeat of [machine] was relayed by another node. Returns whether the worker is to be called
     * back: the caller then ignores this heartbeat and redirects the worker to this leader.
     */
    fun onRelayedHeartbeat(machine: Machine, zone: String): Boolean {
        // The session plan assigns this worker to another node, so its own path to the leader does not matter.
        if (sessions.assignedNode(machine.id, zone) != null) return false
        val path = pathOf(machine)
        backOffAfterFailedCallBack(path)
        path.isZoneCutOff = !zonePaths.isOpen(machine) ||
            (path.isZoneCutOff && path.relayedHeartbeatAt > path.directHeartbeatAt)
        if (!mayCallBack(machine, path)) {
            path.relayedHeartbeatAt = ctx.now
            lastRelayedAt = ctx.now
            return false
        }
        path.calledBackAt = ctx.now
        path.commandAnsweredAt = Machine.NEVER
        log.debug("worker called back machine={}", machine.id)
        return true
    }

    /**
     * Doubles the pause before the next call back if the worker was called back and has neither sent a direct heartbeat
     * nor answered a direct command since: the path that looked open to the leader is closed to the worker.
     */
    private fun backOffAfterFailedCallBack(path: Path) {
        if (path.calledBackAt <= path.directHeartbeatAt || path.calledBackAt <= path.commandAnsweredAt) return
        path.pauseS = (path.pauseS * 2).coerceIn(workerTimes.leaseS, workerTimes.leaseS * MAX_PAUSE_LEASES)
        path.nextCallBackAt = ctx.now + path.pauseS
        path.calledBackAt = Machine.NEVER
    }

    private fun mayCallBack(machine: Machine, path: Path): Boolean {
        if (ctx.now < path.nextCallBackAt) return false
        val answeredRecently = ctx.now - path.commandAnsweredAt < workerTimes.longestHeartbeatIntervalS
        // If a whole zone was cut off and one of its workers gets through again, all of them can. Probing them one by
        // one would take half a minute.
        return answeredRecently || (path.isZoneCutOff && zonePaths.isOpen(machine))
    }

    /** Records that the worker on [machine] answered a direct command, so the path is open in both directions. */
    fun onCommandAnswered(machine: Machine) {
        pathOf(machine).commandAnsweredAt = ctx.now
        zonePaths.onCommandAnswered(machine)
        lastCommandAnsweredAt = ctx.now
    }

    /**
     * Records that a direct command was sent to [machine]. It counts for the zone's path only if another node serves
     * the worker's session; the path to the other workers is judged by their heartbeats.
     */
    fun onCommandSent(machine: Machine) {
        if (sessions.assignedNode(machine) != null) zonePaths.onCommandSent(machine)
    }

    /**
     * Whether direct commands to [machine] would fail and only delay commands to other machines. That is so if its
     * heartbeats are relayed, and either no worker of its zone reaches the leader directly or the last call back of
     * this worker failed. If the session plan assigns the worker to another node, the unanswered commands to its zone
     * decide instead.
     */
    fun isUnreachable(machine: Machine): Boolean {
        if (sessions.assignedNode(machine) != null) return zonePaths.areCommandsHeldBack(machine)
        val path = paths[machine.index.value] ?: return false
        return path.relayedHeartbeatAt > maxOf(path.directHeartbeatAt, path.commandAnsweredAt) &&
            (ctx.now < path.nextCallBackAt || !zonePaths.isOpen(machine))
    }

    /**
     * Selects the machines to be probed now by a direct command without orders, those probed least recently first. The
     * rate is low while no command is answered and high once one is.
     */
    fun machinesToProbe(): List<Machine> {
        if (hasNoRelayedWorkers) return emptyList()
        val isAnyAnswered = ctx.now - lastCommandAnsweredAt < workerTimes.heartbeatIntervalS
        val probesPerSecond = if (isAnyAnswered) PROBES_PER_SECOND_ANSWERED else PROBES_PER_SECOND_UNANSWERED
        probeBudget = minOf(probesPerSecond, probeBudget + (ctx.now - probeBudgetUpdatedAt) * probesPerSecond)
        probeBudgetUpdatedAt = ctx.now
        if (probeBudget < 1) return emptyList()
        val dueMachines = fleet.machines.filter { machine ->
            paths[machine.index.value]?.let { isProbeDue(machine, it) } == true
        }
        return dueMachines.sortedBy { pathOf(it).probedAt }.take(probeBudget.toInt()).onEach {
            pathOf(it).probedAt = ctx.now
            probeBudget -= 1.0
        }
    }

    private fun isProbeDue(machine: Machine, path: Path): Boolean = machine.address.isNotEmpty() &&
        !machine.isDeletionPending &&
        isRelayed(path) &&
        ctx.now >= path.nextCallBackAt &&
        ctx.now - path.commandAnsweredAt > workerTimes.heartbeatIntervalS &&
        ctx.now - path.probedAt > workerTimes.heartbeatIntervalS * 2

    private fun isRelayed(path: Path): Boolean = path.relayedHeartbeatAt > path.directHeartbeatAt &&
        ctx.now - path.relayedHeartbeatAt < workerTimes.heartbeatIntervalS * 2

    /**
     * Counts, for each zone, the machines that are expected to send heartbeats directly to this leader, and how many of
     * them are late. The counts are published to the peers.
     */
    fun reachByZone(): List<ZoneReach> {
        val knownByZone = HashMap<String, Int>()
        val lateByZone = HashMap<String, Int>()
        val lateAfterS = workerTimes.longestHeartbeatIntervalS + LATE_MARGIN_S
        for (machine in fleet.machines) {
            val zone = machine.group?.zone ?: continue
            if (!isDirectHeartbeatExpected(machine)) continue
            knownByZone.merge(zone, 1, Int::plus)
            val directHeartbeatAt = paths[machine.index.value]?.directHeartbeatAt ?: Machine.NEVER
            if (ctx.now - directHeartbeatAt > lateAfterS) lateByZone.merge(zone, 1, Int::plus)
        }
        return knownByZone.map { (zone, count) -> ZoneReach(zone, count, lateByZone[zone] ?: 0) }.sortedBy { it.zone }
    }

    private fun isDirectHeartbeatExpected(machine: Machine): Boolean = !machine.isBeingScaledIn &&
        sessions.assignedNode(machine) == null &&
        (machine.isRegistered || (failureDetector.heartbeatRoundElapsed && failureDetector.isAwaited(machine)))

    /** The number of workers whose newest heartbeat was relayed and is at most two heartbeat intervals old. */
    val relayedWorkerCount: Int get() = if (hasNoRelayedWorkers) 0 else paths.values.count(::isRelayed)

    /** Drops the state of removed machines and logs a summary. Called regularly by the leader. */
    fun tick() {
        if (ctx.now - lastSummaryLoggedAt < SUMMARY_INTERVAL_S) return
        lastSummaryLoggedAt = ctx.now
        if (paths.size > fleet.machines.size * 2) {
            paths.keys.retainAll(fleet.machines.map { it.index.value }.toSet())
        }
        redirects.prune(fleet)
        val relayedCount = relayedWorkerCount
        if (relayedCount > 0 || previousRelayedCount > 0) {
            log.info(
                "workers reached only through other nodes count={} before={} zones={}",
                relayedCount,
                previousRelayedCount,
                reachByZone(),
            )
        }
        previousRelayedCount = relayedCount
    }

    private companion object {
        const val MAX_PAUSE_LEASES = 8.0
        const val PROBES_PER_SECOND_UNANSWERED = 2.0
        const val PROBES_PER_SECOND_ANSWERED = 40.0
        const val SUMMARY_INTERVAL_S = 5.0

        /** A margin for network delay, added to the longest heartbeat interval before a worker counts as late. */
        const val LATE_MARGIN_S = 0.5
    }
}

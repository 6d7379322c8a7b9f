package plankwall.core.relay

import org.slf4j.LoggerFactory
import plankwall.core.failuredetector.FailureDetector
import plankwall.core.sessions.SessionPlanner
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.wire.ZoneReach

/**
 * Which workers reach the leader directly, and when those whose heartbeats are relayed are called back. A worker that
 * tries in vain loses several seconds of its lease and may end up anywhere, so none is called back on suspicion: the
 * leader first reaches the worker itself, which takes a path that is open in both directions.
 */
class DirectReachability(
    private val ctx: Context,
    private val fleet: Fleet,
    private val failureDetector: FailureDetector,
    private val sessions: SessionPlanner,
) {
    /** What is known of one worker's path to the leader; moments in seconds. */
    private class Path {
        var directAt = Machine.NEVER
        var relayedAt = Machine.NEVER
        var commandAnsweredAt = Machine.NEVER
        var calledBackAt = Machine.NEVER
        var probedAt = Machine.NEVER

        /** After being called back in vain it is not called back before this moment. */
        var notBefore = Machine.NEVER
        var pauseS = 0.0

        /**
         * At some time since its heartbeats are relayed, no worker of its zone reached the leader directly: the zone's
         * link is at fault, not its own.
         */
        var isZoneWide = false
    }

    private val log = LoggerFactory.getLogger("relay")
    private val paths = HashMap<Int, Path>()
    private val zonePaths = ZonePaths(ctx)
    private val redirects = SessionRedirects(ctx, sessions)
    private val times = ctx.settings.workers
    private var lastCommandAnsweredAt = Machine.NEVER
    private var lastRelayedAt = Machine.NEVER
    private var probeBudget = 0.0
    private var probeBudgetAt = ctx.now
    private var relayedBefore = 0
    private var lastSummaryAt = Machine.NEVER

    /** No heartbeat is relayed: there is nothing to look for among a thousand machines, ten times a second. */
    private val isQuiet: Boolean get() = ctx.now - lastRelayedAt >= times.reportS * 2

    private fun pathOf(machine: Machine): Path = paths.getOrPut(machine.ix.value) { Path() }

    /** The node that the worker of [machine], whose heartbeat came to the node [through], is redirected to, or null. */
    fun redirectTarget(machine: Machine, zone: String, through: String): String? =
        redirects.targetFor(machine, zone, through)

    /** A heartbeat of [machine] came directly. */
    fun onDirectHeartbeat(machine: Machine) {
        val path = pathOf(machine)
        path.directAt = ctx.now
        zonePaths.onDirectHeartbeat(machine)
        if (path.pauseS > 0 && ctx.now - path.relayedAt > times.leaseS * 2) path.pauseS = 0.0
    }

    /**
     * A heartbeat of [machine] was relayed by another node. Returns whether the worker is called back: its heartbeat is
     * then not taken in, and it is to come directly.
     */
    fun onIndirectHeartbeat(machine: Machine, zone: String): Boolean {
        // Relayed as planned: its own path to the leader does not matter.
        if (sessions.assignedNode(machine.id, zone) != null) return false
        val path = pathOf(machine)
        backOffAfterVainCall(path)
        path.isZoneWide = !zonePaths.isOpen(machine) || (path.isZoneWide && path.relayedAt > path.directAt)
        if (!mayCallBack(machine, path)) {
            path.relayedAt = ctx.now
            lastRelayedAt = ctx.now
            return false
        }
        path.calledBackAt = ctx.now
        path.commandAnsweredAt = Machine.NEVER
        log.debug("worker called back machine={}", machine.id)
        return true
    }

    /** Called back before and not here since: the path that the leader found open is closed to the worker. */
    private fun backOffAfterVainCall(path: Path) {
        if (path.calledBackAt <= path.directAt || path.calledBackAt <= path.commandAnsweredAt) return
        path.pauseS = (path.pauseS * 2).coerceIn(times.leaseS, times.leaseS * MAX_PAUSE_LEASES)
        path.notBefore = ctx.now + path.pauseS
        path.calledBackAt = Machine.NEVER
    }

    private fun mayCallBack(machine: Machine, path: Path): Boolean {
        if (ctx.now < path.notBefore) return false
        val answeredLately = ctx.now - path.commandAnsweredAt < times.longestReportS
        // Where a whole zone was cut off and one of its workers gets through again, all do; one by one they would take
        // half a minute.
        return answeredLately || (path.isZoneWide && zonePaths.isOpen(machine))
    }

    /** The worker on [machine] answered a direct command: the path is open in both directions. */
    fun onCommandAnswered(machine: Machine) {
        pathOf(machine).commandAnsweredAt = ctx.now
        zonePaths.onCommandAnswered(machine)
        lastCommandAnsweredAt = ctx.now
    }

    /** A direct command was sent to [machine]. */
    fun onCommandSent(machine: Machine) {
        if (sessions.assignedNode(machine) != null) zonePaths.onCommandSent(machine)
    }

    /**
     * Whether direct commands to [machine] would go nowhere and take the place of others: its heartbeats are relayed,
     * and either no worker of its zone reaches the leader directly or it was called back in vain.
     */
    fun isUnreachable(machine: Machine): Boolean {
        if (sessions.assignedNode(machine) != null) return zonePaths.areCommandsHeldBack(machine)
        val path = paths[machine.ix.value] ?: return false
        return path.relayedAt > maxOf(path.directAt, path.commandAnsweredAt) &&
            (ctx.now < path.notBefore || !zonePaths.isOpen(machine))
    }

    /** The machines to be probed now by a direct command: a few while none is answered, many once one is. */
    fun machinesToProbe(): List<Machine> {
        if (isQuiet) return emptyList()
        val isAnyAnswered = ctx.now - lastCommandAnsweredAt < times.reportS
        val perSecond = if (isAnyAnswered) PROBES_PER_SECOND_OPEN else PROBES_PER_SECOND_SHUT
        probeBudget = minOf(perSecond, probeBudget + (ctx.now - probeBudgetAt) * perSecond)
        probeBudgetAt = ctx.now
        if (probeBudget < 1) return emptyList()
        val due = fleet.machines.filter { machine -> paths[machine.ix.value]?.let { isProbeDue(machine, it) } == true }
        return due.sortedBy { pathOf(it).probedAt }.take(probeBudget.toInt()).onEach {
            pathOf(it).probedAt = ctx.now
            probeBudget -= 1.0
        }
    }

    private fun isProbeDue(machine: Machine, path: Path): Boolean = machine.address.isNotEmpty() &&
        !machine.deleting &&
        isRelayed(path) &&
        ctx.now >= path.notBefore &&
        ctx.now - path.commandAnsweredAt > times.reportS &&
        ctx.now - path.probedAt > times.reportS * 2

    private fun isRelayed(path: Path): Boolean =
        path.relayedAt > path.directAt && ctx.now - path.relayedAt < times.reportS * 2

    /** For the peers, by zone: how many workers should come directly, and how many of them are late. */
    fun reachByZone(): List<ZoneReach> {
        val known = HashMap<String, Int>()
        val late = HashMap<String, Int>()
        val lateAfterS = times.longestReportS + LATE_MARGIN_S
        for (machine in fleet.machines) {
            val zone = machine.group?.zone ?: continue
            if (!shouldComeDirectly(machine)) continue
            known.merge(zone, 1, Int::plus)
            val directAt = paths[machine.ix.value]?.directAt ?: Machine.NEVER
            if (ctx.now - directAt > lateAfterS) late.merge(zone, 1, Int::plus)
        }
        return known.map { (zone, count) -> ZoneReach(zone, count, late[zone] ?: 0) }.sortedBy { it.zone }
    }

    private fun shouldComeDirectly(machine: Machine): Boolean = !machine.returning &&
        sessions.assignedNode(machine) == null &&
        (machine.registered || (failureDetector.heartbeatRoundElapsed && failureDetector.isAwaited(machine)))

    /** How many workers' heartbeats were relayed within two heartbeat intervals. */
    val relayedWorkers: Int get() = if (isQuiet) 0 else paths.values.count(::isRelayed)

    /** Drops state of removed machines and logs a summary; to be called regularly. */
    fun tick() {
        if (ctx.now - lastSummaryAt < SUMMARY_INTERVAL_S) return
        lastSummaryAt = ctx.now
        if (paths.size > fleet.machines.size * 2) {
            paths.keys.retainAll(fleet.machines.map { it.ix.value }.toSet())
        }
        redirects.prune(fleet)
        val relayed = relayedWorkers
        if (relayed > 0 || relayedBefore > 0) {
            log.info(
                "workers reached only through other nodes count={} before={} zones={}",
                relayed,
                relayedBefore,
                reachByZone(),
            )
        }
        relayedBefore = relayed
    }

    private companion object {
        const val MAX_PAUSE_LEASES = 8.0
        const val PROBES_PER_SECOND_SHUT = 2.0
        const val PROBES_PER_SECOND_OPEN = 40.0
        const val SUMMARY_INTERVAL_S = 5.0
        const val LATE_MARGIN_S = 0.5
    }
}

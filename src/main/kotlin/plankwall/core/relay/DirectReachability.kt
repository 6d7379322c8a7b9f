package plankwall.core.relay

import org.slf4j.LoggerFactory
import plankwall.core.failuredetector.FailureDetector
import plankwall.core.sessions.SessionPlanner
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.wire.ZoneReach

/**
 * Which machines can reach the leader itself, and when those that come through other nodes are called back. A worker
 * that tries in vain loses several seconds of its lease and lands anywhere, so none is called on suspicion: the leader
 * first reaches the machine itself, which takes packets both ways.
 */
class DirectReachability(
    private val ctx: Context,
    private val fleet: Fleet,
    private val failureDetector: FailureDetector,
    private val sessions: SessionPlanner,
) {
    private class Reach {
        var directAt = Machine.NEVER
        var relayedAt = Machine.NEVER
        var reachedAt = Machine.NEVER
        var calledAt = Machine.NEVER
        var probedAt = Machine.NEVER
        var notBefore = Machine.NEVER
        var pauseS = 0.0

        /**
         * While its reports came through others there was a time when nobody of its zone came straight: the zone's
         * link, not its own.
         */
        var withZone = false

        /** The node that is to serve its session, when that last did, and when it was last sent there. */
        var home = ""
        var homeAt = Machine.NEVER
        var sentHomeAt = Machine.NEVER
        var homePauseS = 0.0
    }

    private val log = LoggerFactory.getLogger("relay")
    private val byMachine = HashMap<Int, Reach>()
    private val lastOpen = HashMap<String, Double>()

    /** By zone, since when commands to machines whose sessions other nodes serve have gone unanswered. */
    private val unansweredSince = HashMap<String, Double>()
    private val times = ctx.settings.workers
    private var lastReached = Machine.NEVER
    private var lastThrough = Machine.NEVER

    /** Nobody comes through others: nothing to look for among a thousand machines, ten times a second. */
    private val quiet: Boolean get() = ctx.now - lastThrough >= times.reportS * 2
    private var probes = 0.0
    private var probesAt = ctx.now
    private var through = 0
    private var lineAt = Machine.NEVER

    private fun of(m: Machine): Reach = byMachine.getOrPut(m.ix.value) { Reach() }

    fun onDirectHeartbeat(m: Machine) {
        val reach = of(m)
        reach.directAt = ctx.now
        m.group?.let { lastOpen[it.zone] = ctx.now }
        if (reach.pauseS > 0 && ctx.now - reach.relayedAt > times.leaseS * 2) reach.pauseS = 0.0
    }

    /**
     * The node that the worker of [m] is to be sent to, whose report came to [through]; null if it is to be served as
     * it came. A worker that was at its node a lease ago has left it for a reason, and one that was sent there and is
     * here has not got there: both are served as they come for a while, longer each time.
     */
    fun redirectTarget(m: Machine, zone: String, through: String): String? {
        val home = sessions.assignedNode(m.id, zone) ?: return null
        val reach = of(m)
        if (reach.home != home) {
            reach.home = home
            reach.homeAt = Machine.NEVER
            reach.sentHomeAt = Machine.NEVER
            reach.homePauseS = times.leaseS
        }
        if (through == home) {
            reach.homeAt = ctx.now
            reach.homePauseS = times.leaseS
            return null
        }
        if (ctx.now - maxOf(reach.homeAt, reach.sentHomeAt) < reach.homePauseS) return null
        if (reach.sentHomeAt >
            reach.homeAt
        ) {
            reach.homePauseS = (reach.homePauseS * 2).coerceAtMost(times.leaseS * MAX_PAUSE_LEASES)
        }
        reach.sentHomeAt = ctx.now
        return home
    }

    /** A report through another node. True if the worker had better come itself: the report is not taken then. */
    fun onIndirectHeartbeat(m: Machine, zone: String): Boolean {
        // As planned: its own way here is not known, and not asked for.
        if (sessions.assignedNode(m.id, zone) != null) return false
        val reach = of(m)
        // Called before, and not here since: the way that the leader found open is closed to the worker.
        if (reach.calledAt > reach.directAt && reach.calledAt > reach.reachedAt) {
            reach.pauseS = (reach.pauseS * 2).coerceIn(times.leaseS, times.leaseS * MAX_PAUSE_LEASES)
            reach.notBefore = ctx.now + reach.pauseS
            reach.calledAt = Machine.NEVER
        }
        reach.withZone = !isOpen(m) || (reach.withZone && reach.relayedAt > reach.directAt)
        val reached = ctx.now - reach.reachedAt < times.longestReportS
        // Where a whole zone was shut and one of it gets through again, all do; one by one they would take half a
        // minute.
        val open = ctx.now >= reach.notBefore && (reached || (reach.withZone && isOpen(m)))
        if (!open) {
            reach.relayedAt = ctx.now
            lastThrough = ctx.now
            return false
        }
        reach.calledAt = ctx.now
        reach.reachedAt = Machine.NEVER
        log.debug("machine {} is called back: it can be reached", m.id)
        return true
    }

    /** The machine answered a direct command: the way is open in both directions. */
    fun onCommandAnswered(m: Machine) {
        of(m).reachedAt = ctx.now
        m.group?.let {
            lastOpen[it.zone] = ctx.now
            unansweredSince.remove(it.zone)
        }
        lastReached = ctx.now
    }

    /**
     * Out of reach for direct commands, which would go nowhere and take the place of others: its reports come through
     * other nodes, and either nobody of its zone comes straight or it was called in vain.
     */
    fun isUnreachable(m: Machine): Boolean {
        if (sessions.assignedNode(m) != null) return isShut(m)
        val reach = byMachine[m.ix.value] ?: return false
        return reach.relayedAt > maxOf(reach.directAt, reach.reachedAt) && (ctx.now < reach.notBefore || !isOpen(m))
    }

    /**
     * Commands to the machine's zone go unanswered. Half of the time they are let through all the same, so that it
     * shows when the way is open again.
     */
    private fun isShut(m: Machine): Boolean {
        val zone = m.group?.zone ?: return false
        val since = unansweredSince[zone] ?: return false
        return (ctx.now - since) % (SHUT_S * 2) >= SHUT_S
    }

    /** A command was sent to [m]. */
    fun onCommandSent(m: Machine) {
        if (sessions.assignedNode(m) != null) m.group?.let { unansweredSince.putIfAbsent(it.zone, ctx.now) }
    }

    /** Somebody of the machine's zone has come straight, or was reached, within a report interval. */
    private fun isOpen(m: Machine): Boolean =
        ctx.now - (lastOpen[m.group?.zone] ?: Machine.NEVER) < times.longestReportS

    /** Machines to be tried now: a few while nothing gets through, many once something does. */
    fun machinesToProbe(): List<Machine> {
        if (quiet) return emptyList()
        val rate = if (ctx.now - lastReached < times.reportS) PROBES_OPEN else PROBES_SHUT
        probes = minOf(rate, probes + (ctx.now - probesAt) * rate)
        probesAt = ctx.now
        if (probes < 1) return emptyList()
        val due = fleet.machines.filter { m ->
            val r = byMachine[m.ix.value]
            r != null &&
                m.address.isNotEmpty() &&
                !m.deleting &&
                isThrough(r) &&
                ctx.now >= r.notBefore &&
                ctx.now - r.reachedAt > times.reportS &&
                ctx.now - r.probedAt > times.reportS * 2
        }
        return due.sortedBy { of(it).probedAt }.take(probes.toInt()).onEach {
            of(it).probedAt = ctx.now
            probes -= 1.0
        }
    }

    private fun isThrough(r: Reach): Boolean = r.relayedAt > r.directAt && ctx.now - r.relayedAt < times.reportS * 2

    /** For the peers, by zone: how many machines should come here, and how many of them have not come straight. */
    fun reachByZone(): List<ZoneReach> {
        val known = HashMap<String, Int>()
        val late = HashMap<String, Int>()
        val overdueS = times.longestReportS + 0.5
        for (m in fleet.machines) {
            val zone = m.group?.zone ?: continue
            if (m.returning ||
                sessions.assignedNode(m) != null ||
                !(m.registered || (failureDetector.heartbeatRoundElapsed && failureDetector.isAwaited(m)))
            ) {
                continue
            }
            known.merge(zone, 1, Int::plus)
            if (ctx.now - (byMachine[m.ix.value]?.directAt ?: Machine.NEVER) > overdueS) late.merge(zone, 1, Int::plus)
        }
        return known.map { (zone, n) -> ZoneReach(zone, n, late[zone] ?: 0) }.sortedBy { it.zone }
    }

    /** Machines that were heard through others within two report intervals. */
    val throughOthers: Int get() = if (quiet) 0 else byMachine.values.count(::isThrough)

    fun tick() {
        if (ctx.now - lineAt < LINE_S) return
        lineAt = ctx.now
        if (byMachine.size >
            fleet.machines.size * 2
        ) {
            byMachine.keys.retainAll(fleet.machines.map { it.ix.value }.toSet())
        }
        val now = throughOthers
        if (now > 0 ||
            through > 0
        ) {
            log.info("{} machines report through other nodes, {} before; by zone {}", now, through, reachByZone())
        }
        through = now
    }

    private companion object {
        const val MAX_PAUSE_LEASES = 8.0
        const val PROBES_SHUT = 2.0
        const val PROBES_OPEN = 40.0
        const val LINE_S = 5.0

        /** A worker answers a command within 3 s, or its caller gives up. */
        const val SHUT_S = 4.0
    }
}

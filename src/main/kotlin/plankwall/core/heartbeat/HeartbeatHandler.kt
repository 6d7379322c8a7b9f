package plankwall.core.heartbeat

import org.slf4j.LoggerFactory
import plankwall.core.election.Leadership
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.state.SchedulerState
import plankwall.core.state.StopCause
import plankwall.core.statemachine.Context
import plankwall.model.ImageIndex
import plankwall.model.Shape
import plankwall.wire.ExitCause
import plankwall.wire.HeartbeatStatus
import plankwall.wire.Order
import plankwall.wire.OrderOp
import plankwall.wire.TaskStage
import plankwall.wire.TaskStatus

/** Reads workers' reports and says what to command in the answer. */
class HeartbeatHandler(
    private val ctx: Context,
    private val leadership: Leadership,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
) {
    private val log = LoggerFactory.getLogger("workers")
    private val faultAttribution = FaultAttribution(ctx, schedulerState, fleet)

    /** The orders for the answer to [r], or null if the report is an old one that must change nothing. */
    fun onHeartbeat(r: HeartbeatStatus): List<Order>? {
        val m = fleet.machine(r.machine)
        if (r.session < m.session || (r.session == m.session && r.seq <= m.heartbeatSeq)) return null
        // The answer to a direct command overtook it: what it shows may be out of date, what it lacks proves as much as
        // ever.
        val overtaken = r.session == m.session && r.seq < m.seq
        hear(m, r)
        m.lastAnswered = ctx.now
        if (!m.registered) {
            m.registeredAt = ctx.now
            log.info("machine {} registered: {}", m.id, m.group)
        }
        m.confirmed = r.token >= leadership.epoch
        if (m.confirmed) m.unresponsive = false
        if (r.noticeS != null && m.noticeAt == Machine.NEVER) {
            m.noticeAt = ctx.now + r.noticeS
            log.info("machine {} will be taken in {} s", m.id, r.noticeS)
            leaveBefore(m, r.noticeS)
        }
        val orders = ArrayList<Order>()
        val reported = HashSet<Placement>()
        m.unknownTasks = 0
        m.exitsShown = r.tasks.count { it.stage == TaskStage.EXITED }
        for (t in r.tasks) examine(m, t, reported, orders, overtaken)
        settleAbsent(m, reported)
        for (p in m.placements.values) {
            if (p.ended) continue
            when {
                p.stopping != null -> if (p.commanded) {
                    orders.add(
                        Order(OrderOp.STOP, p.job.spec.id, p.task, p.attempt, p.graceS),
                    )
                }
                p.stored && !p.seen && !p.job.cancelled && !m.returning && p.session == m.session -> {
                    p.commanded = true
                    orders.add(Order(OrderOp.START, p.job.spec.id, p.task, p.attempt))
                }
            }
        }
        return if (orders.size > MAX_ORDERS) orders.subList(0, MAX_ORDERS) else orders
    }

    /** A notice: what would not end in time is saved, where it saves at all, and started elsewhere. */
    private fun leaveBefore(m: Machine, noticeS: Double) {
        for (p in m.placements.values.toList()) {
            val spec = p.job.spec
            val left = if (p.runningSince > 0 &&
                spec.shape != Shape.SERVICE
            ) {
                spec.estimateS - (ctx.now - p.runningSince)
            } else {
                Double.MAX_VALUE
            }
            if (left > noticeS * 0.5) schedulerState.stopWithSave(p, StopCause.DRAINED)
        }
    }

    /**
     * What is worth a direct command: stops, which do no harm when late, and a higher token, on which the worker checks
     * in within half a second and gets its `run` with the answer. Null if there is nothing of the kind.
     */
    fun urgentOrders(m: Machine): List<Order>? {
        if (!m.unsent || !m.registered || m.address.isEmpty() || m.deleting) return null
        val stops = m.placements.values.filter { it.stopping != null && it.commanded && !it.stopPosted && !it.ended }
        stops.forEach { it.stopPosted = true }
        val waits = m.placements.values.any {
            it.stored &&
                !it.commanded &&
                it.stopping == null &&
                it.session == m.session
        }
        val poke = waits && ctx.now - m.lastWokenAt > ctx.settings.workers.leaseS * 0.55
        if (poke) m.lastWokenAt = ctx.now
        m.unsent = waits && !poke
        if (stops.isEmpty() && !poke) return null
        return stops.map { Order(OrderOp.STOP, it.job.spec.id, it.task, it.attempt, it.graceS) }
    }

    /**
     * A report that came as the body of a direct command's answer: what it shows is true, what it lacks proves nothing.
     */
    fun onRelayedHeartbeat(r: HeartbeatStatus) {
        val m = fleet.find(r.machine) ?: return
        if (r.session < m.session || (r.session == m.session && r.seq <= m.seq)) return
        m.group ?: fleet.describe(m, r)
        if (r.session > m.session) return
        m.seq = r.seq
        r.tasks.forEach { examine(m, it, HashSet(), ArrayList(), overtaken = false) }
    }

    private fun hear(m: Machine, r: HeartbeatStatus) {
        // Its lease ran out though its reports were answered: it does not hear us, and what is placed there would not
        // start. One that has shown our token may have heard us once and not since; any other shows by the token that
        // it does. What we took for its word may have been an old report, held back until we led, which says nothing
        // against the machine.
        if (m.session in 1 until r.session && ctx.now - m.lastAnswered < ctx.settings.workers.leaseS) {
            if (r.token >= leadership.epoch) m.blockedUntil = ctx.now + ctx.surelyOverS else m.unresponsive = true
            log.info(
                "machine {} lost its lease though it was answered: no work for it {}",
                m.id,
                if (m.unresponsive) "until it shows our token" else "for now",
            )
        }
        m.awaitingHeartbeat = false
        fleet.describe(m, r)
        m.seq = if (r.session > m.session) r.seq else maxOf(m.seq, r.seq)
        m.session = r.session
        m.heartbeatSeq = r.seq
        m.lastHeard = ctx.now
    }

    private fun examine(
        m: Machine,
        t: TaskStatus,
        reported: HashSet<Placement>,
        orders: ArrayList<Order>,
        overtaken: Boolean,
    ) {
        val job = schedulerState.find(t.jobId)
        val p = job?.let { m.placement(it, t.task) }
        if (p != null && p.attempt == t.attempt) {
            reported.add(p)
            p.seen = true
            p.commanded = true
            when {
                t.stage != TaskStage.EXITED -> progressed(m, p, t)
                waitsOn(p, t) -> tryAgain(p, orders, overtaken)
                else -> exited(p, t)
            }
            return
        }
        if (t.stage != TaskStage.EXITED) {
            if (overtaken) return
            m.unknownTasks++
            log.info("stop stranger {}/{}#{} on {}", t.jobId, t.task, t.attempt, m.id)
            orders.add(Order(OrderOp.STOP, t.jobId, t.task, t.attempt, 0.0))
            return
        }
        if (job != null && t.cause == ExitCause.DONE && !job.done[t.task.coerceIn(0, job.spec.tasks - 1)]) {
            schedulerState.complete(job, t.task)
        }
        // An exit may only be cleared away once what it says is safely stored.
        val unsaved = job != null && t.cause == ExitCause.DONE && !job.storedDone[t.task]
        if (!unsaved) orders.add(Order(OrderOp.FORGET, t.jobId, t.task, t.attempt))
    }

    private fun progressed(m: Machine, p: Placement, t: TaskStatus) {
        if (p.stage != t.stage) log.debug("{} on {} is {}", p.id, m.id, t.stage)
        if (t.stage == TaskStage.RUNNING || t.stage == TaskStage.WAITING) {
            if (p.stage != TaskStage.RUNNING && t.stage == TaskStage.RUNNING) p.runningSince = ctx.now
            val image = ImageIndex(p.job.image.value)
            if (p.stage != t.stage) m.recordImage(image, p.job.spec.imageGb, ctx.now)
        }
        p.stage = t.stage
        if (t.stage == TaskStage.RUNNING) faultAttribution.runs(p)
    }

    /**
     * A gang task whose mates took longer over their images than it may wait. The others still wait or fetch, and the
     * same attempt, started here again, completes the gang; giving it up would throw away every fetch under way.
     */
    private fun waitsOn(p: Placement, t: TaskStatus): Boolean = t.cause == ExitCause.GANG_INCOMPLETE &&
        p.stopping == null &&
        !p.ended &&
        !p.machine.returning &&
        p.machine.noticeAt == Machine.NEVER &&
        !p.job.cancelled &&
        p.job.placements.size == p.job.spec.tasks - p.job.doneCount &&
        p.job.placements.values.none { it.stopping != null }

    private fun tryAgain(p: Placement, orders: ArrayList<Order>, overtaken: Boolean) {
        // Only a check-in's answer is never executed late, and only its newest word shows that the exit still stands.
        if (overtaken) return
        log.info("start {} on {} again: its gang was not complete in time", p.id, p.machine.id)
        orders.add(Order(OrderOp.FORGET, p.job.spec.id, p.task, p.attempt))
        p.seen = false
        p.stage = null
    }

    private fun exited(p: Placement, t: TaskStatus) {
        if (p.ended) return
        p.ended = true
        val job = p.job
        val m = p.machine
        if (t.cause == ExitCause.DONE) {
            faultAttribution.succeeded(p)
            schedulerState.complete(job, p.task)
        }
        when (t.cause) {
            ExitCause.ERROR -> {
                if (p.runningSince > 0.0) job.longestFailS = maxOf(job.longestFailS, ctx.now - p.runningSince)
                faultAttribution.failed(p)
            }
            ExitCause.INSUFFICIENT_RESOURCES, ExitCause.OTHER_ATTEMPT_PRESENT -> m.blockedUntil = ctx.now + 5.0
            ExitCause.UNKNOWN -> job.backoffUntil = ctx.now + 2.0
            else -> Unit
        }
        schedulerState.release(p, "reported ended: ${t.cause}")
    }

    /**
     * Placements that a check-in does not show. One report is in flight at a time, so every earlier answer has been
     * taken or dropped; and since the worker has seen our token, no older leader's answer can follow. That the session
     * is over proves it without the token: what ran in it was killed, and no answer to a report of it is taken any
     * more. A worker whose reports arrive and that hears no answer never shows our token; its tasks waited for as long
     * as that went on.
     */
    private fun settleAbsent(m: Machine, reported: Set<Placement>) {
        for (p in m.placements.values.toList()) {
            if (p in reported || !p.stored) continue
            when {
                p.session < m.session -> schedulerState.release(p, "session ${m.session} began")
                !m.confirmed -> Unit
                p.seen -> schedulerState.release(p, "gone from the reports")
                p.stopping != null -> schedulerState.release(p, "a newer check-in does not show it")
                p.job.cancelled -> schedulerState.release(p, "withdrawn before it started")
                m.returning -> schedulerState.release(p, "not started on a machine that is returned")
            }
        }
    }

    /**
     * Releases what is on machines whose worker's lease is surely over, and takes back what never left for one that has
     * gone quiet.
     */
    fun releaseExpired() {
        for (m in fleet.machines) {
            if (m.placements.isEmpty()) continue
            if (ctx.now >= fleet.provablyEmptyAt(m, leadership.olderLeadersSilentAt)) {
                m.placements.values.toList().forEach {
                    if (it.stored ||
                        it.commanded
                    ) {
                        schedulerState.release(it, "lease of ${m.id} is over")
                    }
                }
            } else if (m.registered && ctx.now - m.lastHeard > ctx.settings.workers.missedS) {
                takeBack(m)
            }
        }
    }

    /**
     * `run` was put into no answer, so nothing of it can start: no proof is needed to place it elsewhere. What we know
     * of the machine may be one old report that was held back until we led, of a machine that is long gone; its lease
     * would be waited for in vain.
     */
    private fun takeBack(m: Machine) {
        for (p in m.placements.values.filter { it.stored && !it.commanded }) {
            m.awaitingHeartbeat = true
            schedulerState.release(p, "never commanded, and ${m.id} has missed a report")
        }
    }

    private companion object {
        const val MAX_ORDERS = 400
    }
}

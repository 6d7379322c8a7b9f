package plankwall.core

import org.slf4j.LoggerFactory
import plankwall.core.api.CapacityView
import plankwall.core.autoscaling.Autoscaler
import plankwall.core.election.Leadership
import plankwall.core.failuredetector.FailureDetector
import plankwall.core.heartbeat.HeartbeatHandler
import plankwall.core.placement.Placer
import plankwall.core.relay.DirectReachability
import plankwall.core.relay.LeadershipTransfer
import plankwall.core.sessions.SessionPlanner
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.state.ProgressPublisher
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.LeaseAuthority
import plankwall.core.store.LeaderStore
import plankwall.core.store.VersionUpgrade
import plankwall.wire.HeartbeatStatus
import plankwall.wire.JobProgress
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.Order
import plankwall.wire.OrderOp
import plankwall.wire.PageRecord
import plankwall.wire.ProgressUpdate
import plankwall.wire.SessionPlan
import plankwall.wire.StateItem
import plankwall.wire.StateResult
import plankwall.wire.TaskStage
import plankwall.wire.WorkerCodec
import plankwall.wire.ZoneReach

/**
 * All that a node knows and does while it leads, from winning to yielding. A new one begins with nothing and reads
 * everything from the store after the win, so that nothing remembered from an earlier time can be wrong.
 */
class LeadershipTerm(
    private val ctx: Context,
    private val leadership: Leadership,
    private val capacityView: CapacityView,
) {
    private val log = LoggerFactory.getLogger("term")
    private val store = LeaderStore(ctx, leadership)
    private val fleet = Fleet(ctx)
    private val cancellations = leadership.cancellations
    private val schedulerState = SchedulerState(ctx, store, fleet, cancellations::isKnown)
    private val heartbeats = HeartbeatHandler(ctx, leadership, schedulerState, fleet)
    private val placer = Placer(ctx, schedulerState, fleet)
    private val failureDetector = FailureDetector(ctx, fleet, ctx.now)
    private val rental =
        Autoscaler(ctx, store, schedulerState, fleet, placer, failureDetector, ctx.now) {
            fleet.provablyEmptyAt(it, leadership.olderLeadersSilentAt)
        }
    private val upgrade = VersionUpgrade(leadership, store)
    private val catalogs = CatalogWriter(store, capacityView)
    private val teller = ProgressPublisher(schedulerState)
    private val sessions =
        SessionPlanner(ctx, leadership.reachability, fleet, leadership.epoch, leadership.reachability.lastSessionPlan)
    private val reach = DirectReachability(ctx, fleet, failureDetector, sessions)
    private val transfer = LeadershipTransfer(ctx, leadership, fleet, failureDetector, reach)
    private var loaded = false

    fun begin() {
        store.readAll(Keys.FLEET) { items, _ ->
            rental.restore(items)
            store.readAll(Keys.LEVEL) { levels, _ ->
                upgrade.restore(levels)
                loadJobs()
            }
        }
    }

    private fun loadJobs() = store.readAll(Keys.JOBS) { jobs, revision ->
        jobs.forEach { item ->
            (item.value as? JobRecord)?.let { schedulerState.onJobRecord(Keys.jobId(item.key), it, item.version) }
        }
        store.readAll(Keys.PAGES) { pages, _ -> loadPages(pages, revision) }
    }

    private fun loadPages(pages: List<StateItem>, revision: Long) {
        val orphans = ArrayList<String>()
        for (item in pages) {
            val record = item.value as? PageRecord ?: continue
            val job = schedulerState.find(Keys.jobId(item.key))
            if (job != null) {
                schedulerState.restorePage(job, item, record)
            } else if (record.placements.isEmpty()) {
                orphans.add(item.key)
            }
        }
        schedulerState.finishRestore()
        loaded = true
        log.info("epoch {}: took over {} jobs, {} machines", store.epoch, schedulerState.live.size, fleet.machines.size)
        schedulerState.removeLeftovers(orphans)
        watch(revision)
    }

    /** Follows submissions and withdrawals. */
    private fun watch(after: Long) {
        store.watch(Keys.JOBS, after, WATCH_MS) { result ->
            when (result) {
                is StateResult.News -> {
                    result.events.forEach { e ->
                        (e.value as? JobRecord)?.let { schedulerState.onJobRecord(Keys.jobId(e.key), it, e.version) }
                    }
                    watch(maxOf(after, result.revision))
                }
                StateResult.TooOld -> store.readAll(Keys.JOBS) { jobs, revision ->
                    jobs.forEach {
                        (it.value as? JobRecord)?.let { r ->
                            schedulerState.onJobRecord(Keys.jobId(it.key), r, it.version)
                        }
                    }
                    watch(revision)
                }
                else -> ctx.runAfter(0.3) { if (store.active) watch(after) }
            }
        }
    }

    fun tick() {
        capacityView.catalog?.let { if (fleet.catalog == null) fleet.catalog = it }
        fleet.catalog?.let { capacityView.catalog = it }
        sessions.tick()
        if (!loaded) return
        if (leadership.mayWrite) {
            // A leader that may have been replaced does not hear its workers for that reason: it concludes nothing.
            heartbeats.releaseExpired()
            schedulerState.tick()
            placer.plan()
            schedulerState.flush()
            upgrade.tick()
            fleet.catalog?.let(catalogs::save)
        }
        rental.tick()
        sendUrgent()
        announce()
        probe()
        reach.tick()
        transfer.tick()
    }

    /** What becomes of a check-in. */
    sealed interface Word {
        class Orders(val orders: List<Order>) : Word

        /** The worker had better report to [node]. */
        data class ReportTo(val node: String) : Word

        data object Refused : Word
    }

    /** [through]: the node that the report came to. */
    fun onHeartbeat(r: HeartbeatStatus, through: String): Word {
        if (fleet.isGone(r.machine)) return Word.Refused
        val m = fleet.machine(r.machine)
        reach.redirectTarget(m, r.zone, through)?.let { return Word.ReportTo(it) }
        if (through == ctx.settings.node) {
            reach.onDirectHeartbeat(m)
        } else if (reach.onIndirectHeartbeat(m, r.zone)) {
            return Word.ReportTo(ctx.settings.node)
        }
        val orders = if (loaded) heartbeats.onHeartbeat(r) else keepLease(m, r)
        return if (orders == null) Word.Refused else Word.Orders(orders)
    }

    private fun keepLease(m: Machine, r: HeartbeatStatus): List<Order> {
        // Until the book is read nothing can be judged, but the worker's lease can be kept.
        fleet.describe(m, r)
        m.lastAnswered = ctx.now
        // A job known as withdrawn needs no book to be stopped: what this lease keeps alive must not be among it.
        return r.tasks.filter {
            it.stage != TaskStage.EXITED && cancellations.isKnown(it.jobId)
        }.map { Order(OrderOp.STOP, it.jobId, it.task, it.attempt, 0.0) }
    }

    /** A user was told that [job] is withdrawn. */
    fun onCancelled(job: String) = schedulerState.onCancelled(job)

    fun onRelayedHeartbeat(r: HeartbeatStatus) {
        if (isForeign(r)) return
        if (store.active && loaded) heartbeats.onRelayedHeartbeat(r)
        val m = fleet.find(r.machine) ?: return
        reach.onCommandAnswered(m)
        // A refusal names the session to use; the next try follows at once.
        if (!m.confirmed && r.token < leadership.epoch && r.session > m.announceSession) {
            m.announceSession = r.session
            m.lastAnnounced = Machine.NEVER
        }
    }

    /** The token for [machine]: never lower than what it was shown. */
    fun tokenFor(machine: String): Long = maxOf(store.epoch, fleet.find(machine)?.token ?: 0L)

    /**
     * A worker that has seen a token beyond ours has a newer leader: we are no longer the one. Up to our newest write
     * all are ours: a later leader's key is written after it. That counts for machines that are forgotten already,
     * whose last report was held back by a cut and comes when it heals: one of those made a sound leader give up.
     */
    fun isForeign(r: HeartbeatStatus): Boolean {
        if (r.token <= maxOf(tokenFor(r.machine), store.lastRevision)) return false
        leadership.resign("machine ${r.machine} shows token ${r.token}")
        return true
    }

    /** Also without the state service: a stop needs nothing stored, and what is stored already may start. */
    private fun sendUrgent() {
        for (m in fleet.machines) {
            if (!m.unsent || reach.isUnreachable(m)) continue
            val orders = heartbeats.urgentOrders(m) ?: continue
            m.token = maxOf(m.token, store.lastRevision)
            post(m, m.session, orders)
        }
    }

    /** Machines whose reports come through others are tried with a command that orders nothing. */
    private fun probe() = reach.machinesToProbe().forEach { post(it, it.session, emptyList()) }

    private fun post(m: Machine, session: Long, orders: List<Order>) {
        reach.onCommandSent(m)
        ctx.out.add(Effect.WorkerPost(m.id, m.address, WorkerCodec.commands(tokenFor(m.id), session, orders)))
    }

    fun zones(): List<ZoneReach> = reach.reachByZone()

    /** Which nodes serve workers' sessions; null while all come here. */
    val sessionPlan: SessionPlan? get() = sessions.plan

    /** Shows machines the new token directly, so that they drop the answers of an older leader that goes on. */
    private fun announce() {
        if (ctx.now > leadership.wonAt + ctx.outageGraceS + ctx.surelyOverS) return
        var room = MAX_ANNOUNCED
        for (m in fleet.machines) {
            if (room == 0) return
            if (m.confirmed || m.address.isEmpty() || m.deleting || ctx.now - m.lastAnnounced < ANNOUNCE_S) continue
            if (ctx.now < leadership.wonAt + 2.0) continue
            m.lastAnnounced = ctx.now
            room--
            val session = maxOf(m.session, m.announceSession, m.placements.values.firstOrNull()?.session ?: 1L)
            post(m, session, emptyList())
        }
    }

    /** Where the cloud says [machine] is; null if it has not been listed yet. */
    fun listedAddress(machine: String): String? = fleet.find(machine)?.listedAddress?.takeIf { it.isNotEmpty() }

    /** What the gate may do while this lasts: it comes after all that somebody waits for. */
    val authority: LeaseAuthority = object : LeaseAuthority {
        override val epoch: Long get() = store.epoch

        override fun mayWrite(): Boolean = loaded && store.availableWrites() > store.scarceWrites
    }

    /** Null while the book is not read yet, or if it has no such job. */
    fun progressOf(id: String): JobProgress? = if (loaded) schedulerState.find(id)?.progress else null

    fun news(): List<ProgressUpdate> = if (loaded) teller.nextUpdates(store.epoch) else emptyList()

    fun end() = store.close()

    private companion object {
        const val WATCH_MS = 8_000L
        const val MAX_ANNOUNCED = 6
        const val ANNOUNCE_S = 2.0
    }
}

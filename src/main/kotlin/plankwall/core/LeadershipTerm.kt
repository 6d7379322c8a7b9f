package plankwall.core

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
import plankwall.core.state.ProgressPublisher
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.LeaseAuthority
import plankwall.core.store.LeaderStore
import plankwall.core.store.VersionUpgrade
import plankwall.wire.HeartbeatStatus
import plankwall.wire.JobProgress
import plankwall.wire.ProgressUpdate
import plankwall.wire.SessionPlan
import plankwall.wire.ZoneReach

/**
 * All that a node knows and does while it leads, from its election to its resignation: creates the parts, and runs them
 * in a fixed order. A new term begins with nothing and reads everything from the store, so that nothing remembered from
 * an earlier time can be wrong.
 */
internal class LeadershipTerm(
    private val ctx: Context,
    private val leadership: Leadership,
    private val capacityView: CapacityView,
) {
    private val store = LeaderStore(ctx, leadership)
    private val fleet = Fleet(ctx)
    private val schedulerState = SchedulerState(ctx, store, fleet, leadership.cancellations::isKnown)
    private val heartbeatHandler = HeartbeatHandler(ctx, leadership, schedulerState, fleet)
    private val placer = Placer(ctx, schedulerState, fleet)
    private val failureDetector = FailureDetector(ctx, fleet, ctx.now)
    private val autoscaler =
        Autoscaler(ctx, store, schedulerState, fleet, placer, failureDetector, ctx.now) {
            fleet.provablyEmptyAt(it, leadership.olderLeadersSilentAt)
        }
    private val upgrade = VersionUpgrade(leadership, store)
    private val catalogWriter = CatalogWriter(store, capacityView)
    private val progress = ProgressPublisher(schedulerState)
    private val sessions =
        SessionPlanner(ctx, leadership.reachability, fleet, leadership.epoch, leadership.reachability.lastSessionPlan)
    private val reach = DirectReachability(ctx, fleet, failureDetector, sessions)
    private val transfer = LeadershipTransfer(ctx, leadership, fleet, failureDetector, reach)
    private val loader = StateLoader(ctx, store, schedulerState, fleet, autoscaler, upgrade)
    private val commands = WorkerCommands(ctx, leadership, store, fleet, heartbeatHandler, reach)
    private val heartbeats =
        TermHeartbeats(ctx, leadership, store, fleet, heartbeatHandler, reach, commands, loader::isLoaded)

    /** Starts to read the stored state. */
    fun begin() = loader.load()

    /** From now on no answer of the store to this term has any effect. */
    fun end() = store.close()

    /** Runs all parts once. */
    fun tick() {
        capacityView.catalog?.let { if (fleet.catalog == null) fleet.catalog = it }
        fleet.catalog?.let { capacityView.catalog = it }
        sessions.tick()
        if (!loader.isLoaded) return
        // A leader that may have been replaced gets no heartbeats for that reason, so it draws no conclusions.
        if (leadership.mayWrite) decide()
        autoscaler.tick()
        commands.tick()
        reach.tick()
        transfer.tick()
    }

    private fun decide() {
        heartbeatHandler.releaseExpired()
        schedulerState.tick()
        placer.plan()
        schedulerState.flush()
        upgrade.tick()
        fleet.catalog?.let(catalogWriter::save)
    }

    /** Takes [heartbeat], which came to the node [through]. */
    fun onHeartbeat(heartbeat: HeartbeatStatus, through: String): HeartbeatOutcome =
        heartbeats.onHeartbeat(heartbeat, through)

    /** Takes the [heartbeat] that a worker sent as its answer to a direct command. */
    fun onCommandReply(heartbeat: HeartbeatStatus) = heartbeats.onCommandReply(heartbeat)

    /** Resigns if [heartbeat] shows a newer leader's fencing token. */
    fun resignIfFenced(heartbeat: HeartbeatStatus) {
        heartbeats.resignIfFenced(heartbeat)
    }

    /** The cancellation of [job] was confirmed to a user. */
    fun onCancelled(job: String) = schedulerState.onCancelled(job)

    /** The fencing token for [machine]: never lower than what it was shown. */
    fun tokenFor(machine: String): Long = commands.tokenFor(machine)

    /** How each zone's machines are reached. */
    fun zones(): List<ZoneReach> = reach.reachByZone()

    /** Which nodes serve workers' sessions; null while all come to the leader. */
    val sessionPlan: SessionPlan? get() = sessions.plan

    /** Where the cloud says [machine] is; null if it has not been listed yet. */
    fun listedAddress(machine: String): String? = fleet.find(machine)?.listedAddress?.takeIf { it.isNotEmpty() }

    /** What the access gateway may do in this term: it comes after all that somebody waits for. */
    val authority: LeaseAuthority = object : LeaseAuthority {
        override val epoch: Long get() = store.epoch

        override fun mayWrite(): Boolean = loader.isLoaded && store.availableWrites() > store.scarceWrites
    }

    /** Null until the state is loaded, or if there is no such live job. */
    fun progressOf(id: String): JobProgress? = if (loader.isLoaded) schedulerState.find(id)?.progress else null

    /** What is to be published about jobs now. */
    fun progressUpdates(): List<ProgressUpdate> =
        if (loader.isLoaded) progress.nextUpdates(store.epoch) else emptyList()
}

package plankwall.core

import plankwall.core.api.CatalogCache
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
 * The parts and the state that a node has while it leads, from its election to its resignation. Creates the parts and
 * runs them in a fixed order. A new term starts empty and reads everything from the store, so that nothing remembered
 * from an earlier term can be wrong.
 */
internal class LeadershipTerm(
    private val ctx: Context,
    private val leadership: Leadership,
    private val catalogCache: CatalogCache,
) {
    private val store = LeaderStore(ctx, leadership)
    private val fleet = Fleet(ctx)
    private val schedulerState = SchedulerState(ctx, store, fleet, leadership.cancellations::isKnown)
    private val heartbeatHandler = HeartbeatHandler(ctx, leadership, schedulerState, fleet)
    private val placer = Placer(ctx, schedulerState, fleet)
    private val failureDetector = FailureDetector(ctx, fleet, ctx.now)
    private val autoscaler =
        Autoscaler(ctx, store, schedulerState, fleet, placer, failureDetector, ctx.now) {
            fleet.provablyEmptyAt(it, leadership.olderLeadersStoppedAt)
        }
    private val versionUpgrade = VersionUpgrade(leadership, store)
    private val catalogWriter = CatalogWriter(store, catalogCache)
    private val progressPublisher = ProgressPublisher(schedulerState)
    private val sessionPlanner =
        SessionPlanner(ctx, leadership.reachability, fleet, leadership.epoch, leadership.reachability.lastSessionPlan)
    private val directReachability = DirectReachability(ctx, fleet, failureDetector, sessionPlanner)
    private val leadershipTransfer = LeadershipTransfer(ctx, leadership, fleet, failureDetector, directReachability)
    private val loader = StateLoader(ctx, store, schedulerState, fleet, autoscaler, versionUpgrade)
    private val workerCommands = WorkerCommands(ctx, leadership, store, fleet, heartbeatHandler, directReachability)
    private val termHeartbeats =
        TermHeartbeats(
            ctx,
            leadership,
            store,
            fleet,
            heartbeatHandler,
            directReachability,
            workerCommands,
            loader::isLoaded,
        )

    /** Starts to read the stored state. */
    fun begin() = loader.load()

    /** Ends the term: replies of the store that arrive later have no effect. */
    fun end() = store.close()

    /** Runs all parts once; to be called on each tick. */
    fun tick() {
        catalogCache.catalog?.let { if (fleet.catalog == null) fleet.catalog = it }
        fleet.catalog?.let { catalogCache.catalog = it }
        sessionPlanner.tick()
        if (!loader.isLoaded) return
        // Workers send no heartbeats to a leader that has been replaced. So a leader whose lease may have expired must
        // not conclude anything from missing heartbeats.
        if (leadership.mayWrite) runSchedulingPass()
        autoscaler.tick()
        workerCommands.tick()
        directReachability.tick()
        leadershipTransfer.tick()
    }

    private fun runSchedulingPass() {
        heartbeatHandler.releaseExpired()
        schedulerState.tick()
        placer.runPass()
        schedulerState.flush()
        versionUpgrade.tick()
        fleet.catalog?.let(catalogWriter::save)
    }

    /** Handles [heartbeat], which the node [receivingNode] received from the worker. Returns how to respond to it. */
    fun onHeartbeat(heartbeat: HeartbeatStatus, receivingNode: String): HeartbeatOutcome =
        termHeartbeats.onHeartbeat(heartbeat, receivingNode)

    /** Handles the [heartbeat] that a worker sent as its answer to a direct command. */
    fun onCommandReply(heartbeat: HeartbeatStatus) = termHeartbeats.onCommandReply(heartbeat)

    /** Resigns if [heartbeat] shows a newer leader's fencing token. */
    fun resignIfFenced(heartbeat: HeartbeatStatus) {
        termHeartbeats.resignIfFenced(heartbeat)
    }

    /** Cancels [job]; called once for each stored cancellation that this node learns of. */
    fun onCancelled(job: String) = schedulerState.onCancelled(job)

    /** Returns the fencing token for [machine], which is never lower than any token that its worker was shown. */
    fun tokenFor(machine: String): Long = workerCommands.tokenFor(machine)

    /**
     * Returns, for each zone, how many workers should send heartbeats directly to this node and how many of them are
     * late.
     */
    fun reachByZone(): List<ZoneReach> = directReachability.reachByZone()

    /** The nodes that serve the workers' sessions; null while all workers connect to the leader itself. */
    val sessionPlan: SessionPlan? get() = sessionPlanner.plan

    /** Returns the address of [machine] according to the cloud; null if the cloud has not listed the machine yet. */
    fun listedAddress(machine: String): String? = fleet.find(machine)?.listedAddress?.takeIf { it.isNotEmpty() }

    /**
     * The access gateway's authority to write during this term. Its writes have the lowest priority: they must leave at
     * least [LeaderStore.lowPriorityWriteThreshold] for changes that can't wait.
     */
    val leaseAuthority: LeaseAuthority = object : LeaseAuthority {
        override val epoch: Long get() = store.epoch

        override fun mayWrite(): Boolean = loader.isLoaded && store.availableWrites() > store.lowPriorityWriteThreshold
    }

    /** Returns the progress of the live job [id]; null until the state is loaded, or if there is no such live job. */
    fun progressOf(id: String): JobProgress? = if (loader.isLoaded) schedulerState.find(id)?.progress else null

    /** Returns the job progress that is to be sent to the other nodes now. */
    fun progressUpdates(): List<ProgressUpdate> =
        if (loader.isLoaded) progressPublisher.nextUpdates(store.epoch) else emptyList()
}

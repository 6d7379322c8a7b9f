package plankwall.core.heartbeat

import org.slf4j.LoggerFactory
import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context
import plankwall.model.ImageIndex
import plankwall.wire.ExitCause
import plankwall.wire.HeartbeatSize
import plankwall.wire.Order
import plankwall.wire.OrderOp
import plankwall.wire.TaskStage
import plankwall.wire.TaskStatus

/** Reconciles the tasks that workers report with the placements in the scheduler's state. */
internal class TaskReconciler(
    private val ctx: Context,
    private val schedulerState: SchedulerState,
    private val faultAttribution: FaultAttribution,
) {
    private val log = LoggerFactory.getLogger("heartbeat")

    /**
     * Applies the [tasks] that a heartbeat of [machine] shows, which are all that its worker has, and releases the
     * placements whose tasks it proves to be gone. Returns the orders that follow. [isOvertaken]: the worker's answer
     * to a direct command was made later but arrived first, so what the heartbeat shows may be out of date.
     */
    fun reconcile(machine: Machine, tasks: List<TaskStatus>, isOvertaken: Boolean): List<Order> {
        machine.unknownTasks = 0
        // The status that overtook this heartbeat showed these exits, and perhaps later ones.
        if (!isOvertaken) machine.exitBytes = exitBytes(tasks)
        val orders = ArrayList<Order>()
        val shownPlacements = HashSet<Placement>()
        for (task in tasks) {
            val placement = placementOf(machine, task)
            if (placement != null) shownPlacements.add(placement)
            val order = applyStatus(machine, task, placement, isOvertaken, provesLastExit = machine.hasSeenToken)
            if (order != null) orders.add(order)
        }
        releaseAbsentTasks(machine, shownPlacements)
        return orders
    }

    /**
     * Applies the [tasks] that [machine] shows in its answer to a direct command. Concludes nothing from the absence of
     * others, and gives no orders. The worker may not have received the answer to its last heartbeat yet, which may
     * start an exited attempt again.
     */
    fun applyShownTasks(machine: Machine, tasks: List<TaskStatus>) {
        machine.exitBytes = exitBytes(tasks)
        for (task in tasks) {
            applyStatus(machine, task, placementOf(machine, task), isOvertaken = false, provesLastExit = false)
        }
    }

    /** Returns the most bytes that the exited ones of the reported [tasks] take in a heartbeat. */
    private fun exitBytes(tasks: List<TaskStatus>): Int =
        HeartbeatSize.maxTaskBytes(tasks.filter { it.stage == TaskStage.EXITED })

    /** Returns the placement of the attempt that [task] reports, or null if this leader has none on [machine]. */
    private fun placementOf(machine: Machine, task: TaskStatus): Placement? =
        schedulerState.find(task.jobId)?.let { machine.placement(it, task.task) }?.takeIf { it.attempt == task.attempt }

    /**
     * Applies one reported [task] and returns the order that follows from it, or null. [placement] is that of the
     * reported attempt, null if there is none. [provesLastExit]: whether the worker had received or dropped every
     * earlier answer when it made the report, so that no attempt which the report shows as exited was started again.
     */
    private fun applyStatus(
        machine: Machine,
        task: TaskStatus,
        placement: Placement?,
        isOvertaken: Boolean,
        provesLastExit: Boolean,
    ): Order? {
        if (placement == null) {
            return if (task.stage == TaskStage.EXITED) forgetExit(task) else stopUnknownTask(machine, task, isOvertaken)
        }
        placement.isReported = true
        placement.isCommanded = true
        when {
            task.stage != TaskStage.EXITED -> updateStage(machine, placement, task.stage)
            isRestartable(placement, task) -> return restartGangTask(placement, isOvertaken)
            // This attempt may have been started again since, by an earlier leader or by the last answer.
            task.cause == ExitCause.GANG_INCOMPLETE && !provesLastExit -> Unit
            else -> onExit(placement, task.cause)
        }
        return null
    }

    /**
     * Returns a stop for a reported [task] without a placement, and counts it in [Machine.unknownTasks]. Does neither
     * after an overtaken heartbeat, which may be out of date.
     */
    private fun stopUnknownTask(machine: Machine, task: TaskStatus, isOvertaken: Boolean): Order? {
        if (isOvertaken) return null
        machine.unknownTasks++
        log.info("stop unknown task task={}/{}#{} machine={}", task.jobId, task.task, task.attempt, machine.id)
        return Order(OrderOp.STOP, task.jobId, task.task, task.attempt, 0.0)
    }

    /**
     * Returns the order to forget an exited [task] without a placement, or null while its success or the release of its
     * placement is not stored yet. The worker must keep the exit until then: a leader that finds the placement stored
     * orders the attempt to start, which has no effect only as long as the worker knows the attempt.
     */
    private fun forgetExit(task: TaskStatus): Order? {
        val job = schedulerState.find(task.jobId)
        if (job != null && job.unstoredExits[task.task] == task.attempt) return null
        if (job != null && task.cause == ExitCause.DONE) {
            if (!job.done[task.task.coerceIn(0, job.spec.tasks - 1)]) schedulerState.complete(job, task.task)
            if (!job.storedDone[task.task]) return null
        }
        return Order(OrderOp.FORGET, task.jobId, task.task, task.attempt)
    }

    private fun updateStage(machine: Machine, placement: Placement, stage: TaskStage) {
        if (placement.stage != stage) {
            log.debug("task stage changed task={} machine={} stage={}", placement.id, machine.id, stage)
            if (stage == TaskStage.RUNNING) placement.runningSince = ctx.now
            if (stage == TaskStage.RUNNING || stage == TaskStage.WAITING) {
                machine.imageCache.record(ImageIndex(placement.job.image.value), placement.job.spec.imageGb, ctx.now)
            }
        }
        placement.stage = stage
        if (stage == TaskStage.RUNNING) faultAttribution.onTaskRunning(placement)
    }

    /**
     * Whether [task] is a gang task that stopped waiting because fetching the images of the gang's other tasks took
     * longer than it may wait, while all of those tasks are still placed and thus wait or fetch. Starting the same
     * attempt here again completes the gang; ending the attempt would discard every fetch in progress.
     */
    private fun isRestartable(placement: Placement, task: TaskStatus): Boolean {
        val job = placement.job
        return task.cause == ExitCause.GANG_INCOMPLETE &&
            placement.stopping == null &&
            !placement.hasExited &&
            !placement.machine.isBeingScaledIn &&
            placement.machine.terminationNoticeAt == Machine.NEVER &&
            !job.cancelled &&
            job.placements.size == job.spec.tasks - job.doneCount &&
            job.stoppingCount == 0
    }

    /** Returns the order to forget the exit of [placement], so that the same attempt can be started again. */
    private fun restartGangTask(placement: Placement, isOvertaken: Boolean): Order? {
        // The exit is known to still stand only if no newer status has arrived. The order goes into the answer to a
        // heartbeat, since that alone is never executed late.
        if (isOvertaken) return null
        log.info("restart task: gang was not complete in time task={} machine={}", placement.id, placement.machine.id)
        placement.isReported = false
        placement.stage = null
        return Order(OrderOp.FORGET, placement.job.spec.id, placement.task, placement.attempt)
    }

    /** Handles the first report that the task of [placement] exited, and releases the placement. */
    private fun onExit(placement: Placement, cause: ExitCause?) {
        if (placement.hasExited) return
        placement.hasExited = true
        val job = placement.job
        when (cause) {
            ExitCause.DONE -> {
                faultAttribution.onTaskSucceeded(placement)
                schedulerState.complete(job, placement.task)
            }
            ExitCause.ERROR -> {
                if (placement.runningSince > 0.0) {
                    job.longestFailedRunS = maxOf(job.longestFailedRunS, ctx.now - placement.runningSince)
                }
                faultAttribution.onTaskFailed(placement)
            }
            ExitCause.INSUFFICIENT_RESOURCES, ExitCause.OTHER_ATTEMPT_PRESENT ->
                placement.machine.blockedUntil =
                    ctx.now + MACHINE_BACKOFF_S
            ExitCause.UNKNOWN -> job.backoffUntil = ctx.now + JOB_BACKOFF_S
            else -> Unit
        }
        schedulerState.release(placement, "reported ended: $cause")
    }

    /**
     * Releases the placements on [machine] that are not among the [shownPlacements] of a heartbeat, where their absence
     * proves that the tasks are gone. A worker has one heartbeat in flight at a time, so it has received or dropped
     * every earlier answer; and once it has shown this leader's token ([Machine.hasSeenToken]), no older leader's
     * answer can follow.
     *
     * The end of a session is proof without the token: the tasks of that session were killed, and no answer to one of
     * its heartbeats is accepted any more. This matters for a worker whose heartbeats arrive but that gets no answers:
     * it never shows this leader's token, and its tasks would have to wait for as long as that lasts.
     */
    private fun releaseAbsentTasks(machine: Machine, shownPlacements: Set<Placement>) {
        for (placement in machine.placements.values.toList()) {
            if (placement in shownPlacements || !placement.stored) continue
            val reason = when {
                placement.session < machine.session -> "session ${machine.session} began"
                !machine.hasSeenToken -> continue
                placement.isReported -> "gone from the heartbeats"
                placement.stopping != null -> "a newer heartbeat does not show it"
                placement.job.cancelled -> "cancelled before it started"
                machine.isBeingScaledIn -> "not started on a machine that is scaled in"
                else -> continue
            }
            schedulerState.release(placement, reason)
        }
    }

    private companion object {
        /** The time for which no task is placed on a machine that refused to start one, in seconds. */
        const val MACHINE_BACKOFF_S = 5.0

        /** The time for which no task of a job is placed after one exited for an unknown cause, in seconds. */
        const val JOB_BACKOFF_S = 2.0
    }
}

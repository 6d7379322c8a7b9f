package plankwall.core.autoscaling

import plankwall.core.failuredetector.FailureDetector
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.model.Shape
import plankwall.wire.ListedState

/**
 * Removes machines that failed, for example those that the cloud lists as failed, that are faulty, or that are silent
 * while the rest of their zone is not: see [failureOf]. The paper leaves unready machines to its scale-in (UC6). Here
 * those that hold tasks are removed as soon as their deletion frees the tasks earlier than lease expiry would.
 */
internal class FailedMachines(
    private val ctx: Context,
    private val fleet: Fleet,
    private val registry: ClusterStateRegistry,
    private val failureDetector: FailureDetector,
    private val scaleIn: ScaleIn,
    private val startedAt: Double,
    private val provablyEmptyAt: (Machine) -> Double,
) {
    /** Requests the scale-in of every machine that failed. */
    fun remove() {
        for (machine in fleet.machines.toList()) {
            if (machine.isBeingScaledIn) continue
            failureOf(machine)?.let { scaleIn.request(machine, it) }
        }
    }

    /** Returns why [machine] counts as failed, for the log, or null if it does not. */
    private fun failureOf(machine: Machine): String? = when {
        machine.listed == ListedState.FAILED -> "listed as failed"
        machine.isRegistered && isUnlisted(machine) && !fleet.isReady(machine) -> "silent and no longer listed"
        machine.faulty -> "faulty"
        isSilentAlone(machine) -> "silent while its zone is not: its deletion proves its tasks gone"
        hasOverdueCancellation(machine) -> "unreachable with a cancelled task"
        isUnreadyAndEmpty(machine) -> "unready for long"
        else -> null
    }

    /** Whether the cloud's list has not named [machine] for longer than the list may lag. */
    private fun isUnlisted(machine: Machine): Boolean =
        machine.missingSince > Machine.NEVER && ctx.now - machine.missingSince > ctx.settings.cloud.listLagS

    /**
     * Whether [machine] has tasks and is silent independently of other machines, so that the confirmation of its
     * deletion would free the tasks earlier than lease expiry. A zone or fleet in which all machines are silent is
     * partitioned and keeps working, so its machines are not deleted. The same holds if this leader has never received
     * a heartbeat from them.
     */
    private fun isSilentAlone(machine: Machine): Boolean {
        if (fleet.isReady(machine) || machine.placements.isEmpty()) return false
        if (!registry.inGoodShape || !failureDetector.silenceIsIsolated) return false
        if (!machine.isRegistered && machine.id in fleet.bootingMachines) return false
        val zone = machine.group?.zone ?: return false
        if (zone in failureDetector.partitionedZones || !isWorthDeleting(machine)) return false
        return ctx.now - reconnectingSince(machine, zone) >
            ctx.settings.workers.heartbeatIntervalS * RECONNECT_HEARTBEATS
    }

    /**
     * The moment from which [machine], in [zone], is given time to reconnect, since after a partition or a failover the
     * last worker reconnects many seconds after the first. The failover does not count for a machine that has sent a
     * heartbeat since: it had reconnected already.
     */
    private fun reconnectingSince(machine: Machine, zone: String): Double = if (machine.isRegistered) {
        failureDetector.degradedAt(zone)
    } else {
        maxOf(startedAt, failureDetector.degradedAt(zone))
    }

    /**
     * Whether the tasks on [machine] are worth its deletion. It may only hang and come back with its images, and then a
     * boot and an image fetch are lost. A replica is worth that, because every second without it counts; so is any task
     * for which lease expiry would prove nothing for longer than a lease. Other tasks wait for the lease to expire.
     */
    private fun isWorthDeleting(machine: Machine): Boolean =
        machine.placements.values.any { it.job.spec.shape == Shape.SERVICE && !it.job.cancelled } ||
            provablyEmptyAt(machine) > ctx.now + ctx.leaseExpiryBoundS

    /**
     * Whether [machine] cannot be reached and has a task whose cancellation is overdue. A cancelled task must stop in
     * time, so the machine is deleted with all tasks on it.
     */
    private fun hasOverdueCancellation(machine: Machine): Boolean = !fleet.isReady(machine) &&
        machine.placements.values.any {
            it.job.cancelled &&
                ctx.time.wallMs - it.job.cancelledMs > ctx.settings.workers.cancelS * 1000 * CANCEL_TIMEOUT_PART
        }

    /** UC6: whether [machine] has been silent for long and has no tasks. */
    private fun isUnreadyAndEmpty(machine: Machine): Boolean = machine.isRegistered &&
        ctx.now - machine.lastHeartbeatAt > ctx.tuning.unreadyS &&
        machine.placements.isEmpty()

    private companion object {
        /** The number of heartbeat intervals within which a healthy worker reconnects. */
        const val RECONNECT_HEARTBEATS = 7.0

        /** The part of the time allowed for a cancellation after which an unreachable machine is deleted. */
        const val CANCEL_TIMEOUT_PART = 0.35
    }
}

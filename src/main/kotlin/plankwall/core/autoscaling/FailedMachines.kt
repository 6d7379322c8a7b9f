package plankwall.core.autoscaling

import plankwall.core.failuredetector.FailureDetector
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.model.Shape
import plankwall.wire.ListedState

/**
 * Removes machines that failed: listed as failed, faulty, or silent while the rest of their zone is not. The paper
 * leaves unready machines to its scale-in (UC6); here those that hold tasks are removed as soon as that frees the tasks
 * earlier than the lease would.
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
    /** Scales in every machine that failed. */
    fun remove() {
        for (machine in fleet.machines.toList()) {
            if (machine.returning) continue
            failureOf(machine)?.let { scaleIn.request(machine, it) }
        }
    }

    /** Why [machine] counts as failed, or null. */
    private fun failureOf(machine: Machine): String? = when {
        machine.listed == ListedState.FAILED -> "listed as failed"
        machine.registered && isUnlisted(machine) && !fleet.isReady(machine) -> "silent and no longer listed"
        machine.faulty -> "faulty"
        isSilentAlone(machine) -> "silent while its zone is not: its deletion proves its tasks gone"
        holdsOverdueCancellation(machine) -> "unreachable with a cancelled task"
        isUnreadyAndEmpty(machine) -> "unready for long"
        else -> null
    }

    private fun isUnlisted(machine: Machine): Boolean =
        machine.missingSince > Machine.NEVER && ctx.now - machine.missingSince > ctx.settings.cloud.listLagS

    /**
     * A machine that falls silent with tasks on it, alone: an answered deletion frees the tasks sooner than the lease
     * would. Whole zones and whole fleets that fall silent are partitioned, and keep working; they are left alone, by a
     * leader that never had a heartbeat from them as by one that did.
     */
    private fun isSilentAlone(machine: Machine): Boolean {
        if (fleet.isReady(machine) || machine.placements.isEmpty()) return false
        if (!registry.inGoodShape || !failureDetector.silenceIsIsolated) return false
        if (!machine.registered && machine.id in fleet.arrivals) return false
        val zone = machine.group?.zone ?: return false
        if (zone in failureDetector.partitionedZones || !isWorthDeleting(machine)) return false
        return ctx.now - reconnectingSince(machine, zone) > ctx.settings.workers.reportS * RECONNECT_HEARTBEATS
    }

    /**
     * After a partition or a failover the last worker reconnects many seconds after the first. One that sent a
     * heartbeat since the failover had reconnected already.
     */
    private fun reconnectingSince(machine: Machine, zone: String): Double =
        if (machine.registered) failureDetector.degradedAt(zone) else maxOf(startedAt, failureDetector.degradedAt(zone))

    /**
     * It may only hang, and come back with its images: a boot and a fetch are lost with it then. For a replica every
     * second counts, and where lease expiry would prove nothing for longer than a lease, for everything; other tasks
     * wait for the lease.
     */
    private fun isWorthDeleting(machine: Machine): Boolean =
        machine.placements.values.any { it.job.spec.shape == Shape.SERVICE && !it.job.cancelled } ||
            provablyEmptyAt(machine) > ctx.now + ctx.surelyOverS

    /** A cancelled task must be gone in time; a machine that can't be reached is deleted with all that is on it. */
    private fun holdsOverdueCancellation(machine: Machine): Boolean = !fleet.isReady(machine) &&
        machine.placements.values.any {
            it.job.cancelled &&
                ctx.time.wallMs - it.job.cancelledMs > ctx.settings.workers.cancelS * 1000 * CANCEL_TIMEOUT_PART
        }

    /** UC6. */
    private fun isUnreadyAndEmpty(machine: Machine): Boolean = machine.registered &&
        ctx.now - machine.lastHeard > ctx.tuning.unreadyS &&
        machine.placements.isEmpty()

    private companion object {
        /** Heartbeats within which a sound worker reconnects. */
        const val RECONNECT_HEARTBEATS = 7.0

        /** The part of the time for a cancellation after which the machine is deleted. */
        const val CANCEL_TIMEOUT_PART = 0.35
    }
}

package plankwall.core.autoscaling

import org.slf4j.LoggerFactory
import plankwall.core.failuredetector.FailureDetector
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.state.StopCause
import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.model.GroupKey
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.ListedState

/** Which machines go back, and how: stored as returning first, emptied if there is time, deleted, forgotten. */
class ScaleIn(
    private val ctx: Context,
    private val store: LeaderStore,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
    private val registry: ClusterStateRegistry,
    private val failureDetector: FailureDetector,
    private val memory: AutoscalerState,
    private val startedAt: Double,
    private val provablyEmptyAt: (Machine) -> Double,
    private val rentedAt: (GroupKey?) -> Double,
) {
    private val log = LoggerFactory.getLogger("rental")
    private var deleting = false

    fun returnFailed() {
        for (m in fleet.machines.toList()) {
            if (m.returning) continue
            val lost = m.missingSince > Machine.NEVER && ctx.now - m.missingSince > ctx.settings.cloud.listLagS
            when {
                m.listed == ListedState.FAILED -> giveBack(m, "listed as failed")
                m.registered && lost && !fleet.isReady(m) -> giveBack(m, "silent and no longer listed")
                m.faulty -> giveBack(m, "faulty")
                silentAlone(m) -> giveBack(m, "silent while its zone is not: its deletion proves its tasks gone")
                cancelledTooLong(m) -> giveBack(m, "unreachable with a withdrawn task")
                m.registered && ctx.now - m.lastHeard > ctx.tuning.unreadyS && m.placements.isEmpty() -> giveBack(
                    m,
                    "unready for long",
                )
            }
        }
    }

    /**
     * A machine that falls silent with work on it, alone: an answered deletion frees the work sooner than the lease
     * would. Whole zones and whole fleets that fall silent are cut off, and keep working; they are left alone, by a
     * leader that has never heard them as by one that did: a new one once deleted 63 sound machines in a zone cut off
     * before its time.
     */
    private fun silentAlone(m: Machine): Boolean {
        if (fleet.isReady(m) ||
            m.placements.isEmpty() ||
            !registry.inGoodShape ||
            !failureDetector.silenceIsIsolated
        ) {
            return false
        }
        if (!m.registered && m.id in fleet.arrivals) return false
        // After a cut or a take-over the last worker finds its way back many seconds after the first. One that has been
        // heard since the take-over was back already.
        val zone = m.group?.zone ?: return false
        if (zone in failureDetector.partitionedZones || !isWorthDeleting(m)) return false
        val from = if (m.registered) {
            failureDetector.degradedAt(
                zone,
            )
        } else {
            maxOf(startedAt, failureDetector.degradedAt(zone))
        }
        return ctx.now - from > ctx.settings.workers.reportS * WAY_BACK_REPORTS
    }

    /**
     * It may as well hang, and come back with its images: a boot and a fetch are lost with it then. For a replica every
     * second counts, and where the lease would prove nothing for longer than a lease, for everything; other work waits
     * for the lease.
     */
    private fun isWorthDeleting(m: Machine): Boolean =
        m.placements.values.any { it.job.spec.shape == Shape.SERVICE && !it.job.cancelled } ||
            provablyEmptyAt(m) > ctx.now + ctx.surelyOverS

    /** A withdrawn task must be gone in time; a machine that can't be told is deleted with all that is on it. */
    private fun cancelledTooLong(m: Machine): Boolean = !fleet.isReady(m) &&
        m.placements.values.any {
            it.job.cancelled &&
                ctx.time.wallMs - it.job.cancelledMs > ctx.settings.workers.cancelS * 1000 * CANCELLED_TIMEOUT_SHARE
        }

    fun returnUnneeded(usable: List<Machine>, growth: DemandForecast) {
        fun free(spot: Boolean) =
            usable.filter { it.group?.spot == spot }.fold(Resources.NONE) { sum, m -> sum + m.free }
        var left = free(spot = false) - growth.other - (growth.spot - free(spot = true)).atLeastNothing()
        val wantedImages = schedulerState.live.filter { it.ready && !it.cancelled }.map { it.image.value }.toSet()
        for (m in fleet.machines) {
            // Room kept for a gang that is not complete yet, or made for a task under way, is needed.
            val idle = m.registered &&
                fleet.isReady(m) &&
                m.placements.isEmpty() &&
                m.unknownTasks == 0 &&
                !m.returning &&
                m.held === Resources.NONE &&
                m.reservations.isEmpty()
            if (!idle) {
                m.unneededSince = Machine.NEVER
            } else if (m.unneededSince ==
                Machine.NEVER
            ) {
                m.unneededSince = ctx.now
            }
        }
        fleet.machines
            .filter { m ->
                val boot = m.type?.bootS ?: DEFAULT_BOOT_S
                m.unneededSince > Machine.NEVER &&
                    ctx.now - m.unneededSince >=
                    orElse(
                        ctx.tuning.unneededS,
                        if (m.surplus) boot * SURPLUS_PATIENCE else restoreS(m, wantedImages),
                    ) &&
                    // What is rented in one group says nothing of another, whose machines the waiting tasks may not
                    // use.
                    ctx.now - rentedAt(m.group) >= orElse(ctx.tuning.afterRentalS, boot)
            }
            .take(maxOf(MIN_RETURNS_PER_ROUND, fleet.machines.size / 50))
            .forEach {
                // Spot machines are not for any work, so they are not counted on for what may come.
                val room = it.type?.capacity ?: Resources.NONE
                if (it.group?.spot == false) {
                    if (!room.fitsIn(left)) return@forEach
                    left -= room
                }
                giveBack(it, "unneeded for ${(ctx.now - it.unneededSince).toInt()} s")
            }
    }

    /** What it takes to get a machine back to where this one is: a boot, and the fetch of an image that is in use. */
    private fun restoreS(m: Machine, wanted: Set<Int>): Double {
        val type = m.type ?: return DEFAULT_BOOT_S
        val gb = m.images.filterKeys { it in wanted }.values.maxOfOrNull { it.gb } ?: 0.0
        return type.bootS + type.fetchS(gb)
    }

    private fun orElse(set: Double, derived: Double) = if (set > 0) set else derived

    fun giveBack(m: Machine, why: String) {
        if (m.returning) return
        m.returning = true
        memory.dirty = true
        fleet.arrivals.remove(m.id)
        log.info("return {} ({}): {}; {} tasks on it", m.id, m.group, why, m.placements.size)
        m.placements.values.toList().forEach { schedulerState.stopWithSave(it, StopCause.DRAINED) }
    }

    fun send() {
        val due = fleet.machines.filter { m ->
            m.returning &&
                m.returnStored &&
                !m.deleting &&
                (
                    m.placements.isEmpty() ||
                        !fleet.isReady(m) ||
                        m.placements.values.all { ctx.now - it.stopSince > DRAIN_S }
                    )
        }.take(MAX_PER_DELETE)
        // One call at a time, so that those due meanwhile go together: the cloud takes few calls.
        if (due.isEmpty() || deleting) return
        deleting = true
        due.forEach { it.deleting = true }
        ctx.out.cloud(CloudOp.Delete(due.map { it.id })) { result ->
            deleting = false
            if (!store.active) return@cloud
            due.forEach { it.deleting = false }
            if (result == CloudResult.Deleted) due.forEach { deleted(it) }
        }
    }

    private fun deleted(m: Machine) {
        m.placements.values.toList().forEach { schedulerState.release(it, "${m.id} deleted") }
        fleet.remove(m)
        fleet.arrivals.remove(m.id)
        memory.dirty = true
        log.info("machine {} gone", m.id)
    }

    private companion object {
        const val WAY_BACK_REPORTS = 7.0
        const val DEFAULT_BOOT_S = 60.0
        const val DRAIN_S = 15.0

        /** The others have room for all that should come within a boot: only the unexpected would need this one. */
        const val SURPLUS_PATIENCE = 0.25
        const val MAX_PER_DELETE = 100
        const val MIN_RETURNS_PER_ROUND = 4
        const val CANCELLED_TIMEOUT_SHARE = 0.35
    }
}

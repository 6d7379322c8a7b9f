package plankwall.core.autoscaling

import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context
import plankwall.model.GroupKey
import plankwall.model.Resources

/**
 * Steps 8 and 9 of the paper's loop: records since when machines have been unneeded, and removes those that have been
 * unneeded for long enough.
 *
 * @param lastScaleOutAt returns when machines of a group were last requested, in seconds of the monotonic clock
 */
internal class UnneededMachines(
    private val ctx: Context,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
    private val scaleIn: ScaleIn,
    private val lastScaleOutAt: (GroupKey?) -> Double,
) {
    /** Clears the times since which machines have been unneeded. Step 2 of the paper does so when it halts the loop. */
    fun clear() = fleet.machines.forEach { it.unneededSince = Machine.NEVER }

    /** Step 8: records since when each machine has been unneeded. */
    fun mark() {
        for (machine in fleet.machines) {
            if (!isIdle(machine)) {
                machine.unneededSince = Machine.NEVER
            } else if (machine.unneededSince == Machine.NEVER) {
                machine.unneededSince = ctx.now
            }
        }
    }

    /**
     * Whether [machine] is ready and nothing uses or needs it. Capacity that is held for an incomplete gang or reserved
     * after a preemption is needed.
     */
    private fun isIdle(machine: Machine): Boolean = machine.isRegistered &&
        fleet.isReady(machine) &&
        machine.placements.isEmpty() &&
        machine.unknownTasks == 0 &&
        !machine.isBeingScaledIn &&
        machine.heldCapacity === Resources.NONE &&
        machine.reservations.isEmpty()

    /**
     * Step 9: removes machines that have been unneeded for long enough, unless their group was scaled out recently.
     * Ordinary machines are removed only while the free capacity of the others covers [forecast]. Spot machines are
     * removed regardless: not all work may use them, so they are not counted on.
     */
    fun remove(usable: List<Machine>, forecast: DemandForecast) {
        var spareCapacity = computeSpareCapacity(usable, forecast)
        val neededImages = schedulerState.liveJobs.filter { it.ready && !it.cancelled }.map { it.image.value }.toSet()
        fleet.machines
            .filter { isRemovable(it, neededImages) }
            .take(maxOf(MIN_REMOVALS_PER_ITERATION, fleet.machines.size / FLEET_PER_REMOVAL))
            .forEach { machine ->
                val capacity = machine.type?.capacity ?: Resources.NONE
                if (machine.group?.spot == false) {
                    if (!capacity.fitsIn(spareCapacity)) return@forEach
                    spareCapacity -= capacity
                }
                scaleIn.request(machine, "unneeded for ${(ctx.now - machine.unneededSince).toInt()} s")
            }
    }

    /**
     * The free capacity of ordinary machines beyond [forecast]. Forecast demand that may use spot machines takes free
     * spot capacity first.
     */
    private fun computeSpareCapacity(usable: List<Machine>, forecast: DemandForecast): Resources {
        fun freeCapacity(spot: Boolean) =
            usable.filter { it.group?.spot == spot }.fold(Resources.NONE) { sum, machine -> sum + machine.free }
        return freeCapacity(spot = false) - forecast.other -
            (forecast.spot - freeCapacity(spot = true)).coerceAtLeastZero()
    }

    private fun isRemovable(machine: Machine, neededImages: Set<Int>): Boolean {
        if (machine.unneededSince <= Machine.NEVER) return false
        val bootS = machine.type?.bootS ?: DEFAULT_BOOT_S
        val derivedWaitS = if (machine.surplus) bootS * SURPLUS_WAIT_BOOTS else replacementTimeS(machine, neededImages)
        // Only scale-outs of the machine's own group count: tasks for which another group was expanded may not be
        // allowed to use this machine.
        return ctx.now - machine.unneededSince >= configuredOr(ctx.tuning.unneededS, derivedWaitS) &&
            ctx.now - lastScaleOutAt(machine.group) >= configuredOr(ctx.tuning.afterRentalS, bootS)
    }

    /**
     * Seconds until a replacement for [machine] would be in the same state: its boot, and the fetch of the largest
     * cached image that live jobs use.
     */
    private fun replacementTimeS(machine: Machine, neededImages: Set<Int>): Double {
        val type = machine.type ?: return DEFAULT_BOOT_S
        val imageGb = machine.imageCache.images.filterKeys { it in neededImages }.values.maxOfOrNull { it.gb } ?: 0.0
        return type.bootS + type.fetchS(imageGb)
    }

    private fun configuredOr(configuredS: Double, derivedS: Double) = if (configuredS > 0) configuredS else derivedS

    private companion object {
        /** Seconds to boot a machine whose type is unknown. */
        const val DEFAULT_BOOT_S = 60.0

        /** The time for which a surplus machine must be unneeded before it is removed, in boot times of its type. */
        const val SURPLUS_WAIT_BOOTS = 0.25

        /** The number of machines that may be removed in one iteration however small the fleet is. */
        const val MIN_REMOVALS_PER_ITERATION = 4

        /** The inverse of the share of the fleet that may be removed in one iteration. */
        const val FLEET_PER_REMOVAL = 50
    }
}

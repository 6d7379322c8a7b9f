package plankwall.core.autoscaling

import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context
import plankwall.model.GroupKey
import plankwall.model.Resources

/** Steps 8 and 9 of the paper's loop: which machines have been unneeded for how long, and which of them are removed. */
internal class UnneededMachines(
    private val ctx: Context,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
    private val scaleIn: ScaleIn,
    private val lastScaleOutAt: (GroupKey?) -> Double,
) {
    /** Forgets how long machines have been unneeded (the paper's step 2, when operations halt). */
    fun clear() = fleet.machines.forEach { it.unneededSince = Machine.NEVER }

    /** Step 8: notes since when each machine has been unneeded. */
    fun mark() {
        for (machine in fleet.machines) {
            if (!isIdle(machine)) {
                machine.unneededSince = Machine.NEVER
            } else if (machine.unneededSince == Machine.NEVER) {
                machine.unneededSince = ctx.now
            }
        }
    }

    /** Room kept for a gang that is not complete yet, or made by preemption, is needed. */
    private fun isIdle(machine: Machine): Boolean = machine.registered &&
        fleet.isReady(machine) &&
        machine.placements.isEmpty() &&
        machine.unknownTasks == 0 &&
        !machine.returning &&
        machine.held === Resources.NONE &&
        machine.reservations.isEmpty()

    /**
     * Step 9: removes machines that have been unneeded for long enough, unless their group was scaled out lately.
     * Ordinary machines go only as far as the free room of the others covers [forecast]; spot machines are not for any
     * work, so they are not counted on.
     */
    fun remove(usable: List<Machine>, forecast: DemandForecast) {
        var spare = spareCapacity(usable, forecast)
        val neededImages = schedulerState.live.filter { it.ready && !it.cancelled }.map { it.image.value }.toSet()
        fleet.machines
            .filter { isRemovable(it, neededImages) }
            .take(maxOf(MIN_REMOVALS_PER_ITERATION, fleet.machines.size / FLEET_PER_REMOVAL))
            .forEach { machine ->
                val capacity = machine.type?.capacity ?: Resources.NONE
                if (machine.group?.spot == false) {
                    if (!capacity.fitsIn(spare)) return@forEach
                    spare -= capacity
                }
                scaleIn.request(machine, "unneeded for ${(ctx.now - machine.unneededSince).toInt()} s")
            }
    }

    /** Free room of ordinary machines beyond what [forecast] asks for. */
    private fun spareCapacity(usable: List<Machine>, forecast: DemandForecast): Resources {
        fun free(spot: Boolean) =
            usable.filter { it.group?.spot == spot }.fold(Resources.NONE) { sum, machine -> sum + machine.free }
        return free(spot = false) - forecast.other - (forecast.spot - free(spot = true)).atLeastNothing()
    }

    private fun isRemovable(machine: Machine, neededImages: Set<Int>): Boolean {
        if (machine.unneededSince <= Machine.NEVER) return false
        val bootS = machine.type?.bootS ?: DEFAULT_BOOT_S
        val unneededS = if (machine.surplus) bootS * SURPLUS_WAIT_BOOTS else restoreS(machine, neededImages)
        // A scale-out of one group says nothing of another, whose machines the waiting tasks may not use.
        return ctx.now - machine.unneededSince >= configuredOr(ctx.tuning.unneededS, unneededS) &&
            ctx.now - lastScaleOutAt(machine.group) >= configuredOr(ctx.tuning.afterRentalS, bootS)
    }

    /** Seconds to get a machine back to this one's state: a boot, and the fetch of an image that is in use. */
    private fun restoreS(machine: Machine, neededImages: Set<Int>): Double {
        val type = machine.type ?: return DEFAULT_BOOT_S
        val imageGb = machine.images.filterKeys { it in neededImages }.values.maxOfOrNull { it.gb } ?: 0.0
        return type.bootS + type.fetchS(imageGb)
    }

    private fun configuredOr(configuredS: Double, derivedS: Double) = if (configuredS > 0) configuredS else derivedS

    private companion object {
        const val DEFAULT_BOOT_S = 60.0

        /** In boots of the machine's type. */
        const val SURPLUS_WAIT_BOOTS = 0.25
        const val MIN_REMOVALS_PER_ITERATION = 4

        /** One of so many machines may go in one iteration. */
        const val FLEET_PER_REMOVAL = 50
    }
}

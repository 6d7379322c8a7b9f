package plankwall.core.heartbeat

import plankwall.core.election.Leadership
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context

/** Releases the tasks of workers that send no heartbeats. */
internal class LeaseExpiry(
    private val ctx: Context,
    private val leadership: Leadership,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
) {
    /**
     * Releases the tasks of workers whose lease has surely expired, and those never commanded of workers that missed a
     * heartbeat.
     */
    fun releaseExpired() {
        for (machine in fleet.machines) {
            if (machine.placements.isEmpty()) continue
            if (ctx.now >= fleet.provablyEmptyAt(machine, leadership.olderLeadersSilentAt)) {
                releaseAll(machine)
            } else if (machine.registered && ctx.now - machine.lastHeard > ctx.settings.workers.missedS) {
                releaseUncommanded(machine)
            }
        }
    }

    private fun releaseAll(machine: Machine) {
        // Each is looked at when its turn comes: releasing one task of a gang may stop the others.
        for (placement in machine.placements.values.toList()) {
            if (!placement.stored && !placement.commanded) continue
            schedulerState.release(placement, "lease of ${machine.id} expired")
        }
    }

    /**
     * A task whose start was in no answer can't have started, so it may be placed elsewhere without further proof. All
     * that is known of the machine may be one old heartbeat that was held back until this node led, of a machine long
     * gone; waiting for its lease to expire would be in vain.
     */
    private fun releaseUncommanded(machine: Machine) {
        for (placement in machine.placements.values.filter { it.stored && !it.commanded }) {
            machine.awaitingHeartbeat = true
            schedulerState.release(placement, "never commanded, and ${machine.id} missed a heartbeat")
        }
    }
}

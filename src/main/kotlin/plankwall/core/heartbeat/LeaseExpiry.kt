package plankwall.core.heartbeat

import plankwall.core.election.Leadership
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context

/** Releases the tasks of workers whose heartbeats stopped. */
internal class LeaseExpiry(
    private val ctx: Context,
    private val leadership: Leadership,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
) {
    /**
     * Releases the tasks of workers whose lease has surely expired, and of workers that missed a heartbeat those whose
     * start was never sent.
     */
    fun releaseExpired() {
        for (machine in fleet.machines) {
            if (machine.placements.isEmpty()) continue
            if (ctx.now >= fleet.provablyEmptyAt(machine, leadership.olderLeadersStoppedAt)) {
                releaseAllTasks(machine)
            } else if (machine.isRegistered &&
                ctx.now - machine.lastHeartbeatAt > ctx.settings.workers.missedHeartbeatS
            ) {
                releaseUncommandedTasks(machine)
            }
        }
    }

    private fun releaseAllTasks(machine: Machine) {
        // Loops over a copy and checks each placement in its turn: releasing one task of a gang stops the others, which
        // releases those that were never commanded.
        for (placement in machine.placements.values.toList()) {
            if (!placement.stored && !placement.isCommanded) continue
            schedulerState.release(placement, "lease of ${machine.id} expired")
        }
    }

    /**
     * Releases the tasks on [machine] whose start was in no answer: they can't have started, so they may be placed
     * elsewhere without further proof. The machine may be long gone, and all that is known of it may be one old
     * heartbeat that the network held back until this node led; waiting for its lease to expire would gain nothing.
     */
    private fun releaseUncommandedTasks(machine: Machine) {
        for (placement in machine.placements.values.filter { it.stored && !it.isCommanded }) {
            machine.awaitingHeartbeat = true
            schedulerState.release(placement, "never commanded, and ${machine.id} missed a heartbeat")
        }
    }
}

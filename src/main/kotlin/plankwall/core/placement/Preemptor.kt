package plankwall.core.placement

import org.slf4j.LoggerFactory
import plankwall.core.queue.PendingQueue
import plankwall.core.state.EquivalenceClass
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.state.SchedulerState
import plankwall.core.state.StopCause
import plankwall.core.state.ZoneConstraint
import plankwall.core.statemachine.Context
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.TeamIndex

/**
 * Makes room for waiting tasks by preempting tasks of lower standing: for each the machine on which the least work is
 * lost. The room is reserved until the preempted tasks have ended.
 */
class Preemptor(
    private val ctx: Context,
    private val schedulerState: SchedulerState,
    private val capacity: FreeCapacity,
    private val pendingQueue: PendingQueue,
) {
    private val log = LoggerFactory.getLogger("placement")

    /** Kinds of task for which this pass found no machine. */
    private val unsatisfiable = HashSet<EquivalenceClass>()
    private var searchesLeft = 0

    /** Preempting [victims] makes room for one task on [machine]. */
    private class Preemption(val machine: Machine, val victims: List<Placement>)

    /** Begins a pass, with its own bound on searches. */
    fun beginPass() {
        unsatisfiable.clear()
        searchesLeft = MAX_SEARCHES_PER_PASS
    }

    /** Preempts tasks on [usable] machines for the waiting tasks of [job], as far as it may. */
    fun makeRoom(job: Job, usable: List<Machine>) {
        if (job.priority <= Priority.LOW && !job.guaranteed) return
        if (job.isGang && job.placements.isNotEmpty()) return
        if (job.isGangOfSeveral) makeRoomForGang(job, usable) else makeRoomForTasks(job, usable)
    }

    private fun makeRoomForTasks(job: Job, usable: List<Machine>) {
        val zones = zonesWithReservations(job, usable)
        while (job.waiting.size > capacity.reservedTasks(job)) {
            if (!schedulerState.withinLimit(job.team, job.spec.need * (1 + capacity.reservedTasks(job)))) return
            val preemption = findPreemption(job, usable, zones, emptySet()) ?: return
            preempt(job, preemption)
            preemption.machine.group?.let { zones.addPlanned(it.zone) }
        }
    }

    /** For a gang room is made for all that is missing, in one zone if it must be, or for nothing. */
    private fun makeRoomForGang(job: Job, usable: List<Machine>) {
        if (ctx.now - job.gatherSince < GANG_WAIT_S || capacity.reservedTasks(job) > 0) return
        if (!schedulerState.withinLimit(job.team, job.spec.need * job.waiting.size)) return
        val choices = if (!job.spec.oneZone) {
            listOf(usable)
        } else {
            usable.groupBy { it.group?.zone }
                .filterKeys { job.gatherZone == null || it == job.gatherZone }
                .values
        }
        val preemptions = choices.firstNotNullOfOrNull { preemptionsForGang(job, it) } ?: return
        preemptions.forEach { preempt(job, it) }
    }

    private fun preemptionsForGang(job: Job, machines: List<Machine>): List<Preemption>? {
        val zones = ZoneConstraint(job)
        val taken = HashSet<Machine>()
        val preemptions = ArrayList<Preemption>()
        // Room that is open needs no victims; what a pass keeps for a gang is its own.
        val open = machines.filter { capacity.isEligible(job, it, zones) && job.spec.need.fitsIn(it.free) }
        taken.addAll(open)
        repeat(job.waiting.size - open.sumOf { it.free.holds(job.spec.need) }) {
            val preemption = findPreemption(job, machines, zones, taken) ?: return null
            preemptions.add(preemption)
            taken.add(preemption.machine)
        }
        return preemptions
    }

    private fun zonesWithReservations(job: Job, usable: List<Machine>): ZoneConstraint {
        val zones = ZoneConstraint(job)
        if (capacity.reservedTasks(job) == 0 || !zones.isBinding) return zones
        for (machine in usable) {
            val zone = machine.group?.zone ?: continue
            machine.reservations.filter { it.job === job }.forEach { _ -> zones.addPlanned(zone) }
        }
        return zones
    }

    private fun preempt(job: Job, preemption: Preemption) {
        capacity.reserve(job, preemption.machine, ctx.now + RESERVATION_S)
        log.info(
            "tasks preempted job={} machine={} victims={}",
            job.spec.id,
            preemption.machine.id,
            preemption.victims.map { it.id },
        )
        for (victim in preemption.victims) {
            pendingQueue.onPreempted(victim.job, if (victim.job.isGang) victim.job.placements.size else 1)
            schedulerState.stopWithSave(victim, StopCause.PREEMPTED)
        }
    }

    /** The machine, of those not [taken], on which room for a task of [job] costs the least work. */
    private fun findPreemption(
        job: Job,
        machines: List<Machine>,
        zones: ZoneConstraint,
        taken: Set<Machine>,
    ): Preemption? {
        if (isFutile(job)) return null
        searchesLeft--
        var best: Preemption? = null
        var lowestS = Double.MAX_VALUE
        for (machine in machines) {
            if (machine in taken || machine.placements.isEmpty() || !capacity.isEligible(job, machine, zones)) continue
            val waitS = machine.fetchWait(job.image, job.spec.imageGb, ctx.now)
            if (waitS >= lowestS) continue
            val victims = victimsOn(machine, job) ?: continue
            val costS = victims.sumOf { lostWorkS(it) } + waitS
            if (costS < lowestS) {
                lowestS = costS
                best = Preemption(machine, victims)
            }
        }
        if (best == null && isTrueForAllAlike(job, zones, taken)) unsatisfiable.add(job.equivalenceClass)
        return best
    }

    private fun isFutile(job: Job): Boolean = searchesLeft <= 0 || job.equivalenceClass in unsatisfiable

    /** Whether what was found for [job] holds for all jobs of its equivalence class. */
    private fun isTrueForAllAlike(job: Job, zones: ZoneConstraint, taken: Set<Machine>): Boolean =
        !zones.isBinding && taken.isEmpty() && !job.guaranteed

    /** Seconds of work that stopping [victim] would lose; a gang goes with all its tasks. */
    private fun lostWorkS(victim: Placement): Double =
        lostWorkOfTaskS(victim) * if (victim.job.isGang) victim.job.placements.size else 1

    /** The work since the last checkpoint, and the cost of starting again. */
    private fun lostWorkOfTaskS(victim: Placement): Double {
        if (victim.runningSince <= 0.0) return RESTART_COST_S
        val ranS = ctx.now - victim.runningSince
        val spec = victim.job.spec
        return RESTART_COST_S + if (spec.checkpointS > 0) minOf(ranS, spec.saveS) else ranS
    }

    /** The tasks to be stopped on [machine] for one of [job], none if room is coming already; null if that can't do. */
    private fun victimsOn(machine: Machine, job: Job): List<Placement>? {
        var free = if (job.isGang) machine.free else machine.free - machine.held
        var candidates: ArrayList<Placement>? = null
        for (placement in machine.placements.values) {
            if (placement.stopping != null) {
                free += placement.job.spec.need
            } else if (!placement.ended && mayPreempt(job, placement.job)) {
                candidates = (candidates ?: ArrayList()).apply { add(placement) }
            }
        }
        machine.reservations.forEach { free -= it.job.spec.need }
        if (candidates == null) return if (job.spec.need.fitsIn(free)) emptyList() else null
        candidates.sortWith(
            compareBy<Placement> { it.job.priority }
                .thenByDescending { it.job.bestEffort }
                .thenBy { lostWorkS(it) },
        )
        return takeUntilFits(job.spec.need, free, candidates)
    }

    /** The first of [candidates] that make room for [need] beside what is [free]; null if all of them do not. */
    private fun takeUntilFits(need: Resources, free: Resources, candidates: List<Placement>): List<Placement>? {
        var available = free
        val victims = ArrayList<Placement>()
        for (placement in candidates) {
            if (need.fitsIn(available)) break
            victims.add(placement)
            available += placement.job.spec.need
        }
        return if (need.fitsIn(available)) victims else null
    }

    private fun mayPreempt(job: Job, victim: Job): Boolean {
        // A gang of several would be lost as a whole; it is left to those who have no other way.
        if (victim.isGangOfSeveral && job.priority < Priority.PRODUCTION) return false
        if (victim.priority < job.priority) {
            return job.priority == Priority.PRODUCTION || job.guaranteed || !pendingQueue.isProtected(victim)
        }
        // A guarantee is owed, but not at the cost of higher priority: two jobs would preempt each other in turns.
        return job.guaranteed &&
            !victim.guaranteed &&
            victim.team != job.team &&
            victim.priority == job.priority &&
            isBeyondGuarantee(victim.team)
    }

    /** Whatever a team without a guarantee runs is beyond it. */
    private fun isBeyondGuarantee(teamIndex: TeamIndex): Boolean {
        val team = ctx.settings.teams[teamIndex.value]
        if (!team.hasGuarantee) return true
        val used = schedulerState.used(teamIndex)
        return (team.gpus > 0 && used.gpus > team.gpus) || (team.cpus > 0 && used.cpus > team.cpus)
    }

    private companion object {
        const val MAX_SEARCHES_PER_PASS = 16
        const val GANG_WAIT_S = 2.0
        const val RESTART_COST_S = 5.0
        const val RESERVATION_S = 12.0
    }
}

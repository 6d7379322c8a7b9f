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
 * Frees capacity for waiting tasks by preempting tasks of other jobs: of lower priority, or of teams that exceed their
 * guarantees. For each waiting task it chooses the machine on which the least work is lost. The freed capacity is
 * reserved until the preempted tasks have ended.
 */
class Preemptor(
    private val ctx: Context,
    private val schedulerState: SchedulerState,
    private val capacity: FreeCapacity,
    private val pendingQueue: PendingQueue,
) {
    private val log = LoggerFactory.getLogger("placement")

    /** Equivalence classes of tasks for which this pass found no machine with enough victims. */
    private val unsatisfiable = HashSet<EquivalenceClass>()

    /** The number of further searches over all machines that this pass may make. */
    private var searchesLeft = 0

    /**
     * Frees capacity for one task on [machine] if the [victims] are stopped; none, if enough is being freed already.
     */
    private class Preemption(val machine: Machine, val victims: List<Placement>)

    /** Begins a pass, with a new limit on the number of searches. */
    fun beginPass() {
        unsatisfiable.clear()
        searchesLeft = MAX_SEARCHES_PER_PASS
    }

    /**
     * Preempts tasks on the [usable] machines for the waiting tasks of [job], as far as it may: jobs of low priority
     * that no guarantee covers never preempt.
     */
    fun preemptFor(job: Job, usable: List<Machine>) {
        if (job.priority <= Priority.LOW && !job.guaranteed) return
        if (job.isGang && job.placements.isNotEmpty()) return
        if (job.isGangOfSeveral) preemptForGang(job, usable) else preemptForTasks(job, usable)
    }

    /** Preempts for each waiting task that has no reservation yet, within the team's quota. */
    private fun preemptForTasks(job: Job, usable: List<Machine>) {
        val zones = zonesIncludingReservations(job, usable)
        while (job.waiting.size > capacity.reservedTasks(job)) {
            if (!schedulerState.isWithinQuota(job.team, job.spec.need * (1 + capacity.reservedTasks(job)))) return
            val preemption = findPreemption(job, usable, zones, emptySet()) ?: return
            preempt(job, preemption)
            preemption.machine.group?.let { zones.addPlanned(it.zone) }
        }
    }

    /**
     * Preempts for all missing tasks of the gang [job] or for none, in one zone if the gang must run in one. A gang
     * gathers free capacity for a while before it preempts.
     */
    private fun preemptForGang(job: Job, usable: List<Machine>) {
        if (ctx.now - job.heldSince < GANG_GATHERING_TIME_S || capacity.reservedTasks(job) > 0) return
        if (!schedulerState.isWithinQuota(job.team, job.spec.need * job.waiting.size)) return
        val machineSets = if (!job.spec.oneZone) {
            listOf(usable)
        } else {
            usable.groupBy { it.group?.zone }
                .filterKeys { job.heldZone == null || it == job.heldZone }
                .values
        }
        val preemptions = machineSets.firstNotNullOfOrNull { findPreemptionsForGang(job, it) } ?: return
        preemptions.forEach { preempt(job, it) }
    }

    /**
     * Returns the preemptions that make all tasks of the gang [job] fit on [machines] together with what is free there;
     * null if preemption does not suffice.
     */
    private fun findPreemptionsForGang(job: Job, machines: List<Machine>): List<Preemption>? {
        val zones = ZoneConstraint(job)
        val chosen = HashSet<Machine>()
        val preemptions = ArrayList<Preemption>()
        // Machines with free capacity need no victims. What this pass holds counts as free, as it is held for this
        // gang.
        val withFreeCapacity = machines.filter { capacity.isEligible(job, it, zones) && job.spec.need.fitsIn(it.free) }
        chosen.addAll(withFreeCapacity)
        repeat(job.waiting.size - withFreeCapacity.sumOf { capacity.countFittingWithHeld(job, it) }) {
            val preemption = findPreemption(job, machines, zones, chosen) ?: return null
            preemptions.add(preemption)
            chosen.add(preemption.machine)
        }
        return preemptions
    }

    /** Returns the zone constraint of [job], with the tasks counted for which capacity is reserved. */
    private fun zonesIncludingReservations(job: Job, usable: List<Machine>): ZoneConstraint {
        val zones = ZoneConstraint(job)
        if (capacity.reservedTasks(job) == 0 || !zones.isBinding) return zones
        for (machine in usable) {
            val zone = machine.group?.zone ?: continue
            machine.reservations.filter { it.job === job }.forEach { _ -> zones.addPlanned(zone) }
        }
        return zones
    }

    /** Reserves for [job] the capacity that [preemption] frees, and stops the victims with time for a checkpoint. */
    private fun preempt(job: Job, preemption: Preemption) {
        capacity.reserve(job, preemption.machine, ctx.now + RESERVATION_TIMEOUT_S)
        log.info(
            "tasks preempted job={} machine={} victims={}",
            job.spec.id,
            preemption.machine.id,
            preemption.victims.map { it.id },
        )
        for (victim in preemption.victims) {
            pendingQueue.onPreempted(victim.job, if (victim.job.isGang) victim.job.placements.size else 1)
            schedulerState.stopWithCheckpoint(victim, StopCause.PREEMPTED)
        }
    }

    /**
     * Returns the preemption for one task of [job] that loses the least work, on one of [machines] that is not [chosen]
     * yet; null if there is none or this pass has no searches left.
     */
    private fun findPreemption(
        job: Job,
        machines: List<Machine>,
        zones: ZoneConstraint,
        chosen: Set<Machine>,
    ): Preemption? {
        if (isSearchFutile(job)) return null
        searchesLeft--
        var cheapest: Preemption? = null
        var lowestCostS = Double.MAX_VALUE
        for (machine in machines) {
            if (machine in chosen || machine.placements.isEmpty() || !capacity.isEligible(job, machine, zones)) continue
            val fetchWaitS = machine.imageCache.fetchWaitS(job.image, job.spec.imageGb, ctx.now)
            if (fetchWaitS >= lowestCostS) continue
            val victims = selectVictims(machine, job) ?: continue
            val costS = victims.sumOf { lostWorkS(it) } + fetchWaitS
            if (costS < lowestCostS) {
                lowestCostS = costS
                cheapest = Preemption(machine, victims)
            }
        }
        if (cheapest == null && holdsForEquivalenceClass(job, zones, chosen)) unsatisfiable.add(job.equivalenceClass)
        return cheapest
    }

    /** Whether no search is left in this pass, or one for the same equivalence class found nothing. */
    private fun isSearchFutile(job: Job): Boolean = searchesLeft <= 0 || job.equivalenceClass in unsatisfiable

    /** Whether a search that found nothing for [job] would find nothing for any job of its equivalence class either. */
    private fun holdsForEquivalenceClass(job: Job, zones: ZoneConstraint, chosen: Set<Machine>): Boolean =
        !zones.isBinding && chosen.isEmpty() && !job.guaranteed

    /**
     * Returns the seconds of work that stopping [victim] would lose. A gang loses that for each of its tasks, since
     * they all stop.
     */
    private fun lostWorkS(victim: Placement): Double =
        lostWorkOfTaskS(victim) * if (victim.job.isGang) victim.job.placements.size else 1

    /**
     * Returns the seconds since the last checkpoint, or since the start without checkpoints, plus the cost of a
     * restart.
     */
    private fun lostWorkOfTaskS(victim: Placement): Double {
        if (victim.runningSince <= 0.0) return RESTART_COST_S
        val ranS = ctx.now - victim.runningSince
        val spec = victim.job.spec
        return RESTART_COST_S + if (spec.checkpointS > 0) minOf(ranS, spec.saveS) else ranS
    }

    /**
     * Selects the tasks to stop on [machine] so that one task of [job] fits there: those of low priority first, then
     * best-effort ones, then those that lose little work. The list is empty if tasks that are being stopped free
     * enough; null if stopping all that may be preempted would not free enough.
     */
    private fun selectVictims(machine: Machine, job: Job): List<Placement>? {
        var free = if (job.isGang) machine.free else machine.free - machine.heldCapacity
        var candidates: ArrayList<Placement>? = null
        for (placement in machine.placements.values) {
            if (placement.stopping != null) {
                free += placement.job.spec.need
            } else if (!placement.hasExited && mayPreempt(job, placement.job)) {
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

    /**
     * Returns the first of [candidates] whose capacity, added to what is [free], suffices for [need]; null if all of
     * them do not suffice.
     */
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

    /** Whether [job] may preempt tasks of [victim]. */
    private fun mayPreempt(job: Job, victim: Job): Boolean {
        // Stopping one task of a gang stops the whole gang, so only jobs of production priority, which have no
        // alternative, may do so.
        if (victim.isGangOfSeveral && job.priority < Priority.PRODUCTION) return false
        if (victim.priority < job.priority) {
            return job.priority == Priority.PRODUCTION || job.guaranteed || !pendingQueue.isProtected(victim)
        }
        // A job that its team's guarantee covers may also preempt jobs of equal priority whose teams exceed theirs. It
        // may not preempt jobs of higher priority: the two would preempt each other in turns.
        return job.guaranteed &&
            !victim.guaranteed &&
            victim.team != job.team &&
            victim.priority == job.priority &&
            exceedsGuarantee(victim.team)
    }

    /** Whether the team uses more than its guarantee; without a guarantee, whatever it uses exceeds it. */
    private fun exceedsGuarantee(teamIndex: TeamIndex): Boolean {
        val team = ctx.settings.teams[teamIndex.value]
        if (!team.hasGuarantee) return true
        val used = schedulerState.usedBy(teamIndex)
        return (team.gpus > 0 && used.gpus > team.gpus) || (team.cpus > 0 && used.cpus > team.cpus)
    }

    private companion object {
        /** Bounds the time of a pass: each search looks at all usable machines. */
        const val MAX_SEARCHES_PER_PASS = 16

        /** The time for which a gang gathers free capacity before it preempts other tasks. */
        const val GANG_GATHERING_TIME_S = 2.0

        /** The cost of a restart for a preempted task, in seconds of work. */
        const val RESTART_COST_S = 5.0

        /** The maximum time for which freed capacity is reserved, in seconds. */
        const val RESERVATION_TIMEOUT_S = 12.0
    }
}

package plankwall.core.autoscaling

import plankwall.core.placement.Placer
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.state.SchedulerState
import plankwall.core.state.ZoneConstraint
import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.MachineType
import plankwall.model.Resources
import plankwall.model.Shape

/**
 * How many machines the waiting tasks need beyond what is still to arrive (the paper's step 7). Waiting tasks are
 * packed into the arriving machines first; whatever is left opens new ones, each of the group where a task comes
 * cheapest.
 */
class Estimator(private val ctx: Context, private val schedulerState: SchedulerState, private val catalog: Catalog) {
    private val turnover = TaskChurn(ctx, catalog)

    private open class Bin(val group: GroupKey, var free: Resources) {
        open fun freeFor(job: Job): Resources = free
        open val freeNow: Resources get() = free
    }

    /**
     * Room that running tasks should give back. It counts for a task that would start there, fetch included, sooner
     * than on a machine yet to be rented: such room is as good as arriving.
     */
    private inner class Vacating(val machine: Machine, group: GroupKey) : Bin(group, Resources.NONE) {
        private val ends = machine.placements.values.mapNotNull { p ->
            p.endsIn(ctx.now)?.let { it to p.job.spec.need }
        }

        // `free` is below zero by what has been promised here so far.
        override val freeNow: Resources get() = machine.free - machine.held + free

        override fun freeFor(job: Job): Resources {
            val type = machine.type ?: return Resources.NONE
            val now = freeNow
            // Estimates are often too low, and smaller tasks take what comes free: a task that needs several to end at
            // once may be promised such room for ever. One that has waited a while is not put off with it again, and a
            // gang, which needs it on several machines at once, never.
            if (ends.isEmpty() || job.isGangOfSeveral) return now
            val newIn = newMachineIn(job, type)
            if (ctx.time.wallMs - job.readyMs > newIn * 1000 * TRUST) return now
            val limit = newIn - machine.fetchWait(job.image, job.spec.imageGb, ctx.now)
            var sum = now
            for ((endIn, need) in ends) if (endIn < limit) sum += need
            return sum
        }
    }

    private fun newMachineIn(job: Job, type: MachineType) = type.bootS + type.fetchS(job.spec.imageGb)

    /**
     * Machines to rent, by group. [lost]: replicas to be replaced beside what waits, though nothing proves them gone
     * yet. [mayExpandTroubled]: where anybody may if there is no such group; [mayExpandForLive]: where a live service
     * may have machines when no group that [mayExpand] allows would do. [spare]: what may be rented for work that
     * nobody waits for.
     */
    fun estimate(
        running: List<Machine>,
        unplaced: List<Job>,
        waitingOf: (Job) -> Int,
        arriving: List<GroupKey>,
        mayExpand: (GroupKey) -> Boolean,
        growth: DemandForecast,
        lost: Map<Job, Set<Placement>> = emptyMap(),
        mayExpandTroubled: (GroupKey) -> Boolean = mayExpand,
        mayExpandForLive: (GroupKey) -> Boolean = mayExpand,
        spare: LeftoverCapacityScaling = LeftoverCapacityScaling.NONE,
        owned: (zone: String) -> Int,
    ): Map<GroupKey, Int> {
        val bins = ArrayList<Bin>()
        for (key in arriving) catalog[key.type]?.let { bins.add(Bin(key, it.capacity)) }
        for (m in running) m.group?.let { bins.add(Vacating(m, it)) }
        val wanted = LinkedHashMap<GroupKey, Int>()
        val planned = HashMap<Int, Resources>()
        val ordered = HashMap<String, Int>()
        var considered = 0

        fun pack(job: Job) {
            val gone = lost[job].orEmpty()
            // They still count as used, in the team's limit too; their replacements take their place, not another.
            if (gone.isNotEmpty()) {
                planned.merge(
                    job.team.value,
                    Resources.NONE - job.spec.need * gone.size,
                    Resources::plus,
                )
            }
            val zones = ZoneConstraint(job, gone)
            val zone = job.gatherZone?.takeIf { z -> catalog.types.any { t -> mayExpand(GroupKey(t.name, z, false)) } }
            var waiting = turnover.slots(job, waitingOf(job)) + gone.size
            // All tasks of a job ask for the same: a bin that had no room for one has none for the next.
            var at = 0
            while (waiting-- > 0 && considered++ < MAX_TASKS) {
                if (!withinLimit(job, planned)) break
                while (at < bins.size &&
                    !(
                        (zone == null || bins[at].group.zone == zone) &&
                            fits(job, bins[at], zones) &&
                            spare.mayFill(job, bins[at].group)
                        )
                ) {
                    at++
                }
                if (at == bins.size) {
                    fun cheapestOf(allowed: (GroupKey) -> Boolean) =
                        cheapest(job, zones, zone, waiting + 1, allowed) { z -> owned(z) + (ordered[z] ?: 0) }
                    val group = when {
                        job.bestEffort -> spare.take { cheapestOf { mayExpand(it) && spare.mayRent(job, it) } }
                        job.spec.shape == Shape.SERVICE -> cheapestOf(mayExpand) ?: cheapestOf(mayExpandTroubled)
                            ?: cheapestOf(mayExpandForLive)
                        else -> cheapestOf(mayExpand) ?: cheapestOf(mayExpandTroubled)
                    } ?: break
                    bins.add(Bin(group, catalog[group.type]?.capacity ?: Resources.NONE))
                    wanted.merge(group, 1, Int::plus)
                    ordered.merge(group.zone, 1, Int::plus)
                }
                val bin = bins[at]
                bin.free -= job.spec.need
                zones.addPlanned(bin.group.zone)
                planned.merge(job.team.value, job.spec.need, Resources::plus)
            }
        }

        val (bestEffort, expected) = unplaced.partition { it.bestEffort }
        expected.forEach(::pack)
        ahead(growth, bins, mayExpand, owned).forEach { (group, count) -> wanted.merge(group, count, Int::plus) }
        // Last, and beside what is kept for what is still to come: it once took that room, and more was rented for
        // ever.
        bestEffort.forEach(::pack)
        return wanted
    }

    /**
     * Machines for demand that is still to come, beside what is free and arriving: spot ones for the part that may use
     * them, as far as they are to be had.
     */
    private fun ahead(
        growth: DemandForecast,
        bins: List<Bin>,
        mayExpand: (GroupKey) -> Boolean,
        owned: (String) -> Int,
    ): List<Pair<GroupKey, Int>> {
        fun free(spot: Boolean) = bins.filter { it.group.spot == spot }.fold(Resources.NONE) { sum, b ->
            sum +
                b.freeNow.atLeastNothing()
        }
        val spot = growth.spot - free(spot = true)
        val onSpot = cheapestFor(spot, true, mayExpand, owned)
        val rest = growth.other - free(spot = false) + if (onSpot == null) spot.atLeastNothing() else Resources.NONE
        return listOfNotNull(onSpot, cheapestFor(rest, false, mayExpand, owned))
    }

    /** The type that gives the missing room most cheaply. */
    private fun cheapestFor(
        missing: Resources,
        spot: Boolean,
        mayExpand: (GroupKey) -> Boolean,
        owned: (String) -> Int,
    ): Pair<GroupKey, Int>? {
        var best: Pair<GroupKey, Int>? = null
        var lowest = Double.MAX_VALUE
        for (type in catalog.types) {
            val price = if (spot) type.spotPrice else type.price
            val count = Math.round(missing.partOf(type.capacity)).toInt()
            if (count == 0 || price <= 0.0) continue
            val zone =
                type.zones.filter { mayExpand(GroupKey(type.name, it, spot)) }.minByOrNull { owned(it) } ?: continue
            if (count * price < lowest) {
                lowest = count * price
                best = GroupKey(type.name, zone, spot) to count
            }
        }
        return best
    }

    private fun withinLimit(job: Job, planned: Map<Int, Resources>): Boolean {
        val sum = schedulerState.used(job.team) + (planned[job.team.value] ?: Resources.NONE) + job.spec.need
        return ctx.settings.teams[job.team.value].allows(sum)
    }

    private fun fits(job: Job, bin: Bin, zones: ZoneConstraint): Boolean =
        Placer.allowed(job.spec, bin.group) && zones.allows(bin.group.zone) && job.spec.need.fitsIn(bin.freeFor(job))

    private fun cheapest(
        job: Job,
        zones: ZoneConstraint,
        only: String?,
        waiting: Int,
        mayExpand: (GroupKey) -> Boolean,
        owned: (String) -> Int,
    ): GroupKey? {
        var best: GroupKey? = null
        var lowest = Double.MAX_VALUE
        for (type in catalog.types) {
            val holds = type.capacity.holds(job.spec.need)
            if (holds == 0) continue
            // Room beyond the tasks at hand is worth something to later ones, but less.
            val useful = minOf(holds, waiting) + 0.5 * (holds - minOf(holds, waiting))
            for (zone in type.zones) {
                if (only != null && zone != only) continue
                for (spot in listOf(true, false)) {
                    val key = GroupKey(type.name, zone, spot)
                    if (spot && type.spotPrice <= 0.0) continue
                    if (!Placer.allowed(job.spec, key) || !zones.allows(zone) || !mayExpand(key)) continue
                    val price = (if (spot) type.spotPrice else type.price) / useful
                    // Among equals the zone with the fewest machines: zones fail as a whole.
                    val cost = price * (1.0 + 0.002 * owned(zone))
                    if (cost < lowest) {
                        lowest = cost
                        best = key
                    }
                }
            }
        }
        return best
    }

    private companion object {
        /** Which part of a new machine's time a task waits for room that should come free. */
        const val TRUST = 0.2
        const val MAX_TASKS = 5000
    }
}

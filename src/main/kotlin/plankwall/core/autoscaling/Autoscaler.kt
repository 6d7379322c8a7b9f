package plankwall.core.autoscaling

import org.slf4j.LoggerFactory
import plankwall.core.failuredetector.FailureDetector
import plankwall.core.placement.Placer
import plankwall.core.state.BootingMachine
import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.FleetRecord
import plankwall.wire.StateItem
import plankwall.wire.StoredBootingMachine
import plankwall.wire.StoredScaleOut

/**
 * The paper's main loop, in its order: health, unregistered machines, groups short for long, waiting tasks less what
 * is yet to arrive, unneeded machines.
 */
class Autoscaler(
    private val ctx: Context,
    private val store: LeaderStore,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
    private val placer: Placer,
    private val failureDetector: FailureDetector,
    private val startedAt: Double,
    provablyEmptyAt: (Machine) -> Double,
) {
    private val log = LoggerFactory.getLogger("rental")
    private val bootTimes = BootDurations()
    private val bootTrouble = BootDelayDetector(ctx, bootTimes, startedAt)
    private val registry = ClusterStateRegistry(ctx, fleet, failureDetector, bootTrouble::patienceS)
    private val memory = AutoscalerState(store)
    private val lastRental = HashMap<GroupKey?, Double>()
    private val returns =
        ScaleIn(ctx, store, schedulerState, fleet, registry, failureDetector, memory, startedAt, provablyEmptyAt) {
            lastRental[it]
                ?: Machine.NEVER
        }
    private val cloudList = InstanceInventory(ctx, store, fleet, memory)

    private class ScaleOutRequest(val stored: StoredScaleOut) {
        var mayBeSent = false
        var sending = false
        var nextTry = 0.0
    }

    /**
     * Rented ahead is for teams with a guarantee only: theirs need not wait, while to others a late start is worth less
     * than an idle machine costs. What is there already is kept for all that should come. What a team's limit holds
     * back counts for nothing: for a team at its limit 900 machines were once rented, a third of them for work that was
     * not allowed to start.
     */
    private val owed = DemandForecaster(ctx, startedAt) {
        ctx.settings.teams[it.team.value].hasGuarantee &&
            !placer.backlog.heldByLimit(it)
    }
    private val any = DemandForecaster(ctx, startedAt) { !placer.backlog.heldByLimit(it) }
    private val consolidation = Consolidation(fleet)
    private val rentals = LinkedHashMap<String, ScaleOutRequest>()
    private val arrivals = fleet.arrivals
    private val noCapacityUntil = HashMap<GroupKey, Double>()
    private var nextRequest = 0L
    private var nextRound = 0.0
    private var haltedUntil = 0.0

    /** When work with an aim last found no place at once. */
    private var contestedAt = Machine.NEVER

    init {
        placer.rentsWhere(::mayExpand)
        placer.backlog.isScarce = ::isScarce
    }

    fun restore(items: List<StateItem>) {
        val record = memory.restore(items) ?: return
        record.rentals.forEach { rentals[it.request] = ScaleOutRequest(it).apply { mayBeSent = true } }
        record.arrivals.forEach {
            val age = ((ctx.time.wallMs - it.rentedMs) / 1000.0).coerceAtLeast(0.0)
            arrivals[it.machine] = BootingMachine(it.machine, it.group, ctx.now - age, it.rentedMs)
            fleet.describe(fleet.machine(it.machine), it.group, "")
        }
        record.returning.forEach {
            fleet.machine(it).apply {
                returning = true
                returnStored = true
            }
        }
        if (rentals.isNotEmpty()) log.info("took over {} unanswered rentals", rentals.size)
    }

    fun tick() {
        cloudList.poll()
        arrivals.values.removeIf { arrived(it) }
        // What can't be stored is not decided: a leader that is cut off would log rentals and returns that never
        // happen.
        if (ctx.now >= nextRound && store.mayWrite) {
            nextRound = ctx.now + ROUND_S
            round()
        }
        memory.save(::record, ::stored)
        sendRentals()
        returns.send()
    }

    private fun arrived(a: BootingMachine): Boolean {
        val m = fleet.find(a.machine) ?: return true
        // What an earlier leader rented may have been up long before it reported to this one.
        if (m.registered && a.rentedAt > startedAt) m.type?.let { bootTimes.note(it, m.registeredAt - a.rentedAt) }
        if (m.registered) bootTrouble.cameUp(a.group)
        // The stored record is written on decisions and may name machines that have come since; work proves that.
        return m.registered || m.placements.isNotEmpty()
    }

    private fun mayBeCountedOn(a: BootingMachine): Boolean =
        fleet.catalog?.get(a.group.type) != null && !registry.isLate(a) && bootTrouble.isCounted(a)

    private fun round() {
        val catalog = fleet.catalog ?: return
        bootTrouble.refresh(arrivals.values, catalog)
        registry.refresh(arrivals)
        returns.returnFailed()
        // Right after a take-over nearly all workers that we know of are silent because they are on their way to us.
        if (failureDetector.isSettling && !failureDetector.heartbeatRoundElapsed) return
        if (ctx.now >= haltedUntil && !registry.inGoodShape) {
            haltedUntil = ctx.now + ctx.tuning.haltRetryS
            fleet.machines.forEach { it.unneededSince = Machine.NEVER }
            log.warn("halted: {} of {} machines unready without explanation", registry.unexplained, registry.registered)
        }
        val usable = fleet.machines.filter { placer.usable(it) }
        val halted = ctx.now < haltedUntil
        if (halted || failureDetector.isSettling) {
            // Those still on their way count as there, with what room they have beside what is stored as placed on
            // them.
            val present = usable + fleet.machines.filter { it.type != null && failureDetector.isAwaited(it) }
            // Live services alone go on during a halt: what waits of them is known from the store, not from who is
            // silent.
            expand(catalog, present, DemandForecast.NONE) { !halted || it.spec.shape == Shape.SERVICE }
            return
        }
        returnUnregistered()
        if (cutShortGroups()) return
        val lead = catalog.types.maxOfOrNull { it.bootS } ?: return
        val growth = owed.expect(schedulerState.live, lead)
        expand(catalog, usable, growth) { true }
        consolidation.refresh(usable, any.expect(schedulerState.live, lead).all)
        returns.returnUnneeded(usable, growth)
    }

    private fun expand(catalog: Catalog, running: List<Machine>, growth: DemandForecast, serves: (Job) -> Boolean) {
        val arriving = arrivals.values.filter { mayBeCountedOn(it) }.map { it.group } +
            rentals.values.flatMap { r -> List(r.stored.count) { r.stored.group } }
        val lost = failureDetector.endangered()
        val waiting = (lost.keys + placer.unplaced.filter { placer.unreserved(it) > 0 && !it.suspect }).filter(serves)
        val spare = spareTime(catalog, running, arriving.size)
        val owned = fleet.machines.filter { !it.returning }.groupingBy { it.group?.zone }.eachCount()
        val wanted = Estimator(ctx, schedulerState, catalog).estimate(
            running, waiting, placer::unreserved, arriving, ::mayExpand, growth, lost, ::mayExpandTroubled,
            ::mayExpandForLive, spare,
        ) { zone -> owned[zone] ?: 0 }
        wanted.forEach { (group, count) -> rent(group, count, waiting.size) }
    }

    private fun spareTime(catalog: Catalog, running: List<Machine>, arriving: Int): LeftoverCapacityScaling {
        val bootS = catalog.types.maxOfOrNull { it.bootS } ?: 0.0
        for (job in placer.unplaced) {
            if (job.bestEffort &&
                !job.starving &&
                ctx.time.wallMs - job.readyMs > bootS * 1000 * OVERLOOKED_BOOTS
            ) {
                job.starving = true
            }
        }
        val taken = running.sumOf { m ->
            val type = m.type
            if (type ==
                null
            ) {
                0.0
            } else {
                m.placements.values.filter { it.job.bestEffort }.fold(Resources.NONE) { sum, p ->
                    sum +
                        p.job.spec.need
                }.partOf(type.capacity)
            }
        }
        if (placer.unplaced.any { !it.bestEffort && !it.suspect }) contestedAt = ctx.now
        // Where the cloud had none lately, what comes free there is left to those who have aims to meet.
        return LeftoverCapacityScaling(
            LeftoverCapacityScaling.leftAt(
                running.size,
                arriving,
                taken,
                ctx.now < contestedAt + bootS,
            ),
        ) {
            ctx.now >
                (noCapacityUntil[it] ?: 0.0) + bootS * LEFT_ALONE_BOOTS
        }
    }

    private fun mayExpand(key: GroupKey): Boolean = mayExpandTroubled(key) && key !in bootTrouble.groups

    /** A group that boots badly serves only where no other does. */
    private fun mayExpandTroubled(key: GroupKey): Boolean = isOpen(key) && registry.group(key).healthy

    private fun mayExpandForLive(key: GroupKey): Boolean = isOpen(key) && !registry.group(key).startsFail

    private fun isOpen(key: GroupKey): Boolean =
        (noCapacityUntil[key] ?: 0.0) <= ctx.now && key.zone !in registry.partitionedZones

    /** Whether the cloud refused, or filled in part only, what was last asked of every group that [job] may use. */
    private fun isScarce(job: Job): Boolean {
        val groups = fleet.catalog?.fitting(job.spec).orEmpty()
            .flatMap { type ->
                type.zones.flatMap { listOf(GroupKey(type.name, it, true), GroupKey(type.name, it, false)) }
            }
            .filter { Placer.allowed(job.spec, it) }
        // It is asked again after a while; until it has answered, what it said last holds.
        return groups.isNotEmpty() && groups.all { ctx.now < (noCapacityUntil[it] ?: Machine.NEVER) + NO_CAPACITY_S }
    }

    private fun rent(group: GroupKey, count: Int, waiting: Int) {
        var left = count
        // Hundreds may be needed at once, and a request may ask for so many only.
        while (left > 0 && rentals.size < MAX_RENTALS) {
            val n = minOf(left, MAX_PER_RENTAL)
            left -= n
            val request = "r-${store.epoch}-${++nextRequest}"
            rentals[request] = ScaleOutRequest(StoredScaleOut(request, group, n))
            lastRental[group] = ctx.now
            memory.dirty = true
            log.info(
                "rent {} of {} as {}: {} jobs wait, {} machines arriving",
                n,
                group,
                request,
                waiting,
                arrivals.size,
            )
        }
    }

    /** UC5: rented long ago, never heard: returned one by one. */
    private fun returnUnregistered() {
        val late = fleet.machines.firstOrNull { m ->
            !m.registered &&
                !m.returning &&
                m.placements.isEmpty() &&
                ctx.now - maxOf(arrivals[m.id]?.rentedAt ?: m.firstSeen, startedAt) >
                (m.group?.let { bootTrouble.patienceS(it) } ?: ctx.tuning.unregisteredS)
        } ?: return
        returns.giveBack(late, "never registered")
    }

    /** UC4: names that the cloud gave and that neither its list nor a worker ever showed. */
    private fun cutShortGroups(): Boolean {
        val missing = arrivals.values.filter {
            // Counted from the take-over at the earliest: before, this leader had neither list nor reports to go by.
            ctx.now - maxOf(it.rentedAt, startedAt) > ctx.tuning.shortGroupS && fleet.find(it.machine)?.listed == null
        }
        missing.forEach { a ->
            fleet.find(a.machine)?.let { returns.giveBack(it, "group ${a.group} short of it for long") }
        }
        return missing.isNotEmpty()
    }

    private fun record() = FleetRecord(
        rentals.values.map { it.stored },
        arrivals.values.map { StoredBootingMachine(it.machine, it.group, it.rentedMs) },
        fleet.machines.filter { it.returning }.map { it.id },
    )

    /** What is stored may be carried out. */
    private fun stored(record: FleetRecord) {
        record.rentals.forEach { rentals[it.request]?.mayBeSent = true }
        record.returning.forEach { fleet.find(it)?.returnStored = true }
    }

    private fun sendRentals() {
        for (r in rentals.values.toList()) {
            if (!r.mayBeSent || r.sending || ctx.now < r.nextTry) continue
            r.sending = true
            ctx.out.cloud(CloudOp.Rent(r.stored.request, r.stored.group, r.stored.count)) { result ->
                if (store.active) rented(r, result)
            }
        }
    }

    private fun rented(r: ScaleOutRequest, result: CloudResult) {
        r.sending = false
        val group = r.stored.group
        when (result) {
            is CloudResult.Rented -> {
                rentals.remove(r.stored.request)
                memory.dirty = true
                log.info("rented {} of {} ({}): {}", result.machines.size, r.stored.count, group, result.machines)
                if (result.machines.size < r.stored.count) noCapacityUntil[group] = ctx.now + NO_CAPACITY_S
                for (id in result.machines) {
                    if (fleet.isGone(id)) continue
                    val m = fleet.machine(id)
                    fleet.describe(m, group, "")
                    if (!m.registered &&
                        !m.returning
                    ) {
                        arrivals[id] = BootingMachine(id, group, ctx.now, ctx.time.wallMs)
                    }
                }
            }
            CloudResult.NoCapacity, CloudResult.Malformed -> {
                rentals.remove(r.stored.request)
                memory.dirty = true
                noCapacityUntil[group] = ctx.now + NO_CAPACITY_S
                log.info("no capacity for {} of {}: {}", r.stored.count, group, result)
            }
            // It may have been executed: the same name is sent again until it is answered.
            else -> r.nextTry = ctx.now + 0.5 + ctx.random.nextDouble()
        }
    }

    private companion object {
        const val ROUND_S = 1.0
        const val NO_CAPACITY_S = 20.0
        const val MAX_RENTALS = 20
        const val MAX_PER_RENTAL = 50
        const val OVERLOOKED_BOOTS = 2.0
        const val LEFT_ALONE_BOOTS = 3.0
    }
}

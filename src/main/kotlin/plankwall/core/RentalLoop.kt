package plankwall.core

import org.slf4j.LoggerFactory
import plankwall.model.GroupKey
import plankwall.model.Resources
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.FleetRecord
import plankwall.wire.Guard
import plankwall.wire.Keys
import plankwall.wire.ListedMachine
import plankwall.wire.ListedState
import plankwall.wire.StateCodec
import plankwall.wire.StateItem
import plankwall.wire.StateResult
import plankwall.wire.StoredArrival
import plankwall.wire.StoredRental
import plankwall.wire.Write

/**
 * The paper's main loop, in its order: health, unregistered machines, groups short for long, waiting tasks less what
 * is yet to arrive, unneeded machines. What it asks of the cloud is stored before it is sent, so that a successor
 * neither rents the same room twice nor gives work to a machine that is being returned.
 */
class RentalLoop(
    private val ctx: Context,
    private val store: LeaderStore,
    private val book: JobBook,
    private val fleet: Fleet,
    private val placer: Placer,
    private val startedAt: Double,
) {
    private val log = LoggerFactory.getLogger("rental")
    private val registry = ClusterStateRegistry(ctx, fleet)

    private class Rental(val stored: StoredRental) {
        var mayBeSent = false
        var sending = false
        var nextTry = 0.0
    }


    /**
     * Rented ahead is for teams with a guarantee only: theirs need not wait, while to others a late start is worth less
     * than an idle machine costs. What is there already is kept for all that should come.
     */
    private val owed = GrowthWatch(ctx, startedAt) { ctx.settings.teams[it.team.value].hasGuarantee }
    private val any = GrowthWatch(ctx, startedAt) { true }
    private val bootTimes = BootTimes()
    private val consolidation = Consolidation(fleet)
    private val rentals = LinkedHashMap<String, Rental>()
    private val arrivals = fleet.arrivals
    private val noCapacityUntil = HashMap<GroupKey, Double>()
    private var version = 0L
    private var dirty = false
    private var writing = false
    private var nextRequest = 0L
    private var nextRound = 0.0
    private var nextList = 0.0
    private var listing = false
    private var deleting = false
    private var nextCatalog = 0.0
    private var haltedUntil = 0.0
    private val lastRental = HashMap<GroupKey?, Double>()
    private val pausedUntilHeard = startedAt + ctx.settings.workers.reportS * 3 + 4.0

    init {
        placer.rentsWhere(::mayExpand)
    }

    fun restore(item: StateItem?) {
        version = item?.version ?: 0L
        val record = item?.value as? FleetRecord ?: return
        record.rentals.forEach { rentals[it.request] = Rental(it).apply { mayBeSent = true } }
        record.arrivals.forEach {
            val age = ((ctx.time.wallMs - it.rentedMs) / 1000.0).coerceAtLeast(0.0)
            arrivals[it.machine] = Arrival(it.machine, it.group, ctx.now - age, it.rentedMs)
            fleet.describe(fleet.machine(it.machine), it.group, "")
        }
        record.returning.forEach { fleet.machine(it).apply { returning = true; returnStored = true } }
        if (rentals.isNotEmpty()) log.info("took over {} unanswered rentals", rentals.size)
    }

    fun tick() {
        pollCloud()
        arrivals.values.removeIf { arrived(it) }
        if (ctx.now >= nextRound) {
            nextRound = ctx.now + ROUND_S
            round()
        }
        save()
        sendRentals()
        sendReturns()
    }

    private fun arrived(a: Arrival): Boolean {
        val m = fleet.find(a.machine) ?: return true
        // What an earlier leader rented may have been up long before it reported to this one.
        if (m.registered && a.rentedAt > startedAt) m.type?.let { bootTimes.note(it, m.registeredAt - a.rentedAt) }
        // The stored record is written on decisions and may name machines that have come since; work proves that.
        return m.registered || m.placements.isNotEmpty()
    }

    private fun mayBeCountedOn(a: Arrival): Boolean {
        val type = fleet.catalog?.get(a.group.type) ?: return false
        return !registry.isLate(a) && ctx.now - a.rentedAt < bootTimes.trustedS(type)
    }

    private fun round() {
        val catalog = fleet.catalog ?: return
        registry.refresh(arrivals)
        returnFailed()
        // Right after a take-over the workers that we know of are silent because they are still on their way to us.
        if (ctx.now < pausedUntilHeard && fleet.machines.any { awaited(it) }) return
        if (ctx.now < haltedUntil) return
        if (!registry.inGoodShape) {
            haltedUntil = ctx.now + ctx.tuning.haltRetryS
            fleet.machines.forEach { it.unneededSince = Machine.NEVER }
            log.warn("halted: {} of {} machines unready without explanation", registry.unexplained, registry.registered)
            return
        }
        returnUnregistered()
        if (cutShortGroups()) return
        val arriving = arrivals.values.filter { mayBeCountedOn(it) }.map { it.group } +
            rentals.values.flatMap { r -> List(r.stored.count) { r.stored.group } }
        val waiting = placer.unplaced.filter { placer.unreserved(it) > 0 }
        val lead = catalog.types.maxOfOrNull { it.bootS } ?: return
        val growth = owed.expect(book.live, lead)
        val usable = fleet.machines.filter { placer.usable(it) }
        val owned = fleet.machines.filter { !it.returning }.groupingBy { it.group?.zone }.eachCount()
        val wanted = Estimator(ctx, book, catalog).estimate(
            usable, waiting, placer::unreserved, arriving, ::mayExpand, growth,
        ) { zone -> owned[zone] ?: 0 }
        consolidation.refresh(usable, any.expect(book.live, lead).all)
        wanted.forEach { (group, count) -> rent(group, count, waiting.size) }
        returnUnneeded(usable, growth)
    }

    private fun awaited(m: Machine): Boolean = !m.registered && !m.returning && m.id !in arrivals && m.listed != ListedState.FAILED

    private fun mayExpand(key: GroupKey): Boolean =
        (noCapacityUntil[key] ?: 0.0) <= ctx.now && key.zone !in registry.cutZones && registry.group(key).healthy

    private fun rent(group: GroupKey, count: Int, waiting: Int) {
        var left = count
        // Hundreds may be needed at once, and a request may ask for so many only.
        while (left > 0 && rentals.size < MAX_RENTALS) {
            val n = minOf(left, MAX_PER_RENTAL)
            left -= n
            val request = "r-${store.epoch}-${++nextRequest}"
            rentals[request] = Rental(StoredRental(request, group, n))
            lastRental[group] = ctx.now
            dirty = true
            log.info("rent {} of {} as {}: {} jobs wait, {} machines arriving", n, group, request, waiting, arrivals.size)
        }
    }

    /** UC5: rented long ago, never heard: returned one by one. */
    private fun returnUnregistered() {
        val late = fleet.machines.firstOrNull { m ->
            !m.registered && !m.returning && m.placements.isEmpty() &&
                ctx.now - maxOf(arrivals[m.id]?.rentedAt ?: m.firstSeen, startedAt) > ctx.tuning.unregisteredS
        } ?: return
        giveBack(late, "never registered")
    }

    /** UC4: names that the cloud gave and that neither its list nor a worker ever showed. */
    private fun cutShortGroups(): Boolean {
        val missing = arrivals.values.filter {
            // Counted from the take-over at the earliest: before, this leader had neither list nor reports to go by.
            ctx.now - maxOf(it.rentedAt, startedAt) > ctx.tuning.shortGroupS && fleet.find(it.machine)?.listed == null
        }
        missing.forEach { a -> fleet.find(a.machine)?.let { giveBack(it, "group ${a.group} short of it for long") } }
        return missing.isNotEmpty()
    }

    private fun returnFailed() {
        for (m in fleet.machines.toList()) {
            if (m.returning) continue
            val lost = m.missingSince > Machine.NEVER && ctx.now - m.missingSince > ctx.settings.cloud.listLagS
            when {
                m.listed == ListedState.FAILED -> giveBack(m, "listed as failed")
                m.registered && lost && !fleet.isReady(m) -> giveBack(m, "silent and no longer listed")
                m.faulty -> giveBack(m, "faulty")
                silentAlone(m) -> giveBack(m, "silent while its zone is not: its deletion proves its tasks gone")
                withdrawnTooLong(m) -> giveBack(m, "unreachable with a withdrawn task")
                m.registered && ctx.now - m.lastHeard > ctx.tuning.unreadyS && m.placements.isEmpty() -> giveBack(m, "unready for long")
            }
        }
    }

    /**
     * A machine that falls silent with work on it, alone: an answered deletion frees the work sooner than the lease
     * would. Whole zones and whole fleets that fall silent are cut off, and keep working; they are left alone.
     */
    private fun silentAlone(m: Machine): Boolean {
        if (fleet.isReady(m) || m.placements.isEmpty() || !registry.inGoodShape) return false
        if (!m.registered && m.id in arrivals) return false
        // After a cut or a take-over the last worker finds its way back many seconds after the first. One that has been
        // heard since the take-over was back already.
        val zone = m.group?.zone ?: return false
        val from = if (m.registered) registry.troubledAt(zone) else maxOf(startedAt, registry.troubledAt(zone))
        return ctx.now - from > ctx.settings.workers.reportS * WAY_BACK_REPORTS
    }

    /** A withdrawn task must be gone in time; a machine that can't be told is deleted with all that is on it. */
    private fun withdrawnTooLong(m: Machine): Boolean = !fleet.isReady(m) && m.placements.values.any {
        it.job.withdrawn && ctx.time.wallMs - it.job.withdrawnMs > ctx.settings.workers.cancelS * 1000 * WITHDRAWN_PATIENCE
    }

    private fun returnUnneeded(usable: List<Machine>, growth: Growth) {
        fun free(spot: Boolean) = usable.filter { it.group?.spot == spot }.fold(Resources.NONE) { sum, m -> sum + m.free }
        var left = free(spot = false) - growth.other - (growth.spot - free(spot = true)).atLeastNothing()
        val wantedImages = book.live.filter { !it.withdrawn }.map { it.image.value }.toSet()
        for (m in fleet.machines) {
            // Room kept for a gang that is not complete yet, or made for a task under way, is needed.
            val idle = m.registered && fleet.isReady(m) && m.placements.isEmpty() && m.strangers == 0 && !m.returning &&
                m.held === Resources.NONE && m.reservations.isEmpty()
            if (!idle) m.unneededSince = Machine.NEVER else if (m.unneededSince == Machine.NEVER) m.unneededSince = ctx.now
        }
        fleet.machines
            .filter { m ->
                val boot = m.type?.bootS ?: DEFAULT_BOOT_S
                m.unneededSince > Machine.NEVER && ctx.now - m.unneededSince >= orElse(ctx.tuning.unneededS, if (m.surplus) boot * SURPLUS_PATIENCE else restoreS(m, wantedImages)) &&
                    // What is rented in one group says nothing of another, whose machines the waiting tasks may not use.
                    ctx.now - (lastRental[m.group] ?: Machine.NEVER) >= orElse(ctx.tuning.afterRentalS, boot)
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

    private fun giveBack(m: Machine, why: String) {
        if (m.returning) return
        m.returning = true
        dirty = true
        arrivals.remove(m.id)
        log.info("return {} ({}): {}; {} tasks on it", m.id, m.group, why, m.placements.size)
        m.placements.values.toList().forEach { book.stopWithSave(it, StopCause.DRAINED) }
    }

    /** The record as far as it fits a stored value: what is left out follows once there is room again. */
    private fun record(): FleetRecord {
        val limit = ctx.settings.state.valueKb * 1024
        val returning = fleet.machines.filter { it.returning }.map { it.id }
        var part = 1.0
        while (true) {
            val record = FleetRecord(
                rentals.values.map { it.stored },
                arrivals.values.toList().takeLast((arrivals.size * part).toInt()).map { StoredArrival(it.machine, it.group, it.rentedMs) },
                returning.take((returning.size * part).toInt()),
            )
            if (part < 0.01 || StateCodec.sizeOf(record) <= limit) return record
            log.warn("the fleet's record outgrows a stored value: of {} arrivals and {} returns some wait", arrivals.size, returning.size)
            part *= 0.7
        }
    }

    private fun save() {
        if (!dirty || writing || store.room() < 1) return
        val record = record()
        val stored = rentals.values.toList()
        dirty = false
        writing = true
        store.write(listOf(Guard(Keys.FLEET, version)), listOf(Write.Put(Keys.FLEET, record))) { result ->
            writing = false
            when (result) {
                is StateResult.Committed -> {
                    version = result.revision
                    stored.forEach { it.mayBeSent = true }
                    record.returning.forEach { fleet.find(it)?.returnStored = true }
                }
                is StateResult.Conflict -> reread()
                else -> dirty = true
            }
        }
    }

    private fun reread() {
        writing = true
        store.read(Keys.FLEET) { result ->
            writing = false
            dirty = true
            if (result is StateResult.Item) version = result.item?.version ?: 0L
        }
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

    private fun rented(r: Rental, result: CloudResult) {
        r.sending = false
        val group = r.stored.group
        when (result) {
            is CloudResult.Rented -> {
                rentals.remove(r.stored.request)
                dirty = true
                log.info("rented {} of {} ({}): {}", result.machines.size, r.stored.count, group, result.machines)
                if (result.machines.size < r.stored.count) noCapacityUntil[group] = ctx.now + NO_CAPACITY_S
                for (id in result.machines) {
                    if (fleet.isGone(id)) continue
                    val m = fleet.machine(id)
                    fleet.describe(m, group, "")
                    if (!m.registered && !m.returning) arrivals[id] = Arrival(id, group, ctx.now, ctx.time.wallMs)
                }
            }
            CloudResult.NoCapacity, CloudResult.Malformed -> {
                rentals.remove(r.stored.request)
                dirty = true
                noCapacityUntil[group] = ctx.now + NO_CAPACITY_S
                log.info("no capacity for {} of {}: {}", r.stored.count, group, result)
            }
            // It may have been executed: the same name is sent again until it is answered.
            else -> r.nextTry = ctx.now + 0.5 + ctx.random.nextDouble()
        }
    }

    private fun sendReturns() {
        val due = fleet.machines.filter { m ->
            m.returning && m.returnStored && !m.deleting &&
                (m.placements.isEmpty() || !fleet.isReady(m) || m.placements.values.all { ctx.now - it.stopSince > DRAIN_S })
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
        m.placements.values.toList().forEach { book.release(it, "${m.id} deleted") }
        fleet.remove(m)
        arrivals.remove(m.id)
        dirty = true
        log.info("machine {} gone", m.id)
    }

    private fun pollCloud() {
        if (!listing && ctx.now >= nextList) {
            listing = true
            list(null, ArrayList())
        }
        if (ctx.now >= nextCatalog) {
            nextCatalog = ctx.now + if (fleet.catalog == null) 1.0 else CATALOG_S
            ctx.out.cloud(CloudOp.GetCatalog) { result ->
                if (store.active && result is CloudResult.CatalogRead) fleet.catalog = result.catalog
            }
        }
    }

    private fun list(after: String?, found: ArrayList<ListedMachine>) {
        ctx.out.cloud(CloudOp.ListMachines(after, LIST_PAGE)) { result ->
            if (!store.active) return@cloud
            if (result !is CloudResult.Listed) {
                listing = false
                nextList = ctx.now + 2.0
                return@cloud
            }
            found.addAll(result.machines)
            if (result.more && result.machines.isNotEmpty()) {
                list(result.machines.last().id, found)
            } else {
                listing = false
                nextList = ctx.now + LIST_S
                listed(found)
            }
        }
    }

    /** The list is late and may be older than the last one: it can add machines, never prove that a task is gone. */
    private fun listed(all: List<ListedMachine>) {
        val names = HashSet<String>()
        for (l in all) {
            names.add(l.id)
            if (fleet.isGone(l.id)) continue
            val known = fleet.find(l.id)
            val m = known ?: fleet.machine(l.id)
            fleet.describe(m, l)
            m.listed = l.state
            m.missingSince = Machine.NEVER
            if (!m.registered && !m.returning && l.id !in arrivals && l.state == ListedState.BOOTING) {
                // Rented by somebody whose record of it was lost: it counts as arriving, from the age the list gives.
                val ageMs = (l.ageS * 1000).toLong()
                arrivals[l.id] = Arrival(l.id, l.group, ctx.now - l.ageS, ctx.time.wallMs - ageMs)
                dirty = true
            }
        }
        for (m in fleet.machines) {
            if (m.listed != null && m.id !in names && m.missingSince == Machine.NEVER) m.missingSince = ctx.now
        }
    }

    private companion object {
        const val ROUND_S = 1.0
        const val LIST_S = 3.0
        const val LIST_PAGE = 500
        const val CATALOG_S = 60.0
        const val NO_CAPACITY_S = 20.0
        const val WAY_BACK_REPORTS = 7.0
        const val DEFAULT_BOOT_S = 60.0
        const val DRAIN_S = 15.0
        const val MAX_RENTALS = 20
        const val MAX_PER_RENTAL = 50

        /** The others have room for all that should come within a boot: only the unexpected would need this one. */
        const val SURPLUS_PATIENCE = 0.25
        const val MAX_PER_DELETE = 100
        const val MIN_RETURNS_PER_ROUND = 4
        const val WITHDRAWN_PATIENCE = 0.35
    }
}

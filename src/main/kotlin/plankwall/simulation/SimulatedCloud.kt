package plankwall.simulation

import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.ListedMachine
import plankwall.wire.ListedState
import java.util.Random

/** The cloud as PROTOCOL describes it: names in order, late lists, machines that come up late or never. */
class SimulatedCloud(
    private val clock: SimulatedClock,
    private val random: Random,
    val catalog: Catalog,
    private val listLagS: Double,
    private val addressOf: (id: String) -> String = SimulatedWorker::addressOf,
    private val newWorker: (id: String, group: GroupKey) -> SimulatedWorker,
) {
    class Rented(val id: String, val group: GroupKey, val at: Double) {
        var worker: SimulatedWorker? = null
        var failed = false
    }

    private val machines = LinkedHashMap<String, Rented>()
    private val requests = HashMap<String, List<String>>()
    private var lists = ArrayDeque<Pair<Double, List<ListedMachine>>>()
    private var next = 0
    var outage = false
    var bootFailureShare = 0.0

    /** How many times as long as usual machines take to boot. */
    var bootFactor = 1.0
    var capacity = 100
    var instancesCreated = 0
        private set

    /** The most machines that were rented at one time. */
    var maxInstances = 0
        private set

    val instances: Collection<Rented> get() = machines.values
    val workers: List<SimulatedWorker> get() = machines.values.mapNotNull { it.worker }

    init {
        clock.every(0.5) {
            lists.addLast(clock.now to snapshot())
            while (lists.size > 1 && lists[1].first <= clock.now - listLagS) lists.removeFirst()
        }
    }

    private fun snapshot() = machines.values.map {
        val state = if (it.failed) {
            ListedState.FAILED
        } else if (it.worker == null) {
            ListedState.BOOTING
        } else {
            ListedState.RUNNING
        }
        ListedMachine(it.id, addressOf(it.id), it.group, state, clock.now - it.at)
    }

    fun worker(address: String): SimulatedWorker? = workers.firstOrNull { it.address == address }

    fun run(op: CloudOp): CloudResult {
        if (outage) return CloudResult.Trouble
        return when (op) {
            CloudOp.GetCatalog -> CloudResult.CatalogRead(catalog)
            is CloudOp.Rent -> rent(op)
            is CloudOp.Delete -> {
                op.machines.forEach { machines.remove(it)?.worker?.die() }
                CloudResult.Deleted
            }
            is CloudOp.ListMachines -> {
                val all = lists.firstOrNull()?.second.orEmpty().filter { op.after == null || it.id > op.after }
                CloudResult.Listed(all.take(op.limit), all.size > op.limit)
            }
        }
    }

    private fun rent(op: CloudOp.Rent): CloudResult {
        requests[op.request]?.let { return CloudResult.Rented(it) }
        if (machines.size >= capacity) return CloudResult.NoCapacity
        val names = List(minOf(op.count, capacity - machines.size)) { "i-%06d".format(next++) }
        requests[op.request] = names
        instancesCreated += names.size
        maxInstances = maxOf(maxInstances, machines.size + names.size)
        names.forEach { id ->
            val rented = Rented(id, op.group, clock.now)
            machines[id] = rented
            val boot = (catalog[op.group.type]?.bootS ?: 10.0) * (0.6 + random.nextDouble()) * bootFactor
            if (random.nextDouble() >= bootFailureShare) clock.after(boot) { boot(rented) }
        }
        return CloudResult.Rented(names)
    }

    /** Adds machines that are up from the start, as if rented long ago; each boots after [bootS]. */
    fun addRunning(group: GroupKey, count: Int, bootS: () -> Double) = repeat(count) {
        val rented = Rented("i-%06d".format(next++), group, clock.now)
        machines[rented.id] = rented
        maxInstances = maxOf(maxInstances, machines.size)
        clock.after(bootS()) { boot(rented) }
    }

    private fun boot(rented: Rented) {
        if (machines[rented.id] === rented) rented.worker = newWorker(rented.id, rented.group)
    }

    fun fail(id: String) {
        val rented = machines[id] ?: return
        rented.worker?.die()
        rented.failed = true
    }
}

package plankwall.simulation

import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.ListedMachine
import plankwall.wire.ListedState
import java.util.Random

/**
 * An in-memory cloud provider as the protocol specifies it: it names machines in order, lists them with a delay, and
 * can boot them late or never. [listLagS] is the age of a listing in seconds; [newWorker] is called for each machine
 * that has booted.
 */
class SimulatedCloud(
    private val clock: SimulatedClock,
    private val random: Random,
    val catalog: Catalog,
    private val listLagS: Double,
    private val addressOf: (id: String) -> String = SimulatedWorker::addressOf,
    private val newWorker: (id: String, group: GroupKey) -> SimulatedWorker,
) {
    /** A rented machine; [at] is the time of the rental in seconds. */
    class Rented(val id: String, val group: GroupKey, val at: Double) {
        /** The worker on the machine, or null until the machine has booted. */
        var worker: SimulatedWorker? = null

        /** Whether the machine has failed; the cloud lists it so until it is deleted. */
        var failed = false
    }

    private val machines = LinkedHashMap<String, Rented>()

    /** Ids of the machines rented by each request; a repeated request gets the same ids. */
    private val requests = HashMap<String, List<String>>()

    /** Snapshots of the machines with their times, the oldest first; the first one is what a listing returns. */
    private var listings = ArrayDeque<Pair<Double, List<ListedMachine>>>()
    private var nextMachineNumber = 0

    /** Whether every call fails. */
    var outage = false

    /** The share of the rented machines that never boot. */
    var bootFailureShare = 0.0

    /** The factor on the time that machines take to boot. */
    var bootFactor = 1.0

    /** The maximum number of machines that can be rented at one time. */
    var capacity = 100

    /** The number of machines rented so far on request. */
    var instancesCreated = 0
        private set

    /** The peak number of machines rented at one time. */
    var maxInstances = 0
        private set

    /** The machines that are rented now, booted or not. */
    val instances: Collection<Rented> get() = machines.values

    /** The workers on the machines that have booted, in the order of the rentals. */
    val workers: List<SimulatedWorker> get() = machines.values.mapNotNull { it.worker }

    init {
        clock.every(0.5) {
            listings.addLast(clock.now to snapshot())
            while (listings.size > 1 && listings[1].first <= clock.now - listLagS) listings.removeFirst()
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

    /** Returns the worker at [address], or null if no machine there has booted. */
    fun worker(address: String): SimulatedWorker? = workers.firstOrNull { it.address == address }

    /** Executes a call of a controller and returns its result at once. */
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
                val listed = listings.firstOrNull()?.second.orEmpty().filter { op.after == null || it.id > op.after }
                CloudResult.Listed(listed.take(op.limit), listed.size > op.limit)
            }
        }
    }

    private fun rent(op: CloudOp.Rent): CloudResult {
        requests[op.request]?.let { return CloudResult.Rented(it) }
        if (machines.size >= capacity) return CloudResult.NoCapacity
        val ids = List(minOf(op.count, capacity - machines.size)) { "i-%06d".format(nextMachineNumber++) }
        requests[op.request] = ids
        instancesCreated += ids.size
        maxInstances = maxOf(maxInstances, machines.size + ids.size)
        ids.forEach { id ->
            val rented = Rented(id, op.group, clock.now)
            machines[id] = rented
            val bootDurationS = (catalog[op.group.type]?.bootS ?: 10.0) * (0.6 + random.nextDouble()) * bootFactor
            if (random.nextDouble() >= bootFailureShare) clock.after(bootDurationS) { boot(rented) }
        }
        return CloudResult.Rented(ids)
    }

    /** Adds [count] machines of [group] that no controller has rented; each boots [bootS] seconds from now. */
    fun addRunning(group: GroupKey, count: Int, bootS: () -> Double) = repeat(count) {
        val rented = Rented("i-%06d".format(nextMachineNumber++), group, clock.now)
        machines[rented.id] = rented
        maxInstances = maxOf(maxInstances, machines.size)
        clock.after(bootS()) { boot(rented) }
    }

    /** Starts the worker of [rented] unless the machine was deleted while it booted. */
    private fun boot(rented: Rented) {
        if (machines[rented.id] === rented) rented.worker = newWorker(rented.id, rented.group)
    }

    /** Makes the machine [id] fail: its worker ends, and the cloud lists the machine as failed. */
    fun fail(id: String) {
        val rented = machines[id] ?: return
        rented.worker?.die()
        rented.failed = true
    }
}

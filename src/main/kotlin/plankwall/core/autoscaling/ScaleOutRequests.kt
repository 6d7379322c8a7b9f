package plankwall.core.autoscaling

import org.slf4j.LoggerFactory
import plankwall.core.state.BootingMachine
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.model.GroupKey
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.FleetRecord
import plankwall.wire.StoredScaleOut

/**
 * The requests for machines that the cloud has not answered yet. Each is stored before it is sent, and sent under the
 * same name until it is answered, so that a new leader neither loses a request nor has it executed twice.
 */
internal class ScaleOutRequests(
    private val ctx: Context,
    private val store: LeaderStore,
    private val fleet: Fleet,
    private val state: AutoscalerState,
) {
    private val log = LoggerFactory.getLogger("autoscaler")
    private val pending = LinkedHashMap<String, PendingScaleOut>()
    private val requestedAt = HashMap<GroupKey?, Double>()
    private val noCapacityUntil = HashMap<GroupKey, Double>()
    private var lastNumber = 0L

    private class PendingScaleOut(val request: StoredScaleOut) {
        var isStored = false
        var isSending = false
        var nextAttemptAt = 0.0
    }

    /** All requests that are not answered, in the order in which they were made, as they are stored. */
    val stored: List<StoredScaleOut> get() = pending.values.map { it.request }

    /** When machines of [group] were last requested, in seconds of the steady clock. */
    fun lastRequestedAt(group: GroupKey?): Double = requestedAt[group] ?: Machine.NEVER

    /** Whether the cloud may be asked for machines of [group] now. */
    fun mayRequest(group: GroupKey): Boolean = (noCapacityUntil[group] ?: 0.0) <= ctx.now

    /** Whether the cloud had less of [group] than was last asked for; that holds until it has answered again. */
    fun wasShortOf(group: GroupKey): Boolean = ctx.now < (noCapacityUntil[group] ?: Machine.NEVER) + NO_CAPACITY_S

    /** Whether the cloud may be asked for [group] and might have been for more than [seconds]. */
    fun mayRequestSince(group: GroupKey, seconds: Double): Boolean = ctx.now > (noCapacityUntil[group] ?: 0.0) + seconds

    /** Takes over the requests that an earlier leader stored: they may have been sent. */
    fun restore(requests: List<StoredScaleOut>) {
        requests.forEach { pending[it.request] = PendingScaleOut(it).apply { isStored = true } }
        if (pending.isNotEmpty()) log.info("scale-out requests recovered count={}", pending.size)
    }

    /** Makes requests for [count] machines of [group], on behalf of [jobsWaiting] jobs. */
    fun add(group: GroupKey, count: Int, jobsWaiting: Int) {
        var left = count
        while (left > 0 && pending.size < MAX_PENDING) {
            val part = minOf(left, MAX_MACHINES_PER_REQUEST)
            left -= part
            val name = "r-${store.epoch}-${++lastNumber}"
            pending[name] = PendingScaleOut(StoredScaleOut(name, group, part))
            requestedAt[group] = ctx.now
            state.dirty = true
            log.info(
                "scale out requested group={} count={} request={} jobs_waiting={} machines_arriving={}",
                group,
                part,
                name,
                jobsWaiting,
                fleet.arrivals.size,
            )
        }
    }

    /** What [record] holds is in the store, so it may be sent. */
    fun onStored(record: FleetRecord) = record.rentals.forEach { pending[it.request]?.isStored = true }

    /** Sends what is stored and neither under way nor to be retried later. */
    fun send() {
        for (entry in pending.values.toList()) {
            if (!entry.isStored || entry.isSending || ctx.now < entry.nextAttemptAt) continue
            entry.isSending = true
            val request = entry.request
            ctx.out.cloud(CloudOp.Rent(request.request, request.group, request.count)) { result ->
                if (store.active) onAnswer(entry, result)
            }
        }
    }

    private fun onAnswer(entry: PendingScaleOut, result: CloudResult) {
        entry.isSending = false
        val request = entry.request
        when (result) {
            is CloudResult.Rented -> {
                close(request)
                log.info(
                    "scale out answered group={} requested={} granted={} machines={}",
                    request.group,
                    request.count,
                    result.machines.size,
                    result.machines,
                )
                if (result.machines.size < request.count) noCapacityUntil[request.group] = ctx.now + NO_CAPACITY_S
                result.machines.forEach { addArrival(it, request.group) }
            }
            CloudResult.NoCapacity, CloudResult.Malformed -> {
                close(request)
                noCapacityUntil[request.group] = ctx.now + NO_CAPACITY_S
                log.info("scale out refused group={} requested={} result={}", request.group, request.count, result)
            }
            // It may have been executed: the same name is sent again until it is answered.
            else -> entry.nextAttemptAt = ctx.now + MIN_RETRY_S + ctx.random.nextDouble()
        }
    }

    private fun close(request: StoredScaleOut) {
        pending.remove(request.request)
        state.dirty = true
    }

    private fun addArrival(id: String, group: GroupKey) {
        if (fleet.isGone(id)) return
        val machine = fleet.machine(id)
        fleet.describe(machine, group, "")
        if (machine.registered || machine.returning) return
        fleet.arrivals[id] = BootingMachine(id, group, ctx.now, ctx.time.wallMs)
    }

    private companion object {
        const val NO_CAPACITY_S = 20.0
        const val MIN_RETRY_S = 0.5
        const val MAX_PENDING = 20

        /** The protocol's bound. */
        const val MAX_MACHINES_PER_REQUEST = 50
    }
}

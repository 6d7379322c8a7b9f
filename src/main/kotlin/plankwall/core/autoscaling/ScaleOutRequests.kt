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
 * The requests for machines that the cloud has not answered yet. Each is stored before it is sent, and is sent again
 * under the same name until it is answered, so that a new leader neither loses a request nor has it executed twice.
 */
internal class ScaleOutRequests(
    private val ctx: Context,
    private val store: LeaderStore,
    private val fleet: Fleet,
    private val autoscalerState: AutoscalerState,
) {
    private val log = LoggerFactory.getLogger("autoscaler")

    /** The unanswered requests, by name, in the order in which they were made. */
    private val pending = LinkedHashMap<String, PendingScaleOut>()
    private val requestedAtByGroup = HashMap<GroupKey?, Double>()

    /**
     * By group, the time until which no machine is requested because the cloud lacked capacity, in seconds of the
     * monotonic clock.
     */
    private val noCapacityUntil = HashMap<GroupKey, Double>()
    private var lastNumber = 0L

    private class PendingScaleOut(val request: StoredScaleOut) {
        var isStored = false
        var isSending = false
        var nextAttemptAt = 0.0
    }

    /** All unanswered requests in the form in which they are stored, in the order in which they were made. */
    val unanswered: List<StoredScaleOut> get() = pending.values.map { it.request }

    /**
     * The time at which this leader last requested machines of [group], in seconds of the monotonic clock;
     * [Machine.NEVER] if it did not.
     */
    fun lastRequestedAt(group: GroupKey?): Double = requestedAtByGroup[group] ?: Machine.NEVER

    /** Whether machines of [group] may be requested now: the cloud did not report a shortage a short time ago. */
    fun mayRequest(group: GroupKey): Boolean = (noCapacityUntil[group] ?: 0.0) <= ctx.now

    /**
     * Whether the cloud recently granted fewer machines of [group] than were requested. That stays true for some time
     * after [mayRequest] allows a new attempt, so that its answer can arrive.
     */
    fun wasShortOf(group: GroupKey): Boolean = ctx.now < (noCapacityUntil[group] ?: Machine.NEVER) + NO_CAPACITY_S

    /** Whether [mayRequest] has been true for [group] for more than [seconds]. */
    fun hasBeenRequestableFor(group: GroupKey, seconds: Double): Boolean =
        ctx.now > (noCapacityUntil[group] ?: 0.0) + seconds

    /** Restores the unanswered requests that an earlier leader stored. It may have sent them already. */
    fun restore(requests: List<StoredScaleOut>) {
        requests.forEach { pending[it.request] = PendingScaleOut(it).apply { isStored = true } }
        if (pending.isNotEmpty()) log.info("scale-out requests recovered count={}", pending.size)
    }

    /**
     * Adds requests for [count] machines of [group], or for fewer if too many requests are unanswered. [jobsWaiting] is
     * the number of jobs that they are meant for, which is only logged.
     */
    fun add(group: GroupKey, count: Int, jobsWaiting: Int) {
        var remaining = count
        while (remaining > 0 && pending.size < MAX_PENDING_REQUESTS) {
            val countInRequest = minOf(remaining, MAX_MACHINES_PER_REQUEST)
            remaining -= countInRequest
            val requestName = "r-${store.epoch}-${++lastNumber}"
            pending[requestName] = PendingScaleOut(StoredScaleOut(requestName, group, countInRequest))
            requestedAtByGroup[group] = ctx.now
            autoscalerState.isDirty = true
            log.info(
                "scale out requested group={} count={} request={} jobs_waiting={} machines_arriving={}",
                group,
                countInRequest,
                requestName,
                jobsWaiting,
                fleet.bootingMachines.size,
            )
        }
    }

    /** Marks the requests in [record], which is stored now, as ready to be sent. */
    fun onStored(record: FleetRecord) = record.scaleOutRequests.forEach { pending[it.request]?.isStored = true }

    /** Sends the stored requests that are not under way and whose next attempt is due. */
    fun send() {
        for (entry in pending.values.toList()) {
            if (!entry.isStored || entry.isSending || ctx.now < entry.nextAttemptAt) continue
            entry.isSending = true
            val request = entry.request
            ctx.out.cloud(CloudOp.Rent(request.request, request.group, request.count)) { result ->
                if (store.isTermActive) onAnswer(entry, result)
            }
        }
    }

    private fun onAnswer(entry: PendingScaleOut, result: CloudResult) {
        entry.isSending = false
        val request = entry.request
        when (result) {
            is CloudResult.Rented -> {
                removeAnswered(request)
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
                removeAnswered(request)
                noCapacityUntil[request.group] = ctx.now + NO_CAPACITY_S
                log.info("scale out refused group={} requested={} result={}", request.group, request.count, result)
            }
            // The request may have been executed, so it is sent again under the same name until it is answered.
            else -> entry.nextAttemptAt = ctx.now + MIN_RETRY_DELAY_S + ctx.random.nextDouble()
        }
    }

    private fun removeAnswered(request: StoredScaleOut) {
        pending.remove(request.request)
        autoscalerState.isDirty = true
    }

    private fun addArrival(id: String, group: GroupKey) {
        if (fleet.isGone(id)) return
        val machine = fleet.machine(id)
        fleet.describe(machine, group, "")
        if (machine.isRegistered || machine.isBeingScaledIn) return
        fleet.bootingMachines[id] = BootingMachine(id, group, ctx.now, ctx.time.wallMs)
    }

    private companion object {
        /** The time for which no machine of a group is requested after the cloud lacked capacity for it, in seconds. */
        const val NO_CAPACITY_S = 20.0

        /** The shortest delay before a request is sent again; up to a second is added at random. */
        const val MIN_RETRY_DELAY_S = 0.5

        /** The maximum number of unanswered requests at a time. */
        const val MAX_PENDING_REQUESTS = 20

        /** The limit of the cloud's protocol. */
        const val MAX_MACHINES_PER_REQUEST = 50
    }
}

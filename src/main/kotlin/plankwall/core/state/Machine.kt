package plankwall.core.state

import plankwall.model.GroupKey
import plankwall.model.MachineIndex
import plankwall.model.MachineType
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.wire.HeartbeatSize
import plankwall.wire.ListedState

/**
 * The leader's state of one machine, from its heartbeats, the cloud's list of machines and the placements on it. Times
 * are in seconds of the monotonic clock, or [NEVER].
 *
 * [Fleet] creates it and sets the fields that describe it; [SchedulerState] adds and removes placements; the heartbeat
 * handler sets the fields that heartbeats show, the autoscaler those that concern scale-in, and the placement code
 * what is held for gangs and the [reservations]. The store only holds which machines are to be scaled in; the
 * autoscaler writes that.
 *
 * @property index the number of the machine, which is only valid as long as this node leads
 * @property id the name that the cloud gave it
 */
class Machine(val index: MachineIndex, val id: String) {
    /**
     * The machine's type and zone and whether it is a spot machine; null until a heartbeat or the cloud's list states
     * them.
     */
    var group: GroupKey? = null

    /** The machine type; null until [group] and the catalog are known. */
    var type: MachineType? = null
        set(value) {
            field = value
            free = capacity - used
            imageCache.type = value
        }

    /** The address of the machine's worker, from its heartbeats or the cloud's list; empty if unknown. */
    var address: String = ""

    /** The machine's address in the cloud's list; empty until the machine was listed. */
    var listedAddress: String = ""

    /** The session of the worker's newest heartbeat. A worker begins a new session whenever its lease has expired. */
    var session = 0L

    /** The highest sequence number within [session] of a heartbeat or of an answer to a direct command. */
    var statusSeq = 0L

    /**
     * The sequence number of the newest heartbeat alone. [statusSeq] may be higher: the answer to a direct command may
     * overtake a heartbeat that is in flight.
     */
    var heartbeatSeq = 0L

    /** The highest fencing token that this leader has sent to the worker; 0 stands for the leader's epoch. */
    var token = 0L

    /** The time at which the worker was last sent a direct command only to make it send a heartbeat at once. */
    var heartbeatRequestedAt = NEVER

    /** The time at which the last heartbeat arrived that was not out of date. */
    var lastHeartbeatAt = NEVER

    /** The time at which the heartbeat before the last one arrived. */
    var previousHeartbeatAt = NEVER

    /**
     * The time at which the last heartbeat arrived that this leader answered or may have answered; the worker's lease
     * starts then at the latest.
     */
    var lastAnsweredAt = NEVER

    /** Whether the worker has seen this leader's fencing token, so that no older leader can command it any more. */
    var hasSeenToken = false

    /** The time at which this leader first learned of the machine. */
    var firstSeen = 0.0

    /** The time at which the machine's first heartbeat reached this leader. */
    var registeredAt = NEVER

    /** The machine's state in the cloud's list; null until the machine was listed. */
    var listed: ListedState? = null

    /** The time at which the cloud's list was first found to lack the machine; [NEVER] while the list contains it. */
    var missingSince = NEVER

    /** Whether the machine is to be scaled in. It gets no more tasks from then on. */
    var isBeingScaledIn = false

    /** Whether the store holds that the machine is to be scaled in. */
    var isScaleInStored = false

    /** Whether the call to the cloud that deletes the machine is in progress. */
    var isDeletionPending = false

    /** The time at which the cloud reclaims the machine according to its termination notice. */
    var terminationNoticeAt = NEVER

    /** The time since which the autoscaler has found the machine's capacity to be unneeded. */
    var unneededSince = NEVER

    /**
     * The number of unfinished tasks in the last heartbeat that match no placement here. Until they are gone, the free
     * capacity is unknown and the machine gets no more tasks.
     */
    var unknownTasks = 0

    /** The placements that count against the machine's capacity, by job and task (see [keyOf]). */
    val placements = LinkedHashMap<Long, Placement>()

    /**
     * The most bytes that the exited tasks of the last status take in the worker's heartbeats. Heartbeats repeat an
     * exit until the worker is ordered to forget it, which happens only once the end of the task is stored.
     */
    var exitBytes = 0

    /** The most bytes that the [placements] take in the worker's heartbeats. */
    private var placementBytes = 0

    /**
     * The bytes left in the worker's heartbeat for the entries of further tasks; negative if it may be too long
     * already. Hundreds of small tasks, along with as many exits, come close to what [HeartbeatSize] allows.
     */
    val freeHeartbeatBytes: Int get() = HeartbeatSize.MAX_TASKS_BYTES - placementBytes - exitBytes

    /** The resources that the [placements] use. */
    var used = Resources.NONE
        private set

    /** The images on the machine and the fetches in progress. */
    val imageCache = ImageCache()

    /** The indices of the jobs of which a task failed on this machine since a task last succeeded on it. */
    val failedJobs = HashSet<Int>()

    /**
     * The time from which on the last failed task on this machine can have started. A task that started later and runs
     * well shows that the machine starts tasks.
     */
    var lastFailedStartAt = NEVER

    /** Whether failures of tasks on this machine are attributed to the machine, which then gets no more tasks. */
    var faulty = false

    /** The time before which no task is placed on this machine. */
    var blockedUntil = NEVER

    /** The time at which this leader last announced its fencing token to the worker by a direct command. */
    var lastAnnouncedAt = NEVER

    /**
     * Whether the worker's session ended although its heartbeats were answered, and the worker has not yet shown that
     * it receives this leader's answers.
     */
    var isNotReceivingAnswers = false

    /**
     * Whether placements that were never commanded were released here. Nothing more is placed before the next
     * heartbeat.
     */
    var awaitingHeartbeat = false

    /** Whether the start or the stop of a task on this machine may still have to be sent. */
    var hasUnsentOrders = false

    /** The session that the worker named when it refused an announcement of the fencing token; 0 if it refused none. */
    var announceSession = 0L

    /** The capacity that preemption is freeing on this machine. */
    val reservations = ArrayList<Reservation>()

    /**
     * Whether the rest of the fleet could do its work as well. New tasks avoid it, so that it becomes empty and can be
     * scaled in.
     */
    var surplus = false

    /**
     * The capacity that the last placement pass held for gangs that are not complete yet. Any object other than
     * [Resources.NONE] itself means that the machine is held, even where none of its capacity is free yet.
     */
    var heldCapacity = Resources.NONE
        private set

    /** The space in the worker's heartbeat that the last placement pass held for gangs, in bytes. */
    private var heldHeartbeatBytes = 0

    /** The part of [freeHeartbeatBytes] that is not held for gangs. */
    val unheldHeartbeatBytes: Int get() = freeHeartbeatBytes - heldHeartbeatBytes

    /** Holds [capacity] for a gang, and [heartbeatBytes] of the worker's heartbeat. */
    fun hold(capacity: Resources, heartbeatBytes: Int) {
        heldCapacity += capacity
        heldHeartbeatBytes += heartbeatBytes
    }

    /** Ends what was held for gangs. */
    fun endHold() {
        heldCapacity = Resources.NONE
        heldHeartbeatBytes = 0
    }

    /**
     * Capacity for one task of [job], which other jobs may not use before [until], in seconds of the monotonic clock.
     */
    class Reservation(val job: Job, val until: Double)

    /** Whether a heartbeat of it has reached this leader. */
    val isRegistered: Boolean get() = registeredAt > NEVER

    private val capacity: Resources get() = type?.capacity ?: Resources.NONE

    /** The resources that service tasks take. Unlike all other tasks, these run until they are cancelled. */
    private var usedByServices = Resources.NONE

    /** The share of the machine's capacity that service tasks take. */
    val serviceShare: Double get() = usedByServices.dominantShareOf(capacity)

    /**
     * The capacity that no placement takes. It is kept up to date rather than computed on demand, because a placement
     * pass reads it for every machine and every task.
     */
    var free: Resources = Resources.NONE
        private set

    /** Adds [placement], which takes its resources from the free capacity. */
    fun add(placement: Placement) {
        placements[keyOf(placement)] = placement
        placementBytes += placement.job.heartbeatBytesPerTask
        val need = placement.job.spec.need
        used += need
        if (placement.job.spec.shape == Shape.SERVICE) usedByServices += need
        free = capacity - used
    }

    /** Removes [placement] and frees its resources; does nothing if it is not on this machine. */
    fun remove(placement: Placement) {
        if (placements.remove(keyOf(placement)) == null) return
        placementBytes -= placement.job.heartbeatBytesPerTask
        val need = placement.job.spec.need
        used -= need
        if (placement.job.spec.shape == Shape.SERVICE) usedByServices -= need
        free = capacity - used
    }

    /** Returns the placement of [task] of [job] on this machine, or null if there is none. */
    fun placement(job: Job, task: Int): Placement? = placements[keyOf(job, task)]

    private fun keyOf(placement: Placement) = keyOf(placement.job, placement.task)

    private fun keyOf(job: Job, task: Int) = (job.index.value.toLong() shl TASK_BITS) or task.toLong()

    companion object {
        /** A time before any time of the monotonic clock, for what has not happened. */
        const val NEVER = -1e12

        /** The number of bits that the task takes in the keys of [placements]. */
        private const val TASK_BITS = 20
    }
}

package plankwall.core.state

import plankwall.model.GroupKey
import plankwall.model.ImageIndex
import plankwall.model.MachineIndex
import plankwall.model.MachineType
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.wire.ListedState

/**
 * What the leader knows of one machine, by its heartbeats, the cloud's list and what was placed on it. Times are in
 * seconds of the steady clock, or [NEVER].
 *
 * [Fleet] creates it and sets what describes it; [SchedulerState] adds and removes placements; the heartbeat handler
 * sets what heartbeats show, the autoscaler what concerns its return, placement [held] and [reservations]. Of all this
 * only the return is stored, by the autoscaler.
 */
class Machine(val ix: MachineIndex, val id: String) {
    /** Type, zone and purchase kind; null until a heartbeat or the list named them. */
    var group: GroupKey? = null

    /** Null until [group] and the catalog are known. */
    var type: MachineType? = null
        set(value) {
            field = value
            free = capacity - used
        }

    /** Where its worker is reached, by its heartbeats or the list; empty if unknown. */
    var address: String = ""

    /** Where the cloud says it is; empty until it was listed. */
    var listedAddress: String = ""

    /** The session of its newest status. */
    var session = 0L

    /** The sequence number of its newest status within [session]. */
    var seq = 0L

    /** Of the newest heartbeat. Answers to direct commands also raise [seq], and may overtake a heartbeat under way. */
    var heartbeatSeq = 0L

    /** The fencing token that this worker has been shown, or 0 for the leader's epoch. */
    var token = 0L

    /** When it was last sent a direct command only so that it sends a heartbeat at once. */
    var lastWokenAt = NEVER

    /** When its last status arrived. */
    var lastHeard = NEVER

    /** When the last heartbeat arrived that this leader answered, or may have: its lease starts there at the latest. */
    var lastAnswered = NEVER

    /** The worker has seen this leader's token, so no older leader can command it any more. */
    var confirmed = false

    /** When this leader first came across its name. */
    var firstSeen = 0.0

    /** When its first heartbeat arrived here. */
    var registeredAt = NEVER

    /** What the cloud's list says of it; null until it was listed. */
    var listed: ListedState? = null

    /** Since when the list no longer names it. */
    var missingSince = NEVER

    /** To be scaled in. Never gets work again. */
    var returning = false

    /** The store holds that it is [returning]. */
    var returnStored = false

    /** The call to the cloud that deletes it is under way. */
    var deleting = false

    /** When the cloud takes it away, as announced. */
    var noticeAt = NEVER

    /** Since when its capacity is not needed. */
    var unneededSince = NEVER

    /** How many tasks it reports that no leader placed there; while there are any, its free capacity is unknown. */
    var unknownTasks = 0

    /** What counts against its capacity, by job and task. */
    val placements = LinkedHashMap<Long, Placement>()

    /** Ended tasks that its heartbeats still show: an exit is cleared only once the end is stored. */
    var exitsShown = 0

    /**
     * Whether its heartbeat can take one task more. A heartbeat may have 64 KiB: beyond that no node could read it, and
     * the worker would lose its lease with all that is on it. Hundreds of small tasks of a sweep, as many exits beside
     * them, come near.
     */
    val fitsReport: Boolean get() = placements.size + exitsShown < MAX_TASKS_IN_HEARTBEAT

    /** What its [placements] take. */
    var used = Resources.NONE
        private set

    /**
     * Images expected in its cache, least recently used first, by [ImageIndex]. Reading an entry does not count as use.
     */
    val images = LinkedHashMap<Int, CachedImage>()

    /** When the fetches under way should be over. */
    var fetchBusyUntil = 0.0

    /** Indices of jobs of which a task failed here and none ran well since. */
    val failedJobs = HashSet<Int>()

    /** Failures here are attributed to the machine: it gets no work. */
    var faulty = false

    /** No task is placed here before. */
    var blockedUntil = NEVER

    /** When it was last shown this leader's token directly. */
    var lastAnnounced = NEVER

    /**
     * Its session ended though its heartbeats were answered, and it has not shown since that answers of this leader
     * arrive.
     */
    var unresponsive = false

    /** Placements that were never commanded were taken back: nothing more is placed before the next heartbeat. */
    var awaitingHeartbeat = false

    /** A start or a stop here has not been commanded yet. */
    var unsent = false

    /** The session that a refused direct command named. */
    var announceSession = 0L

    /** Capacity that is being freed here by preemption. */
    val reservations = ArrayList<Reservation>()

    /** The fleet could do without it, so it is to run empty. */
    var surplus = false

    /**
     * Capacity that the last placement pass held for gangs that are not complete yet. Anything but [Resources.NONE]
     * itself says that the machine is held, even where nothing of it is free yet.
     */
    var held = Resources.NONE

    /** Capacity freed for [job], which other jobs may not use before [until]. */
    class Reservation(val job: Job, val until: Double)

    /** An image of [gb] gigabytes that should be in the cache at [readyAt]. */
    class CachedImage(val gb: Double, val readyAt: Double)

    /** A heartbeat of it has arrived here. */
    val registered: Boolean get() = registeredAt > NEVER

    private val capacity: Resources get() = type?.capacity ?: Resources.NONE

    /** Accelerators and processors taken by replicas, which stay, unlike all other tasks. */
    private var lasting = Resources.NONE

    /** The part of the machine that replicas take. */
    val lastingShare: Double get() = lasting.partOf(capacity)

    /** Kept rather than computed: a placement pass reads it for every machine and every task. */
    var free: Resources = Resources.NONE
        private set

    /** Counts [placement] against the capacity. */
    fun add(placement: Placement) {
        placements[keyOf(placement)] = placement
        val need = placement.job.spec.need
        used += need
        if (placement.job.spec.shape == Shape.SERVICE) lasting += need
        free = capacity - used
    }

    /** Gives back the capacity of [placement], if it is here. */
    fun remove(placement: Placement) {
        if (placements.remove(keyOf(placement)) == null) return
        val need = placement.job.spec.need
        used -= need
        if (placement.job.spec.shape == Shape.SERVICE) lasting -= need
        free = capacity - used
    }

    /** The placement of [task] here, or null. */
    fun placement(job: Job, task: Int): Placement? = placements[keyOf(job, task)]

    private fun keyOf(placement: Placement) = keyOf(placement.job, placement.task)

    private fun keyOf(job: Job, task: Int) = (job.ix.value.toLong() shl TASK_BITS) or task.toLong()

    /** Seconds until [image] would be on the machine if a task needing it were placed now. */
    fun fetchWait(image: ImageIndex, gb: Double, now: Double): Double {
        val cached = images[image.value]
        if (cached != null) return (cached.readyAt - now).coerceAtLeast(0.0)
        return (fetchBusyUntil - now).coerceAtLeast(0.0) + fetchS(gb)
    }

    /** Seconds by which fetching [image] too would delay, on average, the tasks that wait here for other images. */
    fun fetchDelay(image: ImageIndex, gb: Double, now: Double): Double {
        if (images[image.value] != null) return 0.0
        return minOf((fetchBusyUntil - now).coerceAtLeast(0.0), fetchS(gb)) * 0.5
    }

    private fun fetchS(gb: Double): Double = type?.fetchS(gb) ?: gb

    /** A task that needs [image] was placed here, so the worker will fetch it unless it is cached. */
    fun scheduleFetch(image: ImageIndex, gb: Double, now: Double) {
        val cached = images[image.value]
        if (cached == null) fetchBusyUntil = now + fetchWait(image, gb, now)
        recordImage(image, gb, cached?.readyAt ?: fetchBusyUntil)
    }

    /** [image] is in use and should be cached at [readyAt]; the least recently used ones make room for it. */
    fun recordImage(image: ImageIndex, gb: Double, readyAt: Double) {
        images.remove(image.value)
        images[image.value] = CachedImage(gb, readyAt)
        var total = images.values.sumOf { it.gb }
        val cache = type?.cacheGb ?: return
        val oldest = images.entries.iterator()
        while (total > cache && oldest.hasNext()) {
            val entry = oldest.next()
            if (entry.key == image.value) continue
            total -= entry.value.gb
            oldest.remove()
        }
    }

    companion object {
        /** Before any time of the steady clock. */
        const val NEVER = -1e12

        /** Bits for the task in the key of [placements]. */
        private const val TASK_BITS = 20

        /** 64 KiB of entries of some 90 bytes each, the longest names, attempts and causes considered. */
        private const val MAX_TASKS_IN_HEARTBEAT = 700
    }
}

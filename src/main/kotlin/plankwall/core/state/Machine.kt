package plankwall.core.state

import plankwall.model.GroupKey
import plankwall.model.ImageIndex
import plankwall.model.MachineIndex
import plankwall.model.MachineType
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.wire.ListedState

/** What the leader knows of one machine. */
class Machine(val ix: MachineIndex, val id: String) {
    var group: GroupKey? = null
    var type: MachineType? = null
        set(value) {
            field = value
            free = capacity - used
        }
    var address: String = ""

    /** Where the cloud says it is; empty until it was listed. */
    var listedAddress: String = ""

    /** Newest word: ([session], [seq]). */
    var session = 0L
    var seq = 0L

    /** The newest check-in. Answers to direct commands also raise [seq], and may overtake a check-in under way. */
    var heartbeatSeq = 0L

    /** The token that this worker has been shown, or 0 for the leader's epoch. */
    var token = 0L
    var lastWokenAt = NEVER
    var lastHeard = NEVER

    /**
     * When the last report arrived that this leader answered, or may have: the lease counts from there at the latest.
     */
    var lastAnswered = NEVER

    /** The worker has seen this leader's token, so nobody older can command it any more. */
    var confirmed = false
    var firstSeen = 0.0
    var registeredAt = NEVER
    var listed: ListedState? = null
    var missingSince = NEVER

    /** Stored as being given back. Never gets work again. */
    var returning = false
    var returnStored = false
    var deleting = false
    var noticeAt = NEVER
    var unneededSince = NEVER

    /** Tasks on the machine that nobody placed; while there are any, its room is not known. */
    var unknownTasks = 0
    val placements = LinkedHashMap<Long, Placement>()

    /** Tasks that ended here and that its reports still show: an exit is cleared only once its end is stored. */
    var exitsShown = 0

    /**
     * Whether its report can take one task more. A report may have 64 KiB: beyond that no node could read it, and the
     * worker would lose its lease with all that is on it. Hundreds of small tasks of a sweep, as many exits beside
     * them, come near.
     */
    val fitsReport: Boolean get() = placements.size + exitsShown < MOST_IN_REPORT
    var used = Resources.NONE
        private set

    /**
     * Images believed cached, least recently used first, with the moment they should be there. Looking is not using.
     */
    val images = LinkedHashMap<Int, CachedImage>()
    var fetchBusyUntil = 0.0
    val failedJobs = HashSet<Int>()
    var faulty = false
    var blockedUntil = NEVER
    var lastAnnounced = NEVER

    /** Its session ended though its reports were answered, and it has not shown since that it hears this leader. */
    var unresponsive = false

    /** What was placed here in vain was taken back: nothing more is placed before it is heard again. */
    var awaitingHeartbeat = false

    /** A start or a stop here has not been commanded yet. */
    var unsent = false

    /** The session that a refused direct command named. */
    var announceSession = 0L

    /** Room that is being made here by stopping others. */
    val reservations = ArrayList<Reservation>()

    /** The fleet could do without it: to be left to run empty. */
    var surplus = false

    /**
     * Room that the last placing pass kept for gangs that are not complete yet. Anything but [Resources.NONE] itself
     * says that the machine is kept, even where nothing of it is free yet.
     */
    var held = Resources.NONE

    class Reservation(val job: Job, val until: Double)

    class CachedImage(val gb: Double, val readyAt: Double)

    val registered: Boolean get() = registeredAt > NEVER

    private val capacity: Resources get() = type?.capacity ?: Resources.NONE

    /** Accelerators and processors taken by replicas, which stay, unlike all other tasks. */
    private var lasting = Resources.NONE

    /** The part of the machine that replicas take. */
    val lastingShare: Double get() = lasting.partOf(capacity)

    /** Kept rather than computed: a placing pass looks at it for every machine and every task. */
    var free: Resources = Resources.NONE
        private set

    fun add(p: Placement) {
        placements[key(p)] = p
        used += p.job.spec.need
        if (p.job.spec.shape == Shape.SERVICE) lasting += p.job.spec.need
        free = capacity - used
    }

    fun remove(p: Placement) {
        if (placements.remove(key(p)) == null) return
        used -= p.job.spec.need
        if (p.job.spec.shape == Shape.SERVICE) lasting -= p.job.spec.need
        free = capacity - used
    }

    fun placement(job: Job, task: Int): Placement? = placements[key(job, task)]

    private fun key(p: Placement) = key(p.job, p.task)

    private fun key(job: Job, task: Int) = (job.ix.value.toLong() shl 20) or task.toLong()

    /** Seconds until [image] would be on the machine if a task needing it were placed now. */
    fun fetchWait(image: ImageIndex, gb: Double, now: Double): Double {
        val cached = images[image.value]
        if (cached != null) return (cached.readyAt - now).coerceAtLeast(0.0)
        return (fetchBusyUntil - now).coerceAtLeast(0.0) + fetchS(gb)
    }

    /** Seconds by which fetching [image] too would delay, on the whole, those who wait here for other images. */
    fun fetchDelay(image: ImageIndex, gb: Double, now: Double): Double {
        if (images[image.value] != null) return 0.0
        return minOf((fetchBusyUntil - now).coerceAtLeast(0.0), fetchS(gb)) * 0.5
    }

    private fun fetchS(gb: Double): Double = type?.fetchS(gb) ?: gb

    fun scheduleFetch(image: ImageIndex, gb: Double, now: Double) {
        val cached = images[image.value]
        if (cached == null) fetchBusyUntil = now + fetchWait(image, gb, now)
        recordImage(image, gb, cached?.readyAt ?: fetchBusyUntil)
    }

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
        const val NEVER = -1e12

        /** 64 KiB of entries of some 90 bytes each, the longest names, attempts and causes considered. */
        private const val MOST_IN_REPORT = 700
    }
}

package plankwall.core.state

/**
 * What `one zone` and `spread` allow for the next task of a job, given all its tasks that are not proven gone. A task
 * on a machine of unknown zone rules out every further one. [without]: tasks to be replaced, which only a plan may
 * leave out.
 */
class ZoneConstraint(private val job: Job, without: Set<Placement> = emptySet()) {
    private val perZone = HashMap<String, Int>()
    private var unknown = false

    init {
        if (job.spec.oneZone || job.spec.spread) {
            for (p in job.placements.values) {
                if (p in without) continue
                val zone = p.machine.group?.zone
                if (zone == null) unknown = true else perZone.merge(zone, 1, Int::plus)
            }
        }
    }

    /** Whether anything can be ruled out by zone. */
    val isBinding: Boolean get() = unknown || job.spec.spread || (job.spec.oneZone && perZone.isNotEmpty())

    fun allows(m: Machine): Boolean {
        val zone = m.group?.zone ?: return false
        return allows(zone)
    }

    fun allows(zone: String): Boolean {
        if (unknown) return false
        if (job.spec.oneZone && perZone.keys.any { it != zone }) return false
        if (job.spec.spread && (perZone[zone] ?: 0) + 1 > (job.spec.tasks + 1) / 2) return false
        return true
    }

    /** Counts a task that is only imagined, for the estimate of what to rent. */
    fun addPlanned(zone: String) {
        perZone.merge(zone, 1, Int::plus)
    }
}

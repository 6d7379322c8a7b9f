package plankwall.core.state

/**
 * What `one zone` and `spread` allow for the next task of a job, given all its tasks that are not proven gone. A task
 * on a machine of unknown zone rules out every further one. [without]: tasks to be replaced, which only a plan may
 * leave out.
 */
class ZoneConstraint(private val job: Job, without: Set<Placement> = emptySet()) {
    private val tasksByZone = HashMap<String, Int>()
    private var hasUnknownZone = false

    init {
        if (job.spec.oneZone || job.spec.spread) {
            for (placement in job.placements.values) {
                if (placement in without) continue
                val zone = placement.machine.group?.zone
                if (zone == null) hasUnknownZone = true else tasksByZone.merge(zone, 1, Int::plus)
            }
        }
    }

    /** Whether anything can be ruled out by zone. */
    val isBinding: Boolean
        get() = hasUnknownZone || job.spec.spread || (job.spec.oneZone && tasksByZone.isNotEmpty())

    /** Whether the next task may go to [machine]. */
    fun allows(machine: Machine): Boolean {
        val zone = machine.group?.zone ?: return false
        return allows(zone)
    }

    /** Whether the next task may go to a machine in [zone]. */
    fun allows(zone: String): Boolean {
        if (hasUnknownZone) return false
        if (job.spec.oneZone && tasksByZone.keys.any { it != zone }) return false
        if (job.spec.spread && (tasksByZone[zone] ?: 0) + 1 > (job.spec.tasks + 1) / 2) return false
        return true
    }

    /** Counts a task that is planned and not placed, for plans and for the estimate of what to scale out. */
    fun addPlanned(zone: String) {
        tasksByZone.merge(zone, 1, Int::plus)
    }
}

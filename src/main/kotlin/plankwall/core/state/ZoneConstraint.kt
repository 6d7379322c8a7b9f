package plankwall.core.state

/**
 * The zones that the next task of [job] may go to by the rules `one zone` and `spread`, given all its tasks that are
 * not proven gone. With `spread`, no zone gets more than half of the job's tasks, rounded up. A task on a machine of
 * unknown zone rules out every zone.
 *
 * @param excluded placements that count for nothing because they are to be replaced; only a plan may leave out any
 */
class ZoneConstraint(private val job: Job, excluded: Set<Placement> = emptySet()) {
    private val tasksByZone = HashMap<String, Int>()
    private var hasUnknownZone = false

    init {
        if (job.spec.oneZone || job.spec.spread) {
            for (placement in job.placements.values) {
                if (placement in excluded) continue
                val zone = placement.machine.group?.zone
                if (zone == null) hasUnknownZone = true else tasksByZone.merge(zone, 1, Int::plus)
            }
        }
    }

    /** Whether the rules may exclude any zone. */
    val isBinding: Boolean
        get() = hasUnknownZone || job.spec.spread || (job.spec.oneZone && tasksByZone.isNotEmpty())

    /** Returns whether the next task may go to [machine]. */
    fun allows(machine: Machine): Boolean {
        val zone = machine.group?.zone ?: return false
        return allows(zone)
    }

    /** Returns whether the next task may go to a machine in [zone]. */
    fun allows(zone: String): Boolean {
        if (hasUnknownZone) return false
        if (job.spec.oneZone && tasksByZone.keys.any { it != zone }) return false
        if (job.spec.spread && (tasksByZone[zone] ?: 0) + 1 > (job.spec.tasks + 1) / 2) return false
        return true
    }

    /** Counts a task that is planned in [zone] but not placed, for plans and for the estimate of what to scale out. */
    fun addPlanned(zone: String) {
        tasksByZone.merge(zone, 1, Int::plus)
    }
}

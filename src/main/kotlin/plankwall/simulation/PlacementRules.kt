package plankwall.simulation

import plankwall.model.JobSpec
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.model.Team

/** Rules on where and when tasks may run: once, after their dependencies, where their job allows, within the quota. */
internal class PlacementRules(
    teams: List<Team>,
    private val tasks: RunningTasks,
    private val jobs: JobHistory,
    private val violations: MutableList<String>,
) {
    private val teams = teams.associateBy { it.name }

    /** Checks the start of [task] and notes that it runs. */
    fun onTaskStarted(task: String, placement: Placement, now: Double) {
        val spec = placement.spec
        val before = tasks.find(task)
        if (before != null && before.worker !== placement.worker) {
            violations.add("ran_twice: $task on ${before.worker.id} and ${placement.worker.id} at $now")
        }
        spec.dependencies.filter { !jobs.isDone(it) }.forEach {
            violations.add("too_early: $task before $it is done at $now")
        }
        checkPlace(task, placement)
        val used = tasks.put(task, placement)
        val team = teams.getValue(spec.team)
        if (team.gpusMax > 0 && used.gpus > team.gpusMax || team.cpusMax > 0 && used.cpus > team.cpusMax) {
            violations.add("quota: ${spec.team} at $now")
        }
    }

    private fun checkPlace(task: String, placement: Placement) {
        val spec = placement.spec
        val group = placement.worker.group
        val zones = tasks.ofJob(spec.id).filterKeys { it != task }.values.map { it.zone }
        val isWrongType = spec.types != null && group.type !in spec.types
        val isWrongZone = spec.zone != null && spec.zone != group.zone
        if (isWrongType || isWrongZone || group.spot && !spec.spot) violations.add("wrong_place: $task on $group")
        if (spec.oneZone && zones.any { it != group.zone }) {
            violations.add("wrong_place: $task not in the zone of its mates")
        }
        if (spec.spread && zones.count { it == group.zone } + 1 > (spec.tasks + 1) / 2) {
            violations.add("wrong_place: $task not spread")
        }
    }

    /** Whether [machine] with [free] resources could take a task of [spec], of a gang all of them. */
    fun canRun(spec: JobSpec, machine: SimulatedWorker, free: Resources): Boolean {
        val group = machine.group
        val zones = tasks.ofJob(spec.id).values.map { it.zone }
        return (spec.types == null || group.type in spec.types) &&
            (spec.zone ?: group.zone) == group.zone &&
            (spec.spot || !group.spot) &&
            (!spec.oneZone || zones.all { it == group.zone }) &&
            (!spec.spread || zones.count { it == group.zone } < (spec.tasks + 1) / 2) &&
            needOf(spec).fitsIn(free)
    }

    /** Whether the quota of the team lets a task of [spec] start, of a gang all of them. */
    fun isUnderQuota(spec: JobSpec): Boolean = teams.getValue(spec.team).allows(tasks.usedBy(spec.team) + needOf(spec))

    private fun needOf(spec: JobSpec): Resources = spec.need * (if (spec.shape == Shape.GANG) spec.tasks else 1)
}

package plankwall.simulation

import plankwall.model.JobSpec
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.model.Team

/**
 * Rules on where and when a task may run: on one machine at a time, after its dependencies are done, on a machine that
 * its job allows, and within the quota of its team.
 */
internal class PlacementRules(
    teams: List<Team>,
    private val tasks: RunningTasks,
    private val jobs: JobHistory,
    private val violations: MutableList<String>,
) {
    private val teams = teams.associateBy { it.name }

    /** Checks the start of [task] and records that it runs. */
    fun onTaskStarted(task: String, placement: Placement, now: Double) {
        val spec = placement.spec
        val previous = tasks.find(task)
        if (previous != null && previous.worker !== placement.worker) {
            violations.add("ran_twice: $task on ${previous.worker.id} and ${placement.worker.id} at $now")
        }
        spec.dependencies.filter { !jobs.isDone(it) }.forEach {
            violations.add("too_early: $task before $it is done at $now")
        }
        checkMachine(task, placement)
        val used = tasks.put(task, placement)
        val team = teams.getValue(spec.team)
        if (team.gpusMax > 0 && used.gpus > team.gpusMax || team.cpusMax > 0 && used.cpus > team.cpusMax) {
            violations.add("quota: ${spec.team} at $now")
        }
    }

    private fun checkMachine(task: String, placement: Placement) {
        val spec = placement.spec
        val group = placement.worker.group
        val zonesOfJob = tasks.placementsOf(spec.id).filterKeys { it != task }.values.map { it.zone }
        val isWrongType = spec.types != null && group.type !in spec.types
        val isWrongZone = spec.zone != null && spec.zone != group.zone
        if (isWrongType || isWrongZone || group.spot && !spec.spot) violations.add("wrong_place: $task on $group")
        if (spec.oneZone && zonesOfJob.any { it != group.zone }) {
            violations.add("wrong_place: $task is not in the zone of the other tasks of its job")
        }
        if (spec.spread && zonesOfJob.count { it == group.zone } + 1 > (spec.tasks + 1) / 2) {
            violations.add("wrong_place: $task is one of too many tasks in one zone")
        }
    }

    /** Returns whether [machine], with [free] resources left, could run one task of [spec], or all tasks of a gang. */
    fun canRun(spec: JobSpec, machine: SimulatedWorker, free: Resources): Boolean {
        val group = machine.group
        val zonesOfJob = tasks.placementsOf(spec.id).values.map { it.zone }
        return (spec.types == null || group.type in spec.types) &&
            (spec.zone ?: group.zone) == group.zone &&
            (spec.spot || !group.spot) &&
            (!spec.oneZone || zonesOfJob.all { it == group.zone }) &&
            (!spec.spread || zonesOfJob.count { it == group.zone } < (spec.tasks + 1) / 2) &&
            resourcesToStart(spec).fitsIn(free)
    }

    /** Returns whether the quota of the team lets one task of [spec] start, or all tasks of a gang. */
    fun isUnderQuota(spec: JobSpec): Boolean =
        teams.getValue(spec.team).allows(tasks.usedBy(spec.team) + resourcesToStart(spec))

    /** The resources that have to be free for a start: those of one task, or of all tasks of a gang. */
    private fun resourcesToStart(spec: JobSpec): Resources =
        spec.need * (if (spec.shape == Shape.GANG) spec.tasks else 1)
}

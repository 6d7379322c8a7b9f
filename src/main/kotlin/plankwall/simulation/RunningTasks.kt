package plankwall.simulation

import plankwall.model.JobSpec
import plankwall.model.Resources

/** The job of a running task and the worker that runs it. */
internal class Placement(val spec: JobSpec, val worker: SimulatedWorker) {
    /** The zone of the machine. */
    val zone: String get() = worker.group.zone
}

/** The tasks that run at present, by task and by job, and the resources that they use. Tasks are named `JOB/TASK`. */
internal class RunningTasks {
    private val byTask = HashMap<String, Placement>()
    private val byJob = HashMap<String, HashMap<String, Placement>>()
    private val usedByTeam = HashMap<String, Resources>()

    /** The peak of the resources that the running tasks of each team used at one time, by team name. */
    val mostUsed = HashMap<String, Resources>()

    /** The placements of all running tasks. */
    val all: Collection<Placement> get() = byTask.values

    /** Returns the placement of [task], or null if it does not run. */
    fun find(task: String): Placement? = byTask[task]

    /** Returns whether [task] runs. */
    operator fun contains(task: String): Boolean = task in byTask

    /** Returns the placements of the running tasks of the job [id], by task. */
    fun placementsOf(id: String): Map<String, Placement> = byJob[id].orEmpty()

    /** Returns whether any task of the job [id] runs. */
    fun hasTasksOf(id: String): Boolean = id in byJob

    /** Returns the resources that the running tasks of [team] use. */
    fun usedBy(team: String): Resources = usedByTeam[team] ?: Resources.NONE

    /** Records that [task] runs, replacing an earlier placement, and returns the resources that its team uses now. */
    fun put(task: String, placement: Placement): Resources {
        remove(task)
        val spec = placement.spec
        byTask[task] = placement
        byJob.getOrPut(spec.id) { HashMap() }[task] = placement
        usedByTeam.merge(spec.team, spec.need, Resources::plus)
        val used = usedByTeam.getValue(spec.team)
        mostUsed.merge(spec.team, used) { a, b ->
            Resources(maxOf(a.cpus, b.cpus), maxOf(a.gpus, b.gpus), maxOf(a.memory, b.memory))
        }
        return used
    }

    /** Records that [task] does not run any more; does nothing if it did not run. */
    fun remove(task: String) {
        val spec = (byTask.remove(task) ?: return).spec
        val tasks = byJob.getValue(spec.id)
        tasks.remove(task)
        if (tasks.isEmpty()) byJob.remove(spec.id)
        usedByTeam.merge(spec.team, spec.need, Resources::minus)
    }
}

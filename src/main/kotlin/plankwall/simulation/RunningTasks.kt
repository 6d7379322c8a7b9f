package plankwall.simulation

import plankwall.model.JobSpec
import plankwall.model.Resources

/** A task that runs on a machine. */
internal class Placement(val spec: JobSpec, val worker: SimulatedWorker) {
    val zone: String get() = worker.group.zone
}

/** The tasks that run, by task and by job, and what they use. */
internal class RunningTasks {
    private val byTask = HashMap<String, Placement>()
    private val byJob = HashMap<String, HashMap<String, Placement>>()
    private val usedByTeam = HashMap<String, Resources>()

    /** The most that the tasks of each team have used at one time. */
    val mostUsed = HashMap<String, Resources>()

    /** All running tasks. */
    val all: Collection<Placement> get() = byTask.values

    /** The placement of [task], or null where it does not run. */
    fun find(task: String): Placement? = byTask[task]

    operator fun contains(task: String): Boolean = task in byTask

    /** The running tasks of a job with their placements. */
    fun ofJob(id: String): Map<String, Placement> = byJob[id].orEmpty()

    /** Whether any task of the job runs. */
    fun isAnyOf(id: String): Boolean = id in byJob

    /** What the tasks of a team use now. */
    fun usedBy(team: String): Resources = usedByTeam[team] ?: Resources.NONE

    /** Notes that [task] runs, in place of a former placement; gives what its team uses now. */
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

    /** Notes that [task] does not run any more. */
    fun remove(task: String) {
        val spec = (byTask.remove(task) ?: return).spec
        val tasks = byJob.getValue(spec.id)
        tasks.remove(task)
        if (tasks.isEmpty()) byJob.remove(spec.id)
        usedByTeam.merge(spec.team, spec.need, Resources::minus)
    }
}

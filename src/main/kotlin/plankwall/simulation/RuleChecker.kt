package plankwall.simulation

import plankwall.model.JobSpec
import plankwall.model.Resources
import plankwall.model.Settings

/** Observes a simulated cluster from outside and records every violation of a protocol rule that it can see. */
class RuleChecker(settings: Settings) {
    /** One line for each violation: the rule, then what broke it. */
    val violations = ArrayList<String>()

    private val tasks = RunningTasks()
    private val jobs = JobHistory()
    private val placement = PlacementRules(settings.teams, tasks, jobs, violations)
    private val cancellation = CancellationRule(settings.workers.cancelS, tasks, violations)
    private val stages = StageRules(settings.workers.cancelS, jobs, cancellation, violations)
    private val progress = ProgressRules(tasks, jobs, placement, violations)

    /** How many tasks have started. */
    var starts = 0
        private set

    /** Tasks whose start was commanded after their user got the cancellation confirmed. */
    val startsAfterCancel: Int get() = cancellation.startsAfterCancel

    /** Submissions of jobs whose dependencies were all accepted, answered 422 all the same. */
    val refused: List<String> get() = stages.refused

    /** The most that the tasks of each team have used at one time. */
    val mostUsed: Map<String, Resources> get() = tasks.mostUsed

    /** From when on all faults are over: each job by itself has to be answered then, however others fare. */
    var faultsOverAt: Double by progress::faultsOverAt

    /** [task] has begun to run on [worker]. */
    fun taskStarted(task: String, spec: JobSpec, worker: SimulatedWorker, now: Double) {
        starts++
        placement.onTaskStarted(task, Placement(spec, worker), now)
        cancellation.onTaskStarted(spec.id)
        checkCancelled(now)
    }

    /** [task] does not run on [worker] any more. */
    fun taskStopped(task: String, worker: SimulatedWorker, now: Double) {
        if (tasks.find(task)?.worker === worker) tasks.remove(task)
        checkCancelled(now)
    }

    /** [task] has run to its end. */
    fun taskCompleted(task: String) = jobs.completeTask(task)

    /** A worker took the command to start a task of [id]. */
    fun startCommanded(id: String, now: Double) = cancellation.onStartCommanded(id, now)

    /** Records the tasks that run longer after a confirmed cancellation than they may. */
    fun checkCancelled(now: Double) = cancellation.check(now)

    /** Whether all tasks of the job have completed. */
    fun isDone(id: String): Boolean = jobs.isDone(id)

    /** Whether a submission of the job was accepted. */
    fun isAccepted(id: String): Boolean = id in jobs.accepted

    /** `done` or `withdrawn` once an answer said so. */
    fun finalStageOf(id: String): String? = jobs.finalStage(id)

    /**
     * A submission was answered. [stage]: of the job in the answer; [askedAt]: when the request was sent, which decides
     * which of two answers of different nodes is the older one.
     */
    fun submissionAnswered(
        spec: JobSpec,
        status: Int,
        now: Double = 0.0,
        stage: String? = null,
        askedAt: Double = now,
    ) = stages.onSubmissionAnswered(spec, status, stage, now, askedAt)

    /** A status request was answered. */
    fun statusAnswered(id: String, status: Int, stage: String?, now: Double, askedAt: Double = now) =
        stages.onStatusAnswered(id, status, stage, now, askedAt)

    /** From here on the job may be called withdrawn, even if the request's own answer was lost. */
    fun cancelRequested(id: String) = jobs.requestCancel(id)

    /** A cancellation was answered with a stage of the job. */
    fun cancelAnswered(id: String, stage: String, now: Double, askedAt: Double = now) =
        stages.onStage(id, stage, now, askedAt)

    /** A poll of the job was answered in time or not. */
    fun pollEnded(id: String, answered: Boolean, now: Double) = progress.onPollEnded(id, answered, now)

    /**
     * Once all faults are over, no job may wait while one of [machines] has room for it and its team is under its
     * quota.
     * [machines]: the healthy and reachable ones, with the capacity of each.
     */
    fun checkStalled(machines: Map<SimulatedWorker, Resources>, now: Double) = progress.checkStalled(machines, now)
}

package plankwall.simulation

import plankwall.model.JobSpec
import plankwall.model.Resources
import plankwall.model.Settings

/**
 * Observes a simulated cluster from outside and records every violation of a protocol rule that it can see. The workers
 * and users of the cluster report each event to it. Times are in seconds of virtual time; tasks are named `JOB/TASK`.
 */
class RuleChecker(settings: Settings) {
    /** The violations found so far, one line each: the name of the rule, a colon, then what broke it. */
    val violations = ArrayList<String>()

    /**
     * Answers of a job's earlier stage to requests that were sent before another answer told its final stage, and that
     * arrived after it. They break no rule, since the requests overlap, but a stricter reading would count them.
     */
    val answersOvertaken = ArrayList<String>()

    private val tasks = RunningTasks()
    private val jobs = JobHistory()
    private val placement = PlacementRules(settings.teams, tasks, jobs, violations)
    private val cancellation = CancellationRule(settings.workers.cancelS, tasks, violations)
    private val stages = StageRules(settings.workers.cancelS, jobs, cancellation, violations, answersOvertaken)
    private val progress = ProgressRules(tasks, jobs, placement, violations)

    /** The number of task starts so far; a task that starts again counts again. */
    var starts = 0
        private set

    /**
     * The number of start commands that a worker executed after the cancellation of the job was confirmed to its user.
     */
    val startsAfterCancel: Int get() = cancellation.startsAfterCancel

    /** Ids of the jobs whose submission was answered 422 although all of their dependencies had been accepted. */
    val wronglyRefusedJobs: List<String> get() = stages.wronglyRefusedJobs

    /** The peak of the resources that the running tasks of each team used at one time, by team name. */
    val mostUsed: Map<String, Resources> get() = tasks.mostUsed

    /**
     * The time from which on no fault is injected any more. From then on polls of every single job have to be answered;
     * before it, an outage in which no poll of any job is answered is tolerated.
     */
    var faultsOverAt: Double by progress::faultsOverAt

    /** Checks and records that [task] of [spec] has begun to run on [worker]. */
    fun taskStarted(task: String, spec: JobSpec, worker: SimulatedWorker, now: Double) {
        starts++
        placement.onTaskStarted(task, Placement(spec, worker), now)
        cancellation.onTaskStarted(spec.id)
        checkCancelled(now)
    }

    /** Records that [task] does not run on [worker] any more, for whatever reason. */
    fun taskStopped(task: String, worker: SimulatedWorker, now: Double) {
        if (tasks.find(task)?.worker === worker) tasks.remove(task)
        checkCancelled(now)
    }

    /** Records that [task] has run to its end. */
    fun taskCompleted(task: String) = jobs.completeTask(task)

    /** Records that a worker executed the command to start a task of the job [id]. */
    fun startCommanded(id: String, now: Double) = cancellation.onStartCommanded(id, now)

    /** Records a violation for each task that still runs too long after the confirmed cancellation of its job. */
    fun checkCancelled(now: Double) = cancellation.check(now)

    /** Returns whether the job [id] was accepted and all of its tasks have completed. */
    fun isDone(id: String): Boolean = jobs.isDone(id)

    /** Returns whether a submission of the job [id] was accepted. */
    fun isAccepted(id: String): Boolean = id in jobs.accepted

    /** Returns the final stage of the job [id], `done` or `withdrawn`, or null while no answer has reported one. */
    fun finalStageOf(id: String): String? = jobs.finalStage(id)

    /**
     * Checks the answer to a submission. [stage] is the job's stage in the answer, null if it has none; [askedAt] is
     * the time at which the request was sent, which decides which of two answers of different nodes is the older one.
     */
    fun submissionAnswered(
        spec: JobSpec,
        status: Int,
        now: Double = 0.0,
        stage: String? = null,
        askedAt: Double = now,
    ) = stages.onSubmissionAnswered(spec, status, stage, now, askedAt)

    /** Checks the answer to a status request; the parameters are those of [submissionAnswered]. */
    fun statusAnswered(id: String, status: Int, stage: String?, now: Double, askedAt: Double = now) =
        stages.onStatusAnswered(id, status, stage, now, askedAt)

    /**
     * Records that a user cancels the job [id]: answers may call it withdrawn from now on, even if this one gets lost.
     */
    fun cancelRequested(id: String) = jobs.requestCancel(id)

    /** Checks the answer to a cancellation, which reported [stage] for the job [id]. */
    fun cancelAnswered(id: String, stage: String, now: Double, askedAt: Double = now) =
        stages.onStage(id, stage, now, askedAt)

    /** Records whether a poll of the job [id] was [answered] in time. */
    fun pollEnded(id: String, answered: Boolean, now: Double) = progress.onPollEnded(id, answered, now)

    /**
     * Checks, once all faults are over, that no job keeps waiting while one of [machines] has enough free resources for
     * it and its team is under its quota. [machines] holds the healthy and reachable machines with the capacity of
     * each.
     */
    fun checkStalled(machines: Map<SimulatedWorker, Resources>, now: Double) = progress.checkStalled(machines, now)
}

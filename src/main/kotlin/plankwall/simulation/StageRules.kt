package plankwall.simulation

import plankwall.model.JobSpec

/** Rules on the answers that users get: no accepted job is forgotten, and a final stage never changes. */
internal class StageRules(
    private val cancelS: Double,
    private val jobs: JobHistory,
    private val cancellation: CancellationRule,
    private val violations: MutableList<String>,
    private val answersOvertaken: MutableList<String>,
) {
    /** Ids of the jobs whose submission was answered 422 although all of their dependencies had been accepted. */
    val wronglyRefusedJobs = ArrayList<String>()

    /** Checks the answer to a submission, see [RuleChecker.submissionAnswered]. */
    fun onSubmissionAnswered(spec: JobSpec, status: Int, stage: String?, now: Double, askedAt: Double) {
        val id = spec.id
        if (status == 422 && spec.dependencies.all { it in jobs.accepted }) wronglyRefusedJobs.add(id)
        if (status == 200 || status == 201) {
            jobs.accept(spec, now)
            if (stage != null) onStage(id, stage, now, askedAt)
        }
        val isRefused = id in jobs.accepted && (status == 400 || status == 422)
        if (isRefused || status == 404 && jobs.isAcceptedAt(id, askedAt)) violations.add("forgotten: $id got $status")
    }

    /**
     * Checks [stage], reported for the job [id], against earlier answers: a final stage stays in every later answer.
     */
    fun onStage(id: String, stage: String, now: Double, askedAt: Double) {
        val isFinal = stage == "done" || stage == "withdrawn"
        val knownStage = jobs.finalStage(id)
        if (knownStage != null && knownStage != stage) {
            // Two different final stages contradict each other, whichever request was sent first.
            if (isFinal || askedAt >= jobs.finalStageAt(id)) {
                violations.add("went_back: $id from $knownStage to $stage")
            } else {
                val times = "asked at %.3f s, told at %.3f s".format(askedAt, now)
                answersOvertaken.add("$id: $stage, $times, after $knownStage at %.3f s".format(jobs.finalStageAt(id)))
            }
        }
        checkCancelRequested(id, stage)
        if (stage == "done" && id in jobs.accepted && !jobs.isDone(id)) violations.add("not_done: $id")
        if (stage == "withdrawn") cancellation.onConfirmed(id, now)
        if (isFinal) jobs.setFinalStage(id, stage, now)
    }

    private fun checkCancelRequested(id: String, stage: String) {
        if (stage != "withdrawn" || jobs.isCancelRequested(id)) return
        if (jobs.requiredJobs(id).none { jobs.isCancelRequested(it) }) {
            violations.add("went_back: $id called withdrawn although no user cancelled it or a job that it depends on")
        }
    }

    /** Checks the answer to a status request, see [RuleChecker.statusAnswered]. */
    fun onStatusAnswered(id: String, status: Int, stage: String?, now: Double, askedAt: Double) {
        if (status == 404 && jobs.isAcceptedAt(id, askedAt)) violations.add("forgotten: $id")
        if (status != 200) return
        if (id !in jobs.accepted) {
            violations.add("invented: $id")
            return
        }
        if (stage != null) onStage(id, stage, now, askedAt)
        if (stage == "pending" || stage == "running") checkRequiredJobs(id, stage, now)
        cancellation.check(now)
    }

    /** Checks that the job [id] is withdrawn [cancelS] after a job that it depends on was. */
    private fun checkRequiredJobs(id: String, stage: String, now: Double) = jobs.requiredJobs(id).forEach { required ->
        val confirmedAt = cancellation.confirmedAt(required)?.takeIf { jobs.finalStage(required) == "withdrawn" }
        if (confirmedAt != null && now > maxOf(confirmedAt, jobs.acceptedAt(id) ?: now) + cancelS) {
            violations.add("orphaned: $id is $stage after $required was withdrawn")
        }
    }
}

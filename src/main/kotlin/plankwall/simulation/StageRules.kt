package plankwall.simulation

import plankwall.model.JobSpec

/** Rules on what users are answered: no accepted job is forgotten, and a final stage stays. */
internal class StageRules(
    private val cancelS: Double,
    private val jobs: JobHistory,
    private val cancellation: CancellationRule,
    private val violations: MutableList<String>,
) {
    /** Submissions of jobs whose dependencies were all accepted, answered 422 all the same. */
    val refused = ArrayList<String>()

    fun onSubmissionAnswered(spec: JobSpec, status: Int, stage: String?, now: Double, askedAt: Double) {
        val id = spec.id
        if (status == 422 && spec.dependencies.all { it in jobs.accepted }) refused.add(id)
        if (status == 200 || status == 201) {
            jobs.accept(spec, now)
            if (stage != null) onStage(id, stage, now, askedAt)
        }
        val isRefused = id in jobs.accepted && (status == 400 || status == 422)
        if (isRefused || status == 404 && jobs.isAcceptedBy(id, askedAt)) violations.add("forgotten: $id got $status")
    }

    /** A final stage stays so in every later answer. */
    fun onStage(id: String, stage: String, now: Double, askedAt: Double) {
        val before = jobs.finalStage(id)
        // Two different final stages contradict each other whenever they were asked for.
        val isFinal = stage == "done" || stage == "withdrawn"
        if (before != null && before != stage && (isFinal || askedAt >= jobs.finalStageAt(id))) {
            violations.add("went_back: $id from $before to $stage")
        }
        if (stage == "withdrawn" &&
            !jobs.isCancelRequested(id) &&
            jobs.requiredJobs(id).none { jobs.isCancelRequested(it) }
        ) {
            violations.add("went_back: $id called withdrawn by nobody's wish")
        }
        if (stage == "done" && id in jobs.accepted && !jobs.isDone(id)) violations.add("not_done: $id")
        if (stage == "withdrawn") cancellation.onConfirmed(id, now)
        if (isFinal) jobs.setFinalStage(id, stage, now)
    }

    fun onStatusAnswered(id: String, status: Int, stage: String?, now: Double, askedAt: Double) {
        if (status == 404 && jobs.isAcceptedBy(id, askedAt)) violations.add("forgotten: $id")
        if (status != 200) return
        if (id !in jobs.accepted) {
            violations.add("invented: $id")
            return
        }
        if (stage != null) onStage(id, stage, now, askedAt)
        if (stage == "pending" || stage == "running") checkRequiredJobs(id, stage, now)
        cancellation.check(now)
    }

    private fun checkRequiredJobs(id: String, stage: String, now: Double) = jobs.requiredJobs(id).forEach { required ->
        val confirmedAt = cancellation.confirmedAt(required)?.takeIf { jobs.finalStage(required) == "withdrawn" }
        if (confirmedAt != null && now > maxOf(confirmedAt, jobs.acceptedAt(id) ?: now) + cancelS) {
            violations.add("orphaned: $id is $stage after $required was withdrawn")
        }
    }
}

package plankwall.core.api

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.model.JobStage
import plankwall.model.JobView

/**
 * The jobs that this node knows to be over or cancelled, because it has read so or told a user so. Such a job keeps its
 * stage for ever, so every answer about a job passes [latest] in the step in which it is sent: an answer that is older
 * than what this node knows is replaced, and one that contradicts it is refused.
 *
 * Keeps the [MAX_JOBS] jobs used last, some 200 bytes each. Nothing of it is stored.
 */
class FinalStages(private val ctx: Context) {
    /** What is known of a job, by [source]; [revision] is that of the record, or 0 for an answer. */
    private class Known(val view: JobView, val source: String, val revision: Long, val knownAt: Double) {
        var isTold = false
    }

    private val log = LoggerFactory.getLogger("api")

    private val knownByJob = object : LinkedHashMap<String, Known>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Known>): Boolean = size > MAX_JOBS
    }

    /** The number of answers and records that contradicted a known final stage since this process started. */
    var contradictions = 0
        private set

    /** The number of answers that were replaced since this process started, because the job had ended meanwhile. */
    var replacedAnswers = 0
        private set

    /**
     * Records that a record of the store, of the kind [source] and written at [revision], shows the final state [view]
     * of its job.
     */
    fun recordRead(view: JobView, source: String, revision: Long) {
        val known = knownByJob[view.id]
        when {
            known == null -> knownByJob[view.id] = Known(view, source, revision, ctx.now)
            known.view.stage != view.stage -> reportContradiction(known, view, source, revision)
        }
    }

    /**
     * Returns what the user who asked at [askedAt] is to be told instead of [view]: [view] itself, or the final state
     * of the job if the job has ended since [view] was read. Returns null if [view] contradicts what this node knew
     * before the request; the user must then not be told anything.
     */
    fun latest(view: JobView, askedAt: Double): JobView? {
        val known = knownByJob[view.id]
        return when {
            known == null -> view.also { if (it.stage.isFinal) recordTold(Known(it, ANSWER, 0L, ctx.now)) }
            known.view.stage == view.stage -> view.also { recordTold(known) }
            view.stage.isFinal || known.knownAt < askedAt -> null.also { reportContradiction(known, view, ANSWER, 0L) }
            else -> known.view.also { replace(known, view) }
        }
    }

    private fun recordTold(known: Known) {
        if (known.isTold) return
        known.isTold = true
        knownByJob[known.view.id] = known
        log.info(
            "final stage told job={} stage={} source=\"{}\" revision={}",
            known.view.id,
            known.view.stage,
            known.source,
            known.revision,
        )
    }

    private fun replace(known: Known, view: JobView) {
        replacedAnswers++
        recordTold(known)
        log.info(
            "older answer replaced job={} older={} stage={} source=\"{}\" revision={} count={}",
            view.id,
            view.stage,
            known.view.stage,
            known.source,
            known.revision,
            replacedAnswers,
        )
    }

    private fun reportContradiction(known: Known, view: JobView, source: String, revision: Long) {
        contradictions++
        log.error(
            "final stage contradicted job={} known={} source=\"{}\" revision={} known_for_s={} told={} " +
                "now={} now_source=\"{}\" now_revision={} count={}",
            view.id,
            known.view.stage,
            known.source,
            known.revision,
            ctx.now - known.knownAt,
            known.isTold,
            view.stage,
            source,
            revision,
            contradictions,
        )
    }

    private val JobStage.isFinal: Boolean get() = this == JobStage.DONE || this == JobStage.CANCELLED

    private companion object {
        const val MAX_JOBS = 10_000

        /** The source of a stage that a user was told and that no record read here shows. */
        const val ANSWER = "answer"
    }
}

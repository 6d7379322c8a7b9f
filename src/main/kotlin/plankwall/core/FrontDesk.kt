package plankwall.core

import org.slf4j.LoggerFactory
import plankwall.model.Catalog
import plankwall.model.JobSpec
import plankwall.model.JobStage
import plankwall.model.JobView
import plankwall.model.Shape
import plankwall.wire.FinalRecord
import plankwall.wire.Guard
import plankwall.wire.JobCodec
import plankwall.wire.JobProgress
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.StateCodec
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/**
 * Serves users on any node, straight from the state service: every answer rests on what the store says after the
 * request came, final states aside, which never change.
 */
class FrontDesk(
    private val ctx: Context,
    private val leadership: Leadership,
    private val market: Market,
    private val progress: (String) -> JobProgress?,
    onOver: (String) -> Unit,
) {
    private val log = LoggerFactory.getLogger("front")
    private var open = 0
    private val ledger = JobLedger(ctx, onOver)

    /** A node's part of the common rate. The users do not come in equal parts, so it is more than the equal one. */
    private val calls = Budget(ctx.time, ctx.settings.state.rps * PART_OF_RATE / ctx.settings.nodes * UNEVEN)

    fun isLive(id: String): Boolean = ledger.withdrawn(id) != null
    private val finals = object : LinkedHashMap<String, FinalRecord>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, FinalRecord>): Boolean = size > MAX_FINALS
    }

    private inner class Visit(val request: RequestId) {
        private var answered = false

        fun answer(status: Int, body: ByteArray, retryAfterS: Int? = null) {
            if (answered) return
            answered = true
            open--
            ctx.out.answer(request, status, body, retryAfterS)
        }

        fun tooMany() = answer(429, JobCodec.error("too many requests"), 1)

        fun later(why: String) = answer(503, JobCodec.error(why), 1)

        fun accepted(status: Int, view: JobView) = answer(status, JobCodec.accepted(view))
    }

    /** Admits a request if there is room and the store can be reached; else it is answered at once. */
    private fun visit(request: RequestId, stateCalls: Int): Visit? {
        open++
        val visit = Visit(request)
        if (open > MAX_OPEN || !calls.take(stateCalls)) {
            log.info("request refused: {} open, {} calls of the state service left", open - 1, calls.available().toInt())
            visit.tooMany()
            return null
        }
        if (!leadership.stateReachable) {
            visit.later("the state service can't be reached")
            return null
        }
        return visit
    }

    fun submit(request: RequestId, spec: JobSpec) {
        finals[spec.id]?.let {
            open++
            Visit(request).accepted(200, finalView(spec.id, it))
            return
        }
        val visit = visit(request, 1) ?: return
        val catalog = market.catalog
        // Judged once, by the catalogue of this moment: one that arrives during the look-up must not turn
        // "not known yet" into "can never run".
        val refusal = if (catalog == null) null else judge(spec, catalog)
        if (catalog == null || refusal != null) {
            // What was accepted once stays known, whatever is thought of it now: look before refusing.
            lookUp(spec.id) { found ->
                when (found) {
                    is Found.Unreadable -> visit.later("the state service can't be read")
                    is Found.Final -> visit.accepted(200, finalView(spec.id, found.record))
                    is Found.Live -> visit.accepted(200, liveView(found))
                    Found.Absent ->
                        if (refusal == null) visit.later("the machine types are not known yet") else visit.answer(422, JobCodec.error(refusal))
                }
            }
            return
        }
        val pageSize = JobBook.pageSize(ctx.settings.state.valueKb)
        val record = JobRecord(spec, ctx.time.wallMs, 0, pageSize)
        if (StateCodec.sizeOf(record) > ctx.settings.state.valueKb * 1024) {
            visit.answer(400, JobCodec.error("the description is too long to be kept"))
            return
        }
        val guards = listOf(Guard(Keys.job(spec.id), 0), Guard(Keys.final(spec.id), 0))
        ctx.out.state(StateOp.Txn(guards, listOf(Write.Put(Keys.job(spec.id), record)))) { result ->
            when (result) {
                is StateResult.Committed -> {
                    log.info("job {} accepted: {} tasks of {} for {}", spec.id, spec.tasks, spec.jobClass, spec.team)
                    visit.accepted(201, JobView(spec.id, JobStage.PENDING, 0, 0))
                }
                // Known already, or an earlier unanswered try of the same submission went through.
                is StateResult.Conflict -> answerKnown(visit, spec.id)
                else -> visit.later("the state service did not confirm")
            }
        }
    }

    private fun answerKnown(visit: Visit, id: String) = lookUp(id) { found ->
        when (found) {
            is Found.Final -> visit.accepted(200, finalView(id, found.record))
            is Found.Live -> visit.accepted(200, liveView(found))
            else -> visit.later("the state service can't be read")
        }
    }

    /** Why the job can never run, or null. */
    private fun judge(spec: JobSpec, catalog: Catalog): String? {
        val team = ctx.settings.teams.find { it.name == spec.team } ?: return "unknown team"
        if (catalog.fitting(spec).isEmpty()) return "a task fits no allowed machine type"
        val atOnce = if (spec.shape == Shape.ARRAY) spec.need else spec.need * spec.tasks
        return if (team.allows(atOnce)) null else "needs more than the team's limit"
    }

    fun tick() = ledger.tick()

    fun show(request: RequestId, id: String) {
        finals[id]?.let {
            ctx.out.answer(request, 200, JobCodec.view(finalView(id, it)))
            return
        }
        val visit = visit(request, 0) ?: return
        ledger.whenFresh { fresh ->
            val withdrawn = ledger.withdrawn(id)
            when {
                !fresh -> visit.later("the state service can't be read")
                withdrawn == null -> showOver(visit, id)
                withdrawn -> visit.answer(200, JobCodec.view(JobView(id, JobStage.WITHDRAWN, 0, 0)))
                else -> visit.answer(200, JobCodec.view(progressOf(id)))
            }
        }
    }

    /** A job that is not live any more, or never was. A job ends in one transaction, so its end can be read by now. */
    private fun showOver(visit: Visit, id: String) {
        val known = finals[id]
        when {
            known != null -> visit.answer(200, JobCodec.view(finalView(id, known)))
            !calls.take(1) -> visit.tooMany()
            else -> readFinal(id) { found ->
                when (found) {
                    is Found.Final -> visit.answer(200, JobCodec.view(finalView(id, found.record)))
                    Found.Absent -> visit.answer(404, JobCodec.error("no such job"))
                    else -> visit.later("the state service can't be read")
                }
            }
        }
    }

    private fun progressOf(id: String): JobView {
        val p = progress(id) ?: return JobView(id, JobStage.PENDING, 0, 0)
        return JobView(id, if (p.running > 0) JobStage.RUNNING else JobStage.PENDING, p.done, p.running)
    }

    fun withdraw(request: RequestId, id: String) {
        finals[id]?.let {
            open++
            Visit(request).accepted(200, finalView(id, it))
            return
        }
        val visit = visit(request, 2) ?: return
        tryWithdraw(visit, id, WITHDRAW_TRIES)
    }

    private fun tryWithdraw(visit: Visit, id: String, tries: Int) {
        lookUp(id) { found ->
            when (found) {
                is Found.Unreadable -> visit.later("the state service can't be read")
                is Found.Final -> visit.accepted(200, finalView(id, found.record))
                Found.Absent -> visit.answer(404, JobCodec.error("no such job"))
                is Found.Live -> if (found.record.withdrawnMs > 0) {
                    visit.accepted(200, liveView(found))
                } else {
                    val changed = found.record.copy(withdrawnMs = ctx.time.wallMs)
                    val txn = StateOp.Txn(listOf(Guard(Keys.job(id), found.version)), listOf(Write.Put(Keys.job(id), changed)))
                    ctx.out.state(txn) { result ->
                        when {
                            result is StateResult.Committed -> {
                                log.info("job {} withdrawn by its user", id)
                                visit.accepted(200, JobView(id, JobStage.WITHDRAWN, 0, 0))
                            }
                            result is StateResult.Conflict && tries > 1 -> tryWithdraw(visit, id, tries - 1)
                            else -> visit.later("the state service did not confirm")
                        }
                    }
                }
            }
        }
    }

    private sealed interface Found {
        data object Unreadable : Found

        data object Absent : Found

        class Live(val record: JobRecord, val version: Long) : Found

        class Final(val record: FinalRecord) : Found
    }

    /**
     * Reads the live record, then the final one. A job moves from the first to the second in one transaction, so one
     * that is in neither when read in this order had not been accepted when the first read was made.
     */
    private fun lookUp(id: String, then: (Found) -> Unit) = ctx.out.state(StateOp.Get(Keys.job(id))) { live ->
        val item = (live as? StateResult.Item)?.item
        val record = item?.value as? JobRecord
        when {
            live !is StateResult.Item -> then(Found.Unreadable)
            item != null && record != null -> then(Found.Live(record, item.version))
            else -> readFinal(id, then)
        }
    }

    private fun readFinal(id: String, then: (Found) -> Unit) = ctx.out.state(StateOp.Get(Keys.final(id))) { final ->
        val over = (final as? StateResult.Item)?.item?.value as? FinalRecord
        if (over != null) finals[id] = over
        then(if (final !is StateResult.Item) Found.Unreadable else if (over != null) Found.Final(over) else Found.Absent)
    }

    private fun finalView(id: String, f: FinalRecord) = JobView(id, f.stage, f.done, 0)

    private fun liveView(found: Found.Live): JobView {
        val stage = if (found.record.withdrawnMs > 0) JobStage.WITHDRAWN else JobStage.PENDING
        return JobView(found.record.spec.id, stage, 0, 0)
    }

    private companion object {
        const val MAX_OPEN = 200
        const val PART_OF_RATE = 0.3
        const val UNEVEN = 2.0
        const val MAX_FINALS = 5_000
        const val WITHDRAW_TRIES = 3
    }
}

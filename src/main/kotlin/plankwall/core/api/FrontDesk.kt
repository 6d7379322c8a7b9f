package plankwall.core.api

import org.slf4j.LoggerFactory
import plankwall.core.election.Leadership
import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Budget
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Decision
import plankwall.core.statemachine.RequestId
import plankwall.core.statemachine.Visitor
import plankwall.core.store.StoreLimits
import plankwall.model.Catalog
import plankwall.model.JobFacts
import plankwall.model.JobSpec
import plankwall.model.JobStage
import plankwall.model.JobView
import plankwall.model.Shape
import plankwall.model.factsFor
import plankwall.wire.AccessKeys
import plankwall.wire.FinalRecord
import plankwall.wire.Guard
import plankwall.wire.JobCodec
import plankwall.wire.JobProgress
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.Ownership
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
    keepFacts: Boolean = false,
) {
    private val log = LoggerFactory.getLogger("front")
    private var open = 0
    private var nextShare = 0.0
    private var lastUnable = 0
    private val ledger = JobLedger(ctx, keepFacts, leadership.cancellations, onOver)
    private val finder = JobFinder(ctx, ledger)
    private val valueBytes = (ctx.settings.stateTight.valueKb * 1024).toInt()

    /**
     * A node's part of the common rate. The users do not come in equal parts, so it is more than the equal one. They
     * are divided among the nodes that have the state service: where only one has, all come to it.
     */
    private val calls = Budget(ctx.time, rateAmong(ctx.settings.nodes))

    private fun rateAmong(nodes: Int): Double = ctx.settings.state.rps * PART_OF_RATE / nodes * UNEVEN

    fun isLive(id: String): Boolean = ledger.isLive(id)

    private fun begin(request: RequestId, visitor: Visitor?, patienceS: Double = Visit.CHANGE_S): Visit {
        open++
        return Visit(ctx, request, visitor, patienceS, leadership.picture::onlyOthersHaveStore) { open-- }
    }

    private fun factsOf(record: JobRecord): JobFacts = record.spec.factsFor(record.owner)

    /** Why a submission can't be taken, whatever the store says of other jobs. */
    private class Refusal(val status: Int, val reason: String)

    /** Admits a request if there is room and the store can be reached; else it is answered at once. */
    private fun visit(
        request: RequestId,
        stateCalls: Int,
        visitor: Visitor?,
        patienceS: Double = Visit.CHANGE_S,
    ): Visit? {
        val visit = begin(request, visitor, patienceS)
        if (open > MAX_OPEN || !calls.take(stateCalls)) {
            log.info(
                "request refused: {} open, {} calls of the state service left",
                open - 1,
                calls.available().toInt(),
            )
            visit.tooMany()
            return null
        }
        if (!leadership.picture.storeReachable) {
            visit.later("the state service can't be reached")
            return null
        }
        return visit
    }

    fun submit(request: RequestId, spec: JobSpec, visitor: Visitor? = null) {
        finder.ended(spec.id)?.let {
            val visit = begin(request, visitor)
            visit.judge(Action.RESUBMIT, spec.id, it.facts)?.let { allowed ->
                visit.accepted(allowed, 200, finalView(spec.id, it))
            }
            return
        }
        val visit = visit(request, 1, visitor) ?: return
        admit(visit, spec, SUBMIT_TRIES)
    }

    private fun admit(visit: Visit, spec: JobSpec, tries: Int) {
        val verdict = visit.visitor?.judge(Action.SUBMIT, spec.factsFor(visit.visitor.name))
        val allowed = Allowed(Action.SUBMIT, spec.id, verdict)
        if (verdict?.allowed == false) {
            // Who may not submit it may still ask again after one that was accepted.
            finder.lookUp(spec.id) { found ->
                when (found) {
                    is Found.Live, is Found.Final -> answerKnown(visit, spec.id, found)
                    Found.Absent -> visit.told(allowed, 403, JobCodec.error("you may not submit ${spec.id}"))
                    Found.Unreadable -> visit.unread()
                }
            }
            return
        }
        val owned = visit.visitor?.let { Ownership(it.name, verdict?.withdrawOnRevoke == true) }
        val record = JobRecord(spec, ctx.time.wallMs, 0, StoreLimits.pageSize(ctx.settings.stateTight.valueKb), owned)
        // Judged once, by the catalogue of this moment: one that arrives during the look-up must not turn
        // "not known yet" into "can never run".
        val catalog = market.catalog
        val refusal = when {
            catalog == null -> Refusal(503, "the machine types are not known yet")
            StateCodec.sizeOf(record) > valueBytes -> Refusal(400, TOO_LONG)
            else -> judge(spec, catalog)?.let { Refusal(422, it) }
        }
        if (refusal !=
            null
        ) {
            refuse(visit, allowed, refusal)
        } else {
            whenAccepted(visit, allowed, spec) { store(visit, allowed, record, tries) }
        }
    }

    /** What was accepted once stays known, whatever is thought of it now: looked up before it is refused. */
    private fun refuse(visit: Visit, allowed: Allowed, refusal: Refusal) = finder.lookUp(allowed.job) { found ->
        when {
            found != Found.Absent -> answerKnown(visit, allowed.job, found)
            refusal.status == 503 -> visit.later(refusal.reason)
            else -> visit.told(allowed, refusal.status, JobCodec.error(refusal.reason))
        }
    }

    /**
     * Goes on once every job that [spec] names is known to have been accepted. This node's copy may be behind another
     * node's acceptance, so "never accepted" is said only after reads that began later than the request: of the live
     * jobs, shared with all who wait, and of the ends of those that are not among them.
     */
    private fun whenAccepted(visit: Visit, allowed: Allowed, spec: JobSpec, then: () -> Unit) {
        if (finder.unheardOf(spec.dependencies).isEmpty()) {
            ifVisible(visit, allowed, spec, emptyList(), then)
            return
        }
        ledger.whenFresh { fresh ->
            val names = finder.unheardOf(spec.dependencies)
            when {
                !fresh -> visit.unread()
                !calls.takeOrBorrow(names.size) -> visit.tooMany()
                else -> finder.readEnds(names) { without ->
                    if (without == null) visit.unread() else ifVisible(visit, allowed, spec, without, then)
                }
            }
        }
    }

    /**
     * Waiting for a job tells when and how it ends, so it takes the right to see it. The other way round nothing is
     * asked: whoever lets a job wait for another's accepts that it is withdrawn with it. [absent]: those never
     * accepted.
     */
    private fun ifVisible(visit: Visit, allowed: Allowed, spec: JobSpec, absent: List<String>, then: () -> Unit) {
        val visitor = visit.visitor
        if (visitor != null) {
            val hidden = spec.dependencies.map {
                it to visitor.judge(Action.SHOW, factsOf(it))
            }.find { !it.second.allowed }
            if (hidden != null) {
                val denied =
                    Allowed(
                        Action.SUBMIT,
                        spec.id,
                        hidden.second.copy(rule = "awaits ${hidden.first}: ${hidden.second.rule}"),
                    )
                visit.told(denied, 403, JobCodec.error("awaits: you may not show ${hidden.first}"))
                return
            }
        }
        if (absent.isEmpty()) {
            then()
        } else {
            refuse(
                visit,
                allowed,
                Refusal(422, "awaits: ${absent.first()} was never accepted"),
            )
        }
    }

    private fun factsOf(id: String): JobFacts? = finder.ended(id)?.facts ?: ledger.factsOf(id)

    private fun store(visit: Visit, allowed: Allowed, record: JobRecord, tries: Int) {
        val spec = record.spec
        val guards = listOf(Guard(Keys.job(spec.id), 0), Guard(Keys.final(spec.id), 0))
        val txn = StateOp.Txn(guards, listOf(Write.Put(Keys.job(spec.id), record)))
        change(visit, allowed, 201, txn) { result ->
            when {
                result is StateResult.Committed -> {
                    log.info("job {} accepted: {} tasks of {} for {}", spec.id, spec.tasks, spec.jobClass, spec.team)
                    if (spec.dependencies.isNotEmpty()) log.info("job {} waits for {}", spec.id, spec.dependencies)
                    visit.answer(201, JobCodec.accepted(JobView(spec.id, JobStage.PENDING, 0, 0)))
                }
                replaced(result) -> if (tries >
                    1
                ) {
                    admit(visit, spec, tries - 1)
                } else {
                    visit.later("the rights change too often")
                }
                // Known already, or an earlier unanswered try of the same submission went through.
                result is StateResult.Conflict -> finder.lookUp(spec.id) { answerKnown(visit, spec.id, it) }
                result == StateResult.Rejected -> {
                    log.warn(
                        "job {} refused for good by the state service: {} bytes",
                        spec.id,
                        StateCodec.sizeOf(record),
                    )
                    // Its size is looked at before the guards: an earlier try may have been accepted while larger
                    // values were.
                    refuse(visit, allowed, Refusal(400, TOO_LONG))
                }
                else -> visit.later("the state service did not confirm")
            }
        }
    }

    /** Stores what was allowed; with the decision, where there is one. */
    private fun change(visit: Visit, allowed: Allowed, status: Int, txn: StateOp.Txn, then: (StateResult) -> Unit) {
        if (visit.visitor == null || allowed.verdict == null) {
            ctx.out.state(txn, then)
        } else {
            visit.visitor.change(Decision(allowed.action, allowed.job, allowed.verdict, status), txn, then)
        }
    }

    /** The rights that allowed it were replaced before it was stored: it has to be judged anew. */
    private fun replaced(result: StateResult): Boolean =
        result is StateResult.Conflict && AccessKeys.HEAD in result.failed

    private fun answerKnown(visit: Visit, id: String, found: Found) {
        when (found) {
            is Found.Final -> visit.judge(Action.RESUBMIT, id, found.record.facts)?.let {
                visit.accepted(it, 200, finalView(id, found.record))
            }
            is Found.Live -> visit.judge(Action.RESUBMIT, id, factsOf(found.record))?.let {
                answerLive(visit, it, id, found.record)
            }
            else -> visit.unread()
        }
    }

    /**
     * The state of a live job, which another node may already have called withdrawn for the sake of one that it needs.
     */
    private fun answerLive(visit: Visit, allowed: Allowed, id: String, record: JobRecord) {
        when {
            record.withdrawnMs > 0 -> visit.accepted(allowed, 200, withdrawnView(id))
            record.spec.dependencies.isEmpty() -> visit.accepted(allowed, 200, JobView(id, JobStage.PENDING, 0, 0))
            else -> ledger.whenFresh { fresh ->
                when {
                    !fresh -> visit.unread()
                    !ledger.isLive(id) -> finder.readFinal(id) {
                        if (it is Found.Final) answerKnown(visit, id, it) else visit.unread()
                    }
                    else -> settle(visit, id) { withdrawn ->
                        visit.accepted(
                            allowed,
                            200,
                            if (withdrawn) withdrawnView(id) else JobView(id, JobStage.PENDING, 0, 0),
                        )
                    }
                }
            }
        }
    }

    /** Why the job can never run, or null. */
    private fun judge(spec: JobSpec, catalog: Catalog): String? {
        val team = ctx.settings.teams.find { it.name == spec.team } ?: return "unknown team"
        val fitting = catalog.fitting(spec)
        if (fitting.isEmpty()) return "a task fits no allowed machine type"
        // Tasks of an array may run one after another, those of the others can't.
        val zones = if (spec.oneZone || spec.zone != null) 1 else fitting.flatMap { it.zones }.distinct().size
        if (spec.spread &&
            spec.shape != Shape.ARRAY &&
            spec.tasks > 1 &&
            zones < 2
        ) {
            return "its tasks may not share the only zone that they may have"
        }
        val atOnce = if (spec.shape == Shape.ARRAY) spec.need else spec.need * spec.tasks
        return if (team.allows(atOnce)) null else "needs more than the team's limit"
    }

    fun tick() {
        ledger.tick()
        if (ctx.now < nextShare) return
        nextShare = ctx.now + 1.0
        // Silent peers may serve all the same; only those that say they can't leave their part to others.
        val unable = leadership.picture.fresh().count { !it.stateReachable }
        if (unable == lastUnable) return
        lastUnable = unable
        calls.setRate(rateAmong((ctx.settings.nodes - unable).coerceAtLeast(1)))
    }

    fun show(request: RequestId, id: String, visitor: Visitor? = null) {
        finder.ended(id)?.let {
            showFinal(begin(request, visitor), id, it)
            return
        }
        val visit = visit(request, 0, visitor, Visit.LOOK_S) ?: return
        ledger.whenFresh { fresh ->
            when {
                !fresh -> visit.unread()
                !ledger.isLive(id) -> showOver(visit, id)
                else -> visit.judge(Action.SHOW, id, ledger.factsOf(id))?.let { allowed ->
                    settle(visit, id) { withdrawn ->
                        visit.told(allowed, 200, JobCodec.view(if (withdrawn) withdrawnView(id) else progressOf(id)))
                    }
                }
            }
        }
    }

    private fun showFinal(visit: Visit, id: String, record: FinalRecord) {
        visit.judge(Action.SHOW, id, record.facts)?.let { visit.told(it, 200, JobCodec.view(finalView(id, record))) }
    }

    /**
     * Says whether the live job [id] is withdrawn. That follows from the records of the jobs it needs, so no node has
     * to wait for the leader to have written it; but where one of them is over and nobody here knows how, that is read
     * first.
     */
    private fun settle(visit: Visit, id: String, then: (withdrawn: Boolean) -> Unit) {
        val names = finder.unsettled(id)
        if (names.isNotEmpty() && !calls.takeOrBorrow(names.size)) {
            visit.tooMany()
            return
        }
        finder.readEnds(names) { without ->
            if (without == null) {
                visit.unread()
            } else {
                finder.unsettled(id)
                then(ledger.isWithdrawn(id))
            }
        }
    }

    /** A job that is not live any more, or never was. A job ends in one transaction, so its end can be read by now. */
    private fun showOver(visit: Visit, id: String) {
        val known = finder.ended(id)
        when {
            known != null -> showFinal(visit, id, known)
            !calls.take(1) -> visit.tooMany()
            else -> finder.readFinal(id) { found ->
                when (found) {
                    is Found.Final -> showFinal(visit, id, found.record)
                    Found.Absent -> visit.judge(Action.SHOW, id, null)?.let {
                        visit.told(it, 404, JobCodec.error("no such job"))
                    }
                    else -> visit.unread()
                }
            }
        }
    }

    private fun progressOf(id: String): JobView {
        val waitsFor = ledger.openOf(id)
        val p = progress(id) ?: return JobView(id, JobStage.PENDING, 0, 0, waitsFor)
        return JobView(id, if (p.running > 0) JobStage.RUNNING else JobStage.PENDING, p.done, p.running, waitsFor)
    }

    fun withdraw(request: RequestId, id: String, visitor: Visitor? = null) {
        finder.ended(id)?.let {
            withdrawFinal(begin(request, visitor), id, it)
            return
        }
        val visit = visit(request, 2, visitor) ?: return
        tryWithdraw(visit, id, WITHDRAW_TRIES)
    }

    private fun withdrawFinal(visit: Visit, id: String, record: FinalRecord) {
        visit.judge(Action.WITHDRAW, id, record.facts)?.let { visit.accepted(it, 200, finalView(id, record)) }
    }

    private fun tryWithdraw(visit: Visit, id: String, tries: Int) {
        finder.lookUp(id) { found ->
            when (found) {
                is Found.Unreadable -> visit.unread()
                is Found.Final -> withdrawFinal(visit, id, found.record)
                Found.Absent -> visit.judge(Action.WITHDRAW, id, null)?.let {
                    visit.told(it, 404, JobCodec.error("no such job"))
                }
                is Found.Live -> visit.judge(Action.WITHDRAW, id, factsOf(found.record))?.let { allowed ->
                    if (found.record.withdrawnMs > 0) {
                        visit.accepted(allowed, 200, withdrawnView(id))
                    } else {
                        storeWithdrawal(visit, allowed, found, tries)
                    }
                }
            }
        }
    }

    private fun storeWithdrawal(visit: Visit, allowed: Allowed, found: Found.Live, tries: Int) {
        val id = allowed.job
        val txn = StateOp.Txn(
            listOf(Guard(Keys.job(id), found.version)),
            listOf(Write.Put(Keys.job(id), withdrawn(found.record))),
        )
        change(visit, allowed, 200, txn) { result ->
            when {
                result is StateResult.Committed -> {
                    log.info("job {} withdrawn by its user", id)
                    visit.answer(200, JobCodec.accepted(withdrawnView(id)))
                }
                result is StateResult.Conflict && tries > 1 -> tryWithdraw(visit, id, tries - 1)
                else -> visit.later("the state service did not confirm")
            }
        }
    }

    /**
     * The record as withdrawn. One that was stored while values could be larger must still be written: what only a
     * start would need is left out of it then.
     */
    private fun withdrawn(record: JobRecord): JobRecord {
        val whole = record.copy(withdrawnMs = ctx.time.wallMs)
        if (StateCodec.sizeOf(whole) <= valueBytes) return whole
        log.info(
            "job {}: its record of {} bytes is withdrawn without what a start would need",
            record.spec.id,
            StateCodec.sizeOf(whole),
        )
        return whole.copy(spec = record.spec.copy(types = null, dependencies = emptyList()))
    }

    private fun finalView(id: String, f: FinalRecord) = JobView(id, f.stage, f.done, 0)

    /** Whatever calls a job withdrawn to a user counts: those who keep its tasks have to hear of it from here too. */
    private fun withdrawnView(id: String): JobView {
        leadership.cancellations.learn(id)
        return JobView(id, JobStage.WITHDRAWN, 0, 0)
    }

    private companion object {
        const val TOO_LONG = "the description is too long to be kept"
        const val MAX_OPEN = 200
        const val PART_OF_RATE = 0.3
        const val UNEVEN = 2.0
        const val WITHDRAW_TRIES = 3
        const val SUBMIT_TRIES = 3
    }
}

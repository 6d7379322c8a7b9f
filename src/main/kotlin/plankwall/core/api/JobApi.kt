package plankwall.core.api

import org.slf4j.LoggerFactory
import plankwall.core.election.Leadership
import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Decision
import plankwall.core.statemachine.RequestId
import plankwall.core.statemachine.TokenBucket
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
class JobApi(
    private val ctx: Context,
    private val leadership: Leadership,
    private val capacityView: CapacityView,
    private val progress: (String) -> JobProgress?,
    onOver: (String) -> Unit,
    keepFacts: Boolean = false,
) {
    private val log = LoggerFactory.getLogger("front")
    private var open = 0
    private var nextShare = 0.0
    private var lastUnable = 0
    private val jobCache = JobCache(ctx, keepFacts, leadership.cancellations, onOver)
    private val finder = JobLookup(ctx, jobCache)
    private val valueBytes = (ctx.settings.stateTight.valueKb * 1024).toInt()

    /**
     * A node's part of the common rate. The users do not come in equal parts, so it is more than the equal one. They
     * are divided among the nodes that have the state service: where only one has, all come to it.
     */
    private val calls = TokenBucket(ctx.time, rateAmong(ctx.settings.nodes))

    private fun rateAmong(nodes: Int): Double = ctx.settings.state.rps * PART_OF_RATE / nodes * UNEVEN

    fun isLive(id: String): Boolean = jobCache.isLive(id)

    private fun begin(request: RequestId, caller: Caller?, timeoutS: Double = PendingRequest.CHANGE_S): PendingRequest {
        open++
        return PendingRequest(ctx, request, caller, timeoutS, leadership.reachability::onlyOthersHaveStore) { open-- }
    }

    private fun factsOf(record: JobRecord): JobFacts = record.spec.factsFor(record.owner)

    /** Why a submission can't be taken, whatever the store says of other jobs. */
    private class Refusal(val status: Int, val reason: String)

    /** Admits a request if there is room and the store can be reached; else it is answered at once. */
    private fun visit(
        request: RequestId,
        stateCalls: Int,
        caller: Caller?,
        timeoutS: Double = PendingRequest.CHANGE_S,
    ): PendingRequest? {
        val visit = begin(request, caller, timeoutS)
        if (open > MAX_OPEN || !calls.tryTake(stateCalls)) {
            log.info(
                "request refused: {} open, {} calls of the state service left",
                open - 1,
                calls.available().toInt(),
            )
            visit.tooMany()
            return null
        }
        if (!leadership.reachability.storeReachable) {
            visit.later("the state service can't be reached")
            return null
        }
        return visit
    }

    fun submit(request: RequestId, spec: JobSpec, caller: Caller? = null) {
        finder.ended(spec.id)?.let {
            val visit = begin(request, caller)
            visit.authorize(Action.RESUBMIT, spec.id, it.facts)?.let { allowed ->
                visit.accepted(allowed, 200, finalView(spec.id, it))
            }
            return
        }
        val visit = visit(request, 1, caller) ?: return
        admit(visit, spec, MAX_SUBMIT_ATTEMPTS)
    }

    private fun admit(visit: PendingRequest, spec: JobSpec, tries: Int) {
        val verdict = visit.caller?.authorize(Action.SUBMIT, spec.factsFor(visit.caller.name))
        val allowed = RequestedAction(Action.SUBMIT, spec.id, verdict)
        if (verdict?.allowed == false) {
            // Who may not submit it may still ask again after one that was accepted.
            finder.lookUp(spec.id) { found ->
                when (found) {
                    is JobLookupResult.Live, is JobLookupResult.Final -> answerKnown(visit, spec.id, found)
                    JobLookupResult.Absent -> visit.respond(
                        allowed,
                        403,
                        JobCodec.error("you may not submit ${spec.id}"),
                    )
                    JobLookupResult.Unreadable -> visit.unread()
                }
            }
            return
        }
        val owned = visit.caller?.let { Ownership(it.name, verdict?.cancelOnRevoke == true) }
        val record = JobRecord(spec, ctx.time.wallMs, 0, StoreLimits.pageSize(ctx.settings.stateTight.valueKb), owned)
        // Judged once, by the catalogue of this moment: one that arrives during the look-up must not turn
        // "not known yet" into "can never run".
        val catalog = capacityView.catalog
        val refusal = when {
            catalog == null -> Refusal(503, "the machine types are not known yet")
            StateCodec.sizeOf(record) > valueBytes -> Refusal(400, TOO_LONG)
            else -> authorize(spec, catalog)?.let { Refusal(422, it) }
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
    private fun refuse(visit: PendingRequest, allowed: RequestedAction, refusal: Refusal) =
        finder.lookUp(allowed.job) { found ->
            when {
                found != JobLookupResult.Absent -> answerKnown(visit, allowed.job, found)
                refusal.status == 503 -> visit.later(refusal.reason)
                else -> visit.respond(allowed, refusal.status, JobCodec.error(refusal.reason))
            }
        }

    /**
     * Goes on once every job that [spec] names is known to have been accepted. This node's copy may be behind another
     * node's acceptance, so "never accepted" is said only after reads that began later than the request: of the live
     * jobs, shared with all who wait, and of the ends of those that are not among them.
     */
    private fun whenAccepted(visit: PendingRequest, allowed: RequestedAction, spec: JobSpec, then: () -> Unit) {
        if (finder.unheardOf(spec.dependencies).isEmpty()) {
            ifVisible(visit, allowed, spec, emptyList(), then)
            return
        }
        jobCache.whenFresh { fresh ->
            val names = finder.unheardOf(spec.dependencies)
            when {
                !fresh -> visit.unread()
                !calls.tryTakeOrBorrow(names.size) -> visit.tooMany()
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
    private fun ifVisible(
        visit: PendingRequest,
        allowed: RequestedAction,
        spec: JobSpec,
        absent: List<String>,
        then: () -> Unit,
    ) {
        val caller = visit.caller
        if (caller != null) {
            val hidden = spec.dependencies.map {
                it to caller.authorize(Action.SHOW, factsOf(it))
            }.find { !it.second.allowed }
            if (hidden != null) {
                val denied =
                    RequestedAction(
                        Action.SUBMIT,
                        spec.id,
                        hidden.second.copy(rule = "awaits ${hidden.first}: ${hidden.second.rule}"),
                    )
                visit.respond(denied, 403, JobCodec.error("awaits: you may not show ${hidden.first}"))
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

    private fun factsOf(id: String): JobFacts? = finder.ended(id)?.facts ?: jobCache.factsOf(id)

    private fun store(visit: PendingRequest, allowed: RequestedAction, record: JobRecord, tries: Int) {
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
    private fun change(
        visit: PendingRequest,
        allowed: RequestedAction,
        status: Int,
        txn: StateOp.Txn,
        then: (StateResult) -> Unit,
    ) {
        if (visit.caller == null || allowed.verdict == null) {
            ctx.out.state(txn, then)
        } else {
            visit.caller.change(Decision(allowed.action, allowed.job, allowed.verdict, status), txn, then)
        }
    }

    /** The rights that allowed it were replaced before it was stored: it has to be judged anew. */
    private fun replaced(result: StateResult): Boolean =
        result is StateResult.Conflict && AccessKeys.HEAD in result.failed

    private fun answerKnown(visit: PendingRequest, id: String, found: JobLookupResult) {
        when (found) {
            is JobLookupResult.Final -> visit.authorize(Action.RESUBMIT, id, found.record.facts)?.let {
                visit.accepted(it, 200, finalView(id, found.record))
            }
            is JobLookupResult.Live -> visit.authorize(Action.RESUBMIT, id, factsOf(found.record))?.let {
                answerLive(visit, it, id, found.record)
            }
            else -> visit.unread()
        }
    }

    /**
     * The state of a live job, which another node may already have called withdrawn for the sake of one that it needs.
     */
    private fun answerLive(visit: PendingRequest, allowed: RequestedAction, id: String, record: JobRecord) {
        when {
            record.cancelledMs > 0 -> visit.accepted(allowed, 200, cancelledView(id))
            record.spec.dependencies.isEmpty() -> visit.accepted(allowed, 200, JobView(id, JobStage.PENDING, 0, 0))
            else -> jobCache.whenFresh { fresh ->
                when {
                    !fresh -> visit.unread()
                    !jobCache.isLive(id) -> finder.readFinal(id) {
                        if (it is JobLookupResult.Final) answerKnown(visit, id, it) else visit.unread()
                    }
                    else -> settle(visit, id) { cancelled ->
                        visit.accepted(
                            allowed,
                            200,
                            if (cancelled) cancelledView(id) else JobView(id, JobStage.PENDING, 0, 0),
                        )
                    }
                }
            }
        }
    }

    /** Why the job can never run, or null. */
    private fun authorize(spec: JobSpec, catalog: Catalog): String? {
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
        jobCache.tick()
        if (ctx.now < nextShare) return
        nextShare = ctx.now + 1.0
        // Silent peers may serve all the same; only those that say they can't leave their part to others.
        val unable = leadership.reachability.freshPeers().count { !it.stateReachable }
        if (unable == lastUnable) return
        lastUnable = unable
        calls.setRate(rateAmong((ctx.settings.nodes - unable).coerceAtLeast(1)))
    }

    fun show(request: RequestId, id: String, caller: Caller? = null) {
        finder.ended(id)?.let {
            showFinal(begin(request, caller), id, it)
            return
        }
        val visit = visit(request, 0, caller, PendingRequest.LOOK_S) ?: return
        jobCache.whenFresh { fresh ->
            when {
                !fresh -> visit.unread()
                !jobCache.isLive(id) -> showOver(visit, id)
                else -> visit.authorize(Action.SHOW, id, jobCache.factsOf(id))?.let { allowed ->
                    settle(visit, id) { cancelled ->
                        visit.respond(allowed, 200, JobCodec.view(if (cancelled) cancelledView(id) else progressOf(id)))
                    }
                }
            }
        }
    }

    private fun showFinal(visit: PendingRequest, id: String, record: FinalRecord) {
        visit.authorize(Action.SHOW, id, record.facts)?.let {
            visit.respond(it, 200, JobCodec.view(finalView(id, record)))
        }
    }

    /**
     * Says whether the live job [id] is withdrawn. That follows from the records of the jobs it needs, so no node has
     * to wait for the leader to have written it; but where one of them is over and nobody here knows how, that is read
     * first.
     */
    private fun settle(visit: PendingRequest, id: String, then: (cancelled: Boolean) -> Unit) {
        val names = finder.unsettled(id)
        if (names.isNotEmpty() && !calls.tryTakeOrBorrow(names.size)) {
            visit.tooMany()
            return
        }
        finder.readEnds(names) { without ->
            if (without == null) {
                visit.unread()
            } else {
                finder.unsettled(id)
                then(jobCache.isCancelled(id))
            }
        }
    }

    /** A job that is not live any more, or never was. A job ends in one transaction, so its end can be read by now. */
    private fun showOver(visit: PendingRequest, id: String) {
        val known = finder.ended(id)
        when {
            known != null -> showFinal(visit, id, known)
            !calls.tryTake(1) -> visit.tooMany()
            else -> finder.readFinal(id) { found ->
                when (found) {
                    is JobLookupResult.Final -> showFinal(visit, id, found.record)
                    JobLookupResult.Absent -> visit.authorize(Action.SHOW, id, null)?.let {
                        visit.respond(it, 404, JobCodec.error("no such job"))
                    }
                    else -> visit.unread()
                }
            }
        }
    }

    private fun progressOf(id: String): JobView {
        val waitsFor = jobCache.openOf(id)
        val p = progress(id) ?: return JobView(id, JobStage.PENDING, 0, 0, waitsFor)
        return JobView(id, if (p.running > 0) JobStage.RUNNING else JobStage.PENDING, p.done, p.running, waitsFor)
    }

    fun cancel(request: RequestId, id: String, caller: Caller? = null) {
        finder.ended(id)?.let {
            answerCancelOfEnded(begin(request, caller), id, it)
            return
        }
        val visit = visit(request, 2, caller) ?: return
        tryCancel(visit, id, MAX_CANCEL_ATTEMPTS)
    }

    private fun answerCancelOfEnded(visit: PendingRequest, id: String, record: FinalRecord) {
        visit.authorize(Action.WITHDRAW, id, record.facts)?.let { visit.accepted(it, 200, finalView(id, record)) }
    }

    private fun tryCancel(visit: PendingRequest, id: String, tries: Int) {
        finder.lookUp(id) { found ->
            when (found) {
                is JobLookupResult.Unreadable -> visit.unread()
                is JobLookupResult.Final -> answerCancelOfEnded(visit, id, found.record)
                JobLookupResult.Absent -> visit.authorize(Action.WITHDRAW, id, null)?.let {
                    visit.respond(it, 404, JobCodec.error("no such job"))
                }
                is JobLookupResult.Live -> visit.authorize(Action.WITHDRAW, id, factsOf(found.record))?.let { allowed ->
                    if (found.record.cancelledMs > 0) {
                        visit.accepted(allowed, 200, cancelledView(id))
                    } else {
                        storeCancellation(visit, allowed, found, tries)
                    }
                }
            }
        }
    }

    private fun storeCancellation(
        visit: PendingRequest,
        allowed: RequestedAction,
        found: JobLookupResult.Live,
        tries: Int,
    ) {
        val id = allowed.job
        val txn = StateOp.Txn(
            listOf(Guard(Keys.job(id), found.version)),
            listOf(Write.Put(Keys.job(id), cancelled(found.record))),
        )
        change(visit, allowed, 200, txn) { result ->
            when {
                result is StateResult.Committed -> {
                    log.info("job {} withdrawn by its user", id)
                    visit.answer(200, JobCodec.accepted(cancelledView(id)))
                }
                result is StateResult.Conflict && tries > 1 -> tryCancel(visit, id, tries - 1)
                else -> visit.later("the state service did not confirm")
            }
        }
    }

    /**
     * The record as withdrawn. One that was stored while values could be larger must still be written: what only a
     * start would need is left out of it then.
     */
    private fun cancelled(record: JobRecord): JobRecord {
        val whole = record.copy(cancelledMs = ctx.time.wallMs)
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
    private fun cancelledView(id: String): JobView {
        leadership.cancellations.learn(id)
        return JobView(id, JobStage.CANCELLED, 0, 0)
    }

    private companion object {
        const val TOO_LONG = "the description is too long to be kept"
        const val MAX_OPEN = 200
        const val PART_OF_RATE = 0.3
        const val UNEVEN = 2.0
        const val MAX_CANCEL_ATTEMPTS = 3
        const val MAX_SUBMIT_ATTEMPTS = 3
    }
}

package plankwall.simulation

import plankwall.model.JobSpec
import plankwall.model.Resources
import plankwall.model.Settings
import plankwall.model.Shape
import plankwall.model.Team

/** Watches a simulated day from outside and notes every broken rule of PROTOCOL that it can see. */
class RuleChecker(private val settings: Settings) {
    val violations = ArrayList<String>()
    private class Place(val spec: JobSpec, val worker: SimulatedWorker)

    private val on = HashMap<String, Place>()

    /** The entries of [on] by job. */
    private val byJob = HashMap<String, HashMap<String, Place>>()

    /** What the entries of [on] take together, by team. */
    private val used = HashMap<String, Resources>()

    /** Withdrawn jobs that may have a task on a machine. */
    private val cancelledOn = LinkedHashSet<String>()
    private val done = HashSet<String>()
    private val accepted = HashMap<String, JobSpec>()
    private val acceptedAt = HashMap<String, Double>()
    private val cancelled = HashMap<String, Double>()
    private val asked = HashSet<String>()
    private val told = HashMap<String, String>()
    private val toldAt = HashMap<String, Double>()

    /**
     * Tasks that were commanded to start after their user was told that the job is cancelled. What was commanded before
     * may still start.
     */
    var startsAfterCancel = 0
        private set

    /** Submissions of jobs whose dependencies were all accepted, answered 422 all the same. */
    val refused = ArrayList<String>()
    var starts = 0
        private set

    fun taskStarted(task: String, spec: JobSpec, worker: SimulatedWorker, now: Double) {
        starts++
        val there = on[task]
        if (there != null &&
            there.worker !== worker
        ) {
            violations.add("ran_twice: $task on ${there.worker.id} and ${worker.id} at $now")
        }
        spec.dependencies.filter {
            !isDone(it)
        }.forEach { violations.add("too_early: $task before $it is done at $now") }
        val group = worker.group
        val zones = byJob[spec.id].orEmpty().filterKeys { it != task }.values.map { it.worker.group.zone }
        if (spec.types != null &&
            group.type !in spec.types ||
            spec.zone != null &&
            spec.zone != group.zone ||
            group.spot &&
            !spec.spot
        ) {
            violations.add("wrong_place: $task on $group")
        }
        if (spec.oneZone &&
            zones.any { it != group.zone }
        ) {
            violations.add("wrong_place: $task not in the zone of its mates")
        }
        if (spec.spread &&
            zones.count { it == group.zone } + 1 > (spec.tasks + 1) / 2
        ) {
            violations.add("wrong_place: $task not spread")
        }
        remove(task)
        put(task, Place(spec, worker))
        val team = teamOf(spec)
        val usedNow = used.getValue(spec.team)
        mostUsed.merge(spec.team, usedNow) { a, b ->
            Resources(maxOf(a.cpus, b.cpus), maxOf(a.gpus, b.gpus), maxOf(a.memory, b.memory))
        }
        if (team.gpusMax > 0 && usedNow.gpus > team.gpusMax || team.cpusMax > 0 && usedNow.cpus > team.cpusMax) {
            violations.add("quota: ${spec.team} at $now")
        }
        checkCancelled(now)
    }

    private val teams = settings.teams.associateBy { it.name }

    private fun teamOf(spec: JobSpec): Team = teams.getValue(spec.team)

    private fun put(task: String, place: Place) {
        val spec = place.spec
        on[task] = place
        byJob.getOrPut(spec.id) { HashMap() }[task] = place
        used.merge(spec.team, spec.need, Resources::plus)
        if (spec.id in cancelled) cancelledOn.add(spec.id)
    }

    private fun remove(task: String) {
        val place = on.remove(task) ?: return
        val spec = place.spec
        val tasks = byJob.getValue(spec.id)
        tasks.remove(task)
        if (tasks.isEmpty()) byJob.remove(spec.id)
        used.merge(spec.team, spec.need, Resources::minus)
    }

    /** A worker took the command to start a task of [id]. */
    fun startCommanded(id: String, now: Double) {
        if (cancelled[id]?.let { it < now } == true) startsAfterCancel++
    }

    fun taskStopped(task: String, worker: SimulatedWorker, now: Double) {
        if (on[task]?.worker === worker) remove(task)
        checkCancelled(now)
    }

    fun taskCompleted(task: String) {
        done.add(task)
    }

    fun checkCancelled(now: Double) {
        cancelledOn.removeIf { it !in byJob }
        for (id in cancelledOn) {
            if (now <= cancelled.getValue(id) + settings.workers.cancelS) continue
            byJob.getValue(id).keys.forEach { violations.add("ran_cancelled: $it at $now") }
        }
    }

    fun isDone(id: String): Boolean = accepted[id]?.let { s -> (0 until s.tasks).all { "$id/$it" in done } } ?: false

    fun isAccepted(id: String): Boolean = id in accepted

    /** `done` or `cancelled` once a user was told so. */
    fun finalStageOf(id: String): String? = told[id]

    /** The most that tasks of a team have used at one time. */
    val mostUsed = HashMap<String, Resources>()

    /** The jobs that [id] needs, directly or through others. */
    private fun needed(id: String): Set<String> {
        val found = LinkedHashSet<String>()
        val next = ArrayDeque(listOf(id))
        while (next.isNotEmpty()) {
            accepted[next.removeFirst()]?.dependencies.orEmpty().filter {
                found.add(it)
            }.forEach(next::addLast)
        }
        return found
    }

    /**
     * [stage] is what the answer called the job, [askedAt] when it was asked for: what another node tells meanwhile
     * makes it no older answer.
     */
    fun submissionAnswered(
        spec: JobSpec,
        status: Int,
        now: Double = 0.0,
        stage: String? = null,
        askedAt: Double = now,
    ) {
        if (status == 422 && spec.dependencies.all { it in accepted }) refused.add(spec.id)
        if (status == 200 || status == 201) {
            accepted[spec.id] = spec
            acceptedAt.putIfAbsent(spec.id, now)
            if (stage != null) noteStage(spec.id, stage, now, askedAt)
        }
        if (spec.id in accepted &&
            (status == 400 || status == 422) ||
            status == 404 &&
            isKnownBy(spec.id, askedAt)
        ) {
            violations.add("forgotten: ${spec.id} got $status")
        }
    }

    private fun isKnownBy(id: String, askedAt: Double): Boolean = acceptedAt[id]?.let { it <= askedAt } ?: false

    /** What a job is called for good once stays so for whoever asks later. */
    private fun noteStage(id: String, stage: String, now: Double, askedAt: Double) {
        val before = told[id]
        // Two different ends contradict each other whenever they were asked for.
        val over = stage == "done" || stage == "withdrawn"
        if (before != null &&
            before != stage &&
            (over || askedAt >= toldAt.getValue(id))
        ) {
            violations.add("went_back: $id from $before to $stage")
        }
        if (stage == "withdrawn" &&
            id !in asked &&
            needed(id).none { it in asked }
        ) {
            violations.add("went_back: $id called withdrawn by nobody's wish")
        }
        if (stage == "done" &&
            accepted[id]?.let { s -> (0 until s.tasks).any { "$id/$it" !in done } } == true
        ) {
            violations.add("not_done: $id")
        }
        if (stage == "withdrawn") {
            cancelled.putIfAbsent(id, now)
            cancelledOn.add(id)
        }
        if (over && before == null) {
            told[id] = stage
            toldAt[id] = now
        }
    }

    fun statusAnswered(id: String, status: Int, stage: String?, now: Double, askedAt: Double = now) {
        val spec = accepted[id]
        if (status == 404 && isKnownBy(id, askedAt)) violations.add("forgotten: $id")
        if (status != 200) return
        if (spec == null) {
            violations.add("invented: $id")
            return
        }
        if (stage != null) noteStage(id, stage, now, askedAt)
        if (stage == "pending" || stage == "running") {
            needed(id).forEach { name ->
                val since = cancelled[name]?.takeIf { told[name] == "withdrawn" } ?: return@forEach
                if (now >
                    maxOf(since, acceptedAt[id] ?: now) + settings.workers.cancelS
                ) {
                    violations.add("orphaned: $id is $stage after $name was withdrawn")
                }
            }
        }
        checkCancelled(now)
    }

    private val stallingSince = HashMap<String, Double>()

    /**
     * In calm, no job is left waiting while one of [machines] that fits has room and its team is under its limit.
     * [machines]: those that are sound and reached, with what each has.
     */
    fun checkStalled(machines: Map<SimulatedWorker, Resources>, now: Double) {
        if (now < faultsOverAt) return
        val taken = HashMap<SimulatedWorker, Resources>()
        on.values.forEach { p -> taken.merge(p.worker, p.spec.need, Resources::plus) }
        for ((id, spec) in accepted) {
            val zones = byJob[id].orEmpty().values.map { it.worker.group.zone }
            val waits = told[id] == null &&
                id !in asked &&
                spec.dependencies.all { isDone(it) } &&
                (0 until spec.tasks).any { "$id/$it" !in done && "$id/$it" !in on } &&
                (spec.shape != Shape.GANG || zones.isEmpty())
            val fits = waits &&
                isUnderLimit(spec) &&
                machines.any { (worker, capacity) ->
                    val group = worker.group
                    (spec.types == null || group.type in spec.types) &&
                        (spec.zone ?: group.zone) == group.zone &&
                        (spec.spot || !group.spot) &&
                        (!spec.oneZone || zones.all { it == group.zone }) &&
                        (!spec.spread || zones.count { it == group.zone } < (spec.tasks + 1) / 2) &&
                        (
                            spec.need * (
                                if (spec.shape ==
                                    Shape.GANG
                                ) {
                                    spec.tasks
                                } else {
                                    1
                                }
                                )
                            ).fitsIn(capacity - (taken[worker] ?: Resources.NONE))
                }
            if (!fits) {
                stallingSince.remove(id)
            } else if (now - stallingSince.getOrPut(id) { now } > STALLED_S) {
                violations.add("stalled: $id has waited from ${stallingSince[id]} to $now beside room for it")
                stallingSince[id] = now
            }
        }
    }

    private fun isUnderLimit(spec: JobSpec): Boolean {
        val usedNow = used[spec.team] ?: Resources.NONE
        return teamOf(spec).allows(usedNow + spec.need * (if (spec.shape == Shape.GANG) spec.tasks else 1))
    }

    private var anyTold = Double.NEGATIVE_INFINITY
    private val unheardSince = HashMap<String, Double>()

    /** From when on all troubles are over: each job by itself has to be told of then, however others fare. */
    var faultsOverAt = Double.POSITIVE_INFINITY

    /** A user has asked for [id] and was told, or was not in time; while nobody is told anything, that is an outage. */
    fun pollEnded(id: String, told: Boolean, now: Double) {
        if (told) {
            anyTold = now
            unheardSince.remove(id)
        } else if (now - maxOf(unheardSince.getOrPut(id) { now }, faultsOverAt) > FORGOTTEN_IN_CALM_S) {
            violations.add(
                "forgotten: no question about $id was answered from ${unheardSince[id]} to $now, troubles over",
            )
            unheardSince[id] = now
        } else if (now - anyTold > OUTAGE_S && faultsOverAt > now) {
            unheardSince.clear()
        } else if (now - unheardSince.getOrPut(id) { now } > FORGOTTEN_S) {
            violations.add("forgotten: no poll for $id was answered from ${unheardSince[id]} to $now")
            unheardSince[id] = now
        }
    }

    /** From here on the job may be called withdrawn, even if the request's own answer was lost. */
    fun cancelRequested(id: String) {
        asked.add(id)
    }

    fun cancelAnswered(id: String, stage: String, now: Double, askedAt: Double = now) =
        noteStage(id, stage, now, askedAt)

    private companion object {
        const val FORGOTTEN_S = 90.0
        const val FORGOTTEN_IN_CALM_S = 75.0
        const val STALLED_S = 90.0
        const val OUTAGE_S = 5.0
    }
}

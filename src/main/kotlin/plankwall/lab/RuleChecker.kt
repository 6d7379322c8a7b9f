package plankwall.lab

import plankwall.model.JobSpec
import plankwall.model.Resources
import plankwall.model.Settings

/** Watches a simulated day from outside and notes every broken rule of PROTOCOL that it can see. */
class RuleChecker(private val settings: Settings) {
    val broken = ArrayList<String>()
    private class Place(val spec: JobSpec, val worker: SimWorker)

    private val on = HashMap<String, Place>()
    private val done = HashSet<String>()
    private val accepted = HashMap<String, JobSpec>()
    private val acceptedAt = HashMap<String, Double>()
    private val withdrawn = HashMap<String, Double>()
    private val asked = HashSet<String>()
    private val told = HashMap<String, String>()

    /** Submissions of jobs whose dependencies were all accepted, answered 422 all the same. */
    val refused = ArrayList<String>()
    var starts = 0
        private set

    fun on(task: String, spec: JobSpec, worker: SimWorker, now: Double) {
        starts++
        val there = on[task]
        if (there != null && there.worker !== worker) broken.add("ran_twice: $task on ${there.worker.id} and ${worker.id} at $now")
        spec.dependencies.filter { !isDone(it) }.forEach { broken.add("too_early: $task before $it is done at $now") }
        val group = worker.group
        val zones = on.filterKeys { it.substringBefore('/') == spec.id && it != task }.values.map { it.worker.group.zone }
        if (spec.types != null && group.type !in spec.types || spec.zone != null && spec.zone != group.zone || group.spot && !spec.spot) {
            broken.add("wrong_place: $task on $group")
        }
        if (spec.oneZone && zones.any { it != group.zone }) broken.add("wrong_place: $task not in the zone of its mates")
        if (spec.spread && zones.count { it == group.zone } + 1 > (spec.tasks + 1) / 2) broken.add("wrong_place: $task not spread")
        on[task] = Place(spec, worker)
        val team = settings.teams.first { it.name == spec.team }
        val used = on.values.filter { it.spec.team == spec.team }.fold(Resources.NONE) { sum, p -> sum + p.spec.need }
        if (team.gpusMax > 0 && used.gpus > team.gpusMax || team.cpusMax > 0 && used.cpus > team.cpusMax) {
            broken.add("quota: ${spec.team} at $now")
        }
        checkWithdrawn(now)
    }

    fun off(task: String, worker: SimWorker, now: Double) {
        if (on[task]?.worker === worker) on.remove(task)
        checkWithdrawn(now)
    }

    fun completed(task: String) {
        done.add(task)
    }

    fun checkWithdrawn(now: Double) {
        for (task in on.keys) {
            val since = withdrawn[task.substringBefore('/')] ?: continue
            if (now > since + settings.workers.cancelS) broken.add("ran_cancelled: $task at $now")
        }
    }

    fun isDone(id: String): Boolean = accepted[id]?.let { s -> (0 until s.tasks).all { "$id/$it" in done } } ?: false

    fun isAccepted(id: String): Boolean = id in accepted

    /** The jobs that [id] needs, directly or through others. */
    private fun needed(id: String): Set<String> {
        val found = LinkedHashSet<String>()
        val next = ArrayDeque(listOf(id))
        while (next.isNotEmpty()) accepted[next.removeFirst()]?.dependencies.orEmpty().filter { found.add(it) }.forEach(next::addLast)
        return found
    }

    fun submitted(spec: JobSpec, status: Int, now: Double = 0.0) {
        if (status == 422 && spec.dependencies.all { it in accepted }) refused.add(spec.id)
        if (status == 200 || status == 201) {
            accepted[spec.id] = spec
            acceptedAt.putIfAbsent(spec.id, now)
        }
        if (spec.id in accepted && (status == 400 || status == 422)) broken.add("forgotten: ${spec.id} got $status")
    }

    fun shown(id: String, status: Int, stage: String?, now: Double) {
        val spec = accepted[id]
        if (status == 404 && spec != null) broken.add("forgotten: $id")
        if (status != 200) return
        if (spec == null) {
            broken.add("invented: $id")
            return
        }
        if (stage == "done" && (0 until spec.tasks).any { "$id/$it" !in done }) broken.add("not_done: $id")
        val before = told[id]
        if (stage == "withdrawn") withdrawn.putIfAbsent(id, now)
        if (before != null && before != stage) broken.add("went_back: $id from $before to $stage")
        if (stage == "withdrawn" && id !in asked && needed(id).none { it in asked }) broken.add("went_back: $id called withdrawn by nobody's wish")
        if (stage == "done" || stage == "withdrawn") told[id] = stage
        if (stage == "pending" || stage == "running") needed(id).forEach { name ->
            val since = withdrawn[name]?.takeIf { told[name] == "withdrawn" } ?: return@forEach
            if (now > maxOf(since, acceptedAt[id] ?: now) + settings.workers.cancelS) broken.add("orphaned: $id is $stage after $name was withdrawn")
        }
        checkWithdrawn(now)
    }

    private var anyTold = Double.NEGATIVE_INFINITY
    private val unheardSince = HashMap<String, Double>()

    /** A user has asked for [id] and was told, or was not in time; while nobody is told anything, that is an outage. */
    fun polled(id: String, told: Boolean, now: Double) {
        if (told) {
            anyTold = now
            unheardSince.remove(id)
        } else if (now - anyTold > OUTAGE_S) {
            unheardSince.clear()
        } else if (now - unheardSince.getOrPut(id) { now } > FORGOTTEN_S) {
            broken.add("forgotten: no poll for $id was answered from ${unheardSince[id]} to $now")
            unheardSince[id] = now
        }
    }

    /** From here on the job may be called withdrawn, even if the request's own answer was lost. */
    fun withdrawAsked(id: String) {
        asked.add(id)
    }

    fun withdrawAnswered(id: String, stage: String, now: Double) {
        if (stage == "withdrawn") withdrawn.putIfAbsent(id, now)
        told[id] = stage
    }

    private companion object {
        const val FORGOTTEN_S = 90.0
        const val OUTAGE_S = 5.0
    }
}

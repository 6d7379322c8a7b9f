package plankwall.core.queue

import org.slf4j.LoggerFactory
import plankwall.core.state.Job
import plankwall.core.statemachine.Context
import plankwall.model.Resources

/** What holds waiting work back, said once every while as long as it does: which limit, since when, how much waits. */
class BindingLimit(private val ctx: Context) {
    private val log = LoggerFactory.getLogger("backlog")
    private class Hold(val since: Double, var saidAt: Double)

    private val holds = HashMap<String, Hold>()
    private val seen = HashSet<String>()
    private val held = HashSet<Int>()

    /** Teams whose limits allow less than they want. */
    val teams: Set<Int> get() = held

    fun beginTeams() {
        held.clear()
        seen.clear()
    }

    fun held(team: Int, jobs: List<Job>, used: Resources) {
        held.add(team)
        val t = ctx.settings.teams[team]
        say("team ${t.name}") {
            "its limit (${used.gpus / 1000} of ${t.gpusMax / 1000} GPUs, " +
                "${used.cpus / 1000} of ${t.cpusMax / 1000} CPUs in use)" to
                jobs
        }
    }

    fun endTeams() {
        holds.keys.filter { it.startsWith("team ") && it !in seen }.forEach(::over)
    }

    fun tell(scarce: List<Job>, prospects: Map<Job, Feasibility>, floors: MinimumShare) {
        val name = "fleet"
        if (scarce.isEmpty()) {
            over(name)
            return
        }
        say(name) {
            val low = floors.below().entries.joinToString { (name, part) ->
                "$name (%.2f of %.2f)".format(part.first, part.second)
            }
            "the cloud, which has no more; ${prospects.values.count {
                it == Feasibility.OUT_OF_REACH
            }} jobs out of reach, below their floors: [$low]" to
                scarce
        }
    }

    private fun say(name: String, what: () -> Pair<String, List<Job>>) {
        seen.add(name)
        val hold = holds.getOrPut(name) { Hold(ctx.now, ctx.now - SAY_EVERY_S) }
        if (ctx.now - hold.saidAt < SAY_EVERY_S) return
        hold.saidAt = ctx.now
        val (by, jobs) = what()
        log.info(
            "{} held for {} s by {}: {} jobs, {} tasks wait",
            name,
            (ctx.now - hold.since).toInt(),
            by,
            jobs.size,
            jobs.sumOf {
                it.waiting.size
            },
        )
    }

    private fun over(name: String) {
        val hold = holds.remove(name) ?: return
        log.info("{} held no more, after {} s", name, (ctx.now - hold.since).toInt())
    }

    private companion object {
        const val SAY_EVERY_S = 10.0
    }
}

package plankwall.core.queue

import org.slf4j.LoggerFactory
import plankwall.core.state.Job
import plankwall.core.statemachine.Context
import plankwall.model.Resources

/**
 * Which limit holds waiting jobs back: a team's quota or the cloud's capacity. Each is logged from time to time as long
 * as it binds, with since when and how much waits.
 */
class BindingLimit(private val ctx: Context) {
    private val log = LoggerFactory.getLogger("queue")
    private val bindings = HashMap<String, Binding>()
    private val boundNow = HashSet<String>()
    private val teamsAtQuota = HashSet<Int>()

    private class Binding(val since: Double, var loggedAt: Double)

    /** Indices of the teams whose quotas allow less than they ask for. */
    val teams: Set<Int> get() = teamsAtQuota

    /** Begins a round of checks of all teams' quotas. */
    fun beginTeams() {
        teamsAtQuota.clear()
        boundNow.clear()
    }

    /** The quota of [team], of which [used] is in use, holds back some of its waiting [jobs]. */
    fun onQuotaReached(team: Int, jobs: List<Job>, used: Resources) {
        teamsAtQuota.add(team)
        val settings = ctx.settings.teams[team]
        logBinding(TEAM + settings.name, jobs) {
            "limit=quota gpus=${used.gpus / MILLI} gpus_max=${settings.gpusMax / MILLI} " +
                "cpus=${used.cpus / MILLI} cpus_max=${settings.cpusMax / MILLI}"
        }
    }

    /** Ends a round of checks: quotas that were not reached in it bind no more. */
    fun endTeams() {
        bindings.keys.filter { it.startsWith(TEAM) && it !in boundNow }.forEach(::logReleased)
    }

    /** The cloud has no machine for the [scarce] jobs, or none are scarce. */
    fun logScarcity(scarce: List<Job>, feasibilities: Map<Job, Feasibility>, minimumShare: MinimumShare) {
        if (scarce.isEmpty()) {
            logReleased(FLEET)
            return
        }
        logBinding(FLEET, scarce) {
            val outOfReach = feasibilities.values.count { it == Feasibility.OUT_OF_REACH }
            val belowMinimum = minimumShare.classesBelowMinimum().joinToString {
                "${it.jobClass} (%.2f of %.2f)".format(it.used, it.minimum)
            }
            "limit=cloud jobs_out_of_reach=$outOfReach below_minimum_share=[$belowMinimum]"
        }
    }

    private fun logBinding(scope: String, jobs: List<Job>, limit: () -> String) {
        boundNow.add(scope)
        val binding = bindings.getOrPut(scope) { Binding(ctx.now, ctx.now - LOG_EVERY_S) }
        if (ctx.now - binding.loggedAt < LOG_EVERY_S) return
        binding.loggedAt = ctx.now
        log.info(
            "jobs held back {} held_s={} {} jobs={} tasks={}",
            scope,
            (ctx.now - binding.since).toInt(),
            limit(),
            jobs.size,
            jobs.sumOf { it.waiting.size },
        )
    }

    private fun logReleased(scope: String) {
        val binding = bindings.remove(scope) ?: return
        log.info("jobs no longer held back {} held_s={}", scope, (ctx.now - binding.since).toInt())
    }

    private companion object {
        const val LOG_EVERY_S = 10.0
        const val FLEET = "scope=fleet"
        const val TEAM = "team="

        /** Resources are counted in thousandths. */
        const val MILLI = 1000
    }
}

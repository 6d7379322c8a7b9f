package plankwall.core.queue

import org.slf4j.LoggerFactory
import plankwall.core.state.Job
import plankwall.core.statemachine.Context
import plankwall.model.Resources

/**
 * Tracks which limit holds waiting jobs back: a team's quota, or the machines that the cloud has. As long as a limit
 * binds it is logged every [LOG_INTERVAL_S], with the time since which it binds and the number of waiting jobs and
 * tasks.
 */
class BindingLimit(private val ctx: Context) {
    private val log = LoggerFactory.getLogger("queue")

    /** The limits that bind now, by the scope that log lines name. */
    private val bindingsByScope = HashMap<String, Binding>()

    /** Scopes whose limits were found to bind since the current round of quota checks began. */
    private val scopesBoundInRound = HashSet<String>()
    private val teamsAtQuota = HashSet<Int>()

    /** A limit that binds [since] a time and was last logged at [loggedAt], both in seconds of the monotonic clock. */
    private class Binding(val since: Double, var loggedAt: Double)

    /** Indices of the teams whose quotas allow less than their jobs ask for. */
    val limitedTeams: Set<Int> get() = teamsAtQuota

    /** Begins a round of checks of all teams' quotas. */
    fun beginQuotaChecks() {
        teamsAtQuota.clear()
        scopesBoundInRound.clear()
    }

    /** Records that the quota of the team [teamIndex], which uses [used], holds back some of its waiting [jobs]. */
    fun onQuotaReached(teamIndex: Int, jobs: List<Job>, used: Resources) {
        teamsAtQuota.add(teamIndex)
        val teamSettings = ctx.settings.teams[teamIndex]
        logBinding(TEAM_SCOPE_PREFIX + teamSettings.name, jobs) {
            "limit=quota gpus=${used.gpus / MILLI} gpus_max=${teamSettings.gpusMax / MILLI} " +
                "cpus=${used.cpus / MILLI} cpus_max=${teamSettings.cpusMax / MILLI}"
        }
    }

    /** Ends a round of checks: quotas that were not reached in it no longer bind. */
    fun endQuotaChecks() {
        bindingsByScope.keys.filter { it.startsWith(TEAM_SCOPE_PREFIX) && it !in scopesBoundInRound }
            .forEach(::logReleased)
    }

    /**
     * Logs that the cloud has no machines for the [scarce] jobs, or that it no longer holds any job back if there are
     * none.
     */
    fun logScarcity(scarce: List<Job>, feasibilities: Map<Job, Feasibility>, minimumShare: MinimumShare) {
        if (scarce.isEmpty()) {
            logReleased(FLEET_SCOPE)
            return
        }
        logBinding(FLEET_SCOPE, scarce) {
            val outOfReach = feasibilities.values.count { it == Feasibility.OUT_OF_REACH }
            val belowMinimum = minimumShare.classesBelowMinimum().joinToString {
                "${it.jobClass} (%.2f of %.2f)".format(it.used, it.minimum)
            }
            "limit=cloud jobs_out_of_reach=$outOfReach below_minimum_share=[$belowMinimum]"
        }
    }

    /**
     * Records that the limit of [scope] holds [jobs] back, and logs it if the last log line of the scope is old enough.
     * [describeLimit] returns the description of the limit for the log.
     */
    private fun logBinding(scope: String, jobs: List<Job>, describeLimit: () -> String) {
        scopesBoundInRound.add(scope)
        val binding = bindingsByScope.getOrPut(scope) { Binding(ctx.now, ctx.now - LOG_INTERVAL_S) }
        if (ctx.now - binding.loggedAt < LOG_INTERVAL_S) return
        binding.loggedAt = ctx.now
        log.info(
            "jobs held back {} held_s={} {} jobs={} tasks={}",
            scope,
            (ctx.now - binding.since).toInt(),
            describeLimit(),
            jobs.size,
            jobs.sumOf { it.waiting.size },
        )
    }

    /** Logs that the limit of [scope] no longer binds, if it did. */
    private fun logReleased(scope: String) {
        val binding = bindingsByScope.remove(scope) ?: return
        log.info("jobs no longer held back {} held_s={}", scope, (ctx.now - binding.since).toInt())
    }

    private companion object {
        const val LOG_INTERVAL_S = 10.0
        const val FLEET_SCOPE = "scope=fleet"
        const val TEAM_SCOPE_PREFIX = "team="

        /** Units of [Resources] per CPU and per GPU. */
        const val MILLI = 1000
    }
}

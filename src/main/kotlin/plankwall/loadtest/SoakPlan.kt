package plankwall.loadtest

import java.util.Random

/**
 * Draws load test plans for soak runs: faults of random kinds at random moments, of which several overlap, a series of
 * leaders killed one after the other, and users who repeat their requests at all controllers.
 */
object SoakPlan {
    /** Draws the plan of [seed], with [workers] workers and faults for about [faultS] seconds. */
    fun draw(seed: Long, workers: Int, faultS: Double): LoadTestPlan {
        val random = Random(seed)
        return LoadTestPlan(
            workers = workers,
            controllers = if (random.nextInt(4) == 0) 5 else 3,
            teams = TEAMS,
            seed = seed,
            phases = PhaseLengths(idleS = 0.0, fillS = 0.0, restS = 0.0, churnS = 4.0, faultS = faultS, settleS = 15.0),
            work = Workload(
                running = 0,
                startsPerS = 8.0,
                arrayTasks = 4,
                arrayRunS = 4.0,
                urgentPerS = 0.5,
                gangTasks = 3,
                gangsPerMin = 12.0,
                cancelShare = 0.3,
                pipelinesPerS = 0.5,
                cancelAtEndShare = 0.3,
                repeatRequests = true,
                pollEveryS = 1.0,
            ),
            faults = drawFaults(random, faultS) + drawLeaderSeries(random, faultS),
        )
    }

    private fun drawFaults(random: Random, faultS: Double): List<Fault> {
        val count = (faultS / MEAN_FAULT_GAP_S).toInt().coerceAtLeast(1)
        return List(count) {
            val startS = random.nextDouble() * (faultS - MAX_FAULT_S).coerceAtLeast(1.0)
            val durationS = MIN_FAULT_S + random.nextDouble() * (MAX_FAULT_S - MIN_FAULT_S)
            val kind = FaultKind.entries[random.nextInt(FaultKind.entries.size)]
            Fault(startS, kind, drawTarget(random, kind), durationS)
        }
    }

    private fun drawTarget(random: Random, kind: FaultKind): String = when (kind) {
        FaultKind.REPORTS_LOST, FaultKind.ANSWERS_LOST -> "zone-${1 + random.nextInt(2)}"
        FaultKind.KILL, FaultKind.PAUSE, FaultKind.PEERS_APART, FaultKind.STATE_REFUSES ->
            listOf("leader", "leader", "node-1", "node-2", "node-3")[random.nextInt(5)]
        else -> "all"
    }

    /** Draws the kills of a few leaders one after the other, each some seconds after its election. */
    private fun drawLeaderSeries(random: Random, faultS: Double): List<Fault> {
        val firstS = random.nextDouble() * (faultS / 2)
        return List(LEADERS_IN_SERIES) { Fault(firstS + it * LEADER_GAP_S, FaultKind.KILL, "leader", RESTART_S) }
    }

    private const val TEAMS = 4
    private const val MEAN_FAULT_GAP_S = 2.5
    private const val MIN_FAULT_S = 1.0
    private const val MAX_FAULT_S = 8.0
    private const val LEADERS_IN_SERIES = 3
    private const val LEADER_GAP_S = 5.0
    private const val RESTART_S = 1.0
}

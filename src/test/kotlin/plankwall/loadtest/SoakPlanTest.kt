package plankwall.loadtest

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests that the plans of soak runs follow from their seeds and hold what a soak run is for. */
class SoakPlanTest {
    private val plans = (1L..50L).map { SoakPlan.draw(it, workers = 40, faultS = 30.0) }

    @Test
    fun `a seed gives the same plan each time and another seed another one`() {
        assertEquals(plans, (1L..50L).map { SoakPlan.draw(it, workers = 40, faultS = 30.0) })
        assertEquals(plans.size, plans.map { it.faults }.toSet().size)
    }

    @Test
    fun `fifty seeds hold every kind of fault, overlapping faults and leaders killed in series`() {
        assertEquals(FaultKind.entries.toSet(), plans.flatMap { plan -> plan.faults.map { it.kind } }.toSet())
        for (plan in plans) {
            assertTrue(countOverlaps(plan.faults) >= 2, "seed ${plan.seed}: ${plan.faults}")
            val leaderKills = plan.faults.filter { it.kind == FaultKind.KILL && it.target == "leader" }
            assertTrue(leaderKills.size >= 3, "seed ${plan.seed}: $leaderKills")
            assertTrue(plan.faults.all { it.startS < plan.phases.faultS }, "seed ${plan.seed}: ${plan.faults}")
        }
    }

    /** Returns the number of pairs of faults of which one begins while the other lasts. */
    private fun countOverlaps(faults: List<Fault>): Int = faults.sumOf { fault ->
        faults.count { it !== fault && it.startS in fault.startS..fault.startS + fault.durationS }
    }
}

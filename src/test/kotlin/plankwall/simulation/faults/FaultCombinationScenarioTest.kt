package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.simulation.FaultCombinationScenario
import plankwall.simulation.SimulatedCluster
import java.util.stream.LongStream

/** Faults that overlap: no rule is violated, and every job that nobody cancelled is done in the end. */
class FaultCombinationScenarioTest {
    /** A dozen here; `-Dmeetings=300` runs more, from `-DfirstMeeting=` on. */
    @Test
    fun `faults drawn in pairs violate no rule`() {
        val first = java.lang.Long.getLong("firstMeeting", 1L)
        val days = LongStream.range(first, first + java.lang.Long.getLong("meetings", 12L)).parallel().mapToObj {
            FaultCombinationScenario(
                it,
                if (it % 2 == 0L) {
                    3
                } else {
                    5
                },
            ).play()
        }.toList()
        val bad = days.filter { it.violations.isNotEmpty() || it.unfinishedJobs.isNotEmpty() }
        assertEquals(
            emptyList<String>(),
            bad.map {
                "day ${it.seed}: ${it.violations.take(3)} unserved ${it.unfinishedJobs}; ${it.faults}"
            },
        )
        assertTrue(days.all { it.cancelled >= 20 })
        assertTrue(days.sumOf { it.faultCounts.size } >= days.size, "troubles took hold")
    }

    /**
     * The leader crashes [crashAfterS] after [inboundBlocked] machines stopped receiving answers; what ran there starts
     * again elsewhere.
     */
    private fun startsWithBlockedMachines(inboundBlocked: Int, crashAfterS: Double): Int {
        val cluster = SimulatedCluster(3, nodeCount = 3)
        cluster.clock.after(2.0) {
            (1..3).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 4, runS = 400.0)) }
        }
        cluster.clock.runUntil(50.0)
        assertEquals(12, cluster.checker.starts)
        cluster.faults.inboundBlocked.addAll(cluster.cloud.workers.take(inboundBlocked).map { it.id })
        cluster.clock.after(crashAfterS) { cluster.nodes.first { it.isLeader }.crash(8.0) }
        // Reports go on for all this time, and those of the blocked machines never show the new leader's token.
        cluster.clock.runUntil(50.0 + crashAfterS + 2 * cluster.settings.workers.leaseS + 40.0)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        return cluster.checker.starts
    }

    @ParameterizedTest(name = "{0} blocked, {1} s before the leader ends")
    @CsvSource("1, 1, 16", "1, 8, 16", "0, 1, 12")
    fun `a machine that receives nothing of the new leader keeps no task for ever`(
        inboundBlocked: Int,
        crashAfterS: Double,
        starts: Int,
    ) {
        assertEquals(starts, startsWithBlockedMachines(inboundBlocked, crashAfterS))
    }

    @Test
    fun `most machines that receive nothing cause no repeated failover, and their tasks start elsewhere`() {
        assertEquals(24, startsWithBlockedMachines(inboundBlocked = 3, crashAfterS = 1.0))
    }
}

package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.simulation.FaultCombinationScenario
import plankwall.simulation.SimulatedCluster
import java.util.stream.LongStream

/** Tests of overlapping faults: no rule is violated, and every job that no user cancelled is done in the end. */
class FaultCombinationScenarioTest {
    /** Runs twelve days. `-Dmeetings=300` runs 300 instead, and `-DfirstMeeting=` sets the seed of the first day. */
    @Test
    fun `faults drawn in pairs violate no rule and leave no job unfinished`() {
        val firstSeed = java.lang.Long.getLong("firstMeeting", 1L)
        val days = LongStream.range(
            firstSeed,
            firstSeed + java.lang.Long.getLong("meetings", 12L),
        ).parallel().mapToObj {
            FaultCombinationScenario(
                it,
                if (it % 2 == 0L) {
                    3
                } else {
                    5
                },
            ).play()
        }.toList()
        val failedDays = days.filter { it.violations.isNotEmpty() || it.unfinishedJobs.isNotEmpty() }
        assertEquals(
            emptyList<String>(),
            failedDays.map {
                "day ${it.seed}: ${it.violations.take(3)} unserved ${it.unfinishedJobs}; ${it.faults}"
            },
        )
        assertTrue(days.all { it.cancelled >= 20 })
        assertTrue(days.sumOf { it.faultCounts.size } >= days.size, "too few faults took effect")
    }

    /**
     * Returns the number of task starts when the leader crashes [crashAfterS] seconds after [inboundBlocked] machines
     * stopped receiving answers. The tasks of these machines start again elsewhere.
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
        // Heartbeats go on all this time, but those of the blocked machines never show the new leader's token.
        cluster.clock.runUntil(50.0 + crashAfterS + 2 * cluster.settings.workers.leaseS + 40.0)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        return cluster.checker.starts
    }

    @ParameterizedTest(name = "{0} machines blocked {1} s before the leader crashes, {2} starts")
    @CsvSource("1, 1, 16", "1, 8, 16", "0, 1, 12")
    fun `tasks of machines that receive nothing from the new leader start elsewhere`(
        inboundBlocked: Int,
        crashAfterS: Double,
        expectedStarts: Int,
    ) {
        assertEquals(expectedStarts, startsWithBlockedMachines(inboundBlocked, crashAfterS))
    }

    @Test
    fun `if most machines receive nothing there is no repeated failover and their tasks start elsewhere`() {
        assertEquals(24, startsWithBlockedMachines(inboundBlocked = 3, crashAfterS = 1.0))
    }
}

package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import plankwall.fixtures.FaultCombinationFixture
import plankwall.simulation.SimulatedCluster

/** Tests that no controller answers an older state of a job once a user was told that the job is over. */
class FinalStageTest : FaultCombinationFixture() {
    @Test
    fun `a job cancelled through a dependency is never called pending again by a controller that reads slowly`() {
        val violations = (1L..20L).flatMap { seed -> playCancelledChains(seed).map { "seed $seed: $it" } }
        assertEquals(emptyList<String>(), violations)
    }

    /**
     * Cancels the first job of each of several groups, then submits jobs that depend on it, directly or through others,
     * while users keep asking for them at all controllers.
     */
    private fun playCancelledChains(seed: Long): List<String> {
        cluster = SimulatedCluster(seed, nodeCount = 5)
        cluster.faults.slowStoreCalls = 0.5
        for (first in 1..JOBS step CHAIN_LENGTH) {
            after(2.0 + first) { cluster.submit(SimulatedCluster.job(first, tasks = 1, runS = 30.0)) }
            after(5.0 + first) { cluster.cancel(jobId(first)) }
            for (number in first + 1 until first + CHAIN_LENGTH) {
                after(5.0 + first + (number - first) * SUBMISSION_INTERVAL_S) { submitDependent(number) }
            }
            repeat(QUERIES) { round -> after(5.0 + first + round * QUERY_INTERVAL_S) { queryChain(first) } }
        }
        runFor(100.0)
        assertFaultsOccurred("slow store calls")
        (1..JOBS).forEach { assertEquals("withdrawn", cluster.checker.finalStageOf(jobId(it)), jobId(it)) }
        return cluster.checker.violations
    }

    private fun submitDependent(number: Int) =
        cluster.submit(SimulatedCluster.job(number, tasks = 1, runS = 20.0, after = listOf(number - 1)))

    private fun queryChain(first: Int) =
        (first until first + CHAIN_LENGTH).map(::jobId).filter(cluster.checker::isAccepted).forEach { id ->
            cluster.users.queryStatus(id, cluster.nodes[cluster.random.nextInt(cluster.nodes.size)])
        }

    private companion object {
        const val JOBS = 60
        const val CHAIN_LENGTH = 6
        const val SUBMISSION_INTERVAL_S = 0.4
        const val QUERIES = 350
        const val QUERY_INTERVAL_S = 0.02
    }
}

package plankwall.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import plankwall.wire.JobCodec

/** Tests that jobs with unusual amounts leave the service of all jobs as it is. */
class StoredAmountsTest {
    /**
     * Guards against a job record that can't be read: no controller answered for any job, later jobs never started, and
     * the next leader never finished loading the state.
     */
    @ParameterizedTest
    @ValueSource(strings = ["guess_s", "size_gb", "snapshot_s", "stow_s"])
    fun `a job with an amount of sixty decimals is done like all others, also after all controllers restart`(
        field: String,
    ) {
        val cluster = SimulatedCluster(51)
        val description = JobCodec.description(SimulatedCluster.job(2, runS = 60.0)).decodeToString()
        val oddJob = JobCodec.read(
            description.replace(Regex("\"$field\":[^,}]*"), "\"$field\":1E-60").encodeToByteArray(),
        )
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, runS = 60.0)) }
        cluster.clock.after(4.0) { cluster.submit(oddJob) }
        cluster.clock.after(6.0) { cluster.submit(SimulatedCluster.job(3, runS = 10.0)) }
        cluster.clock.after(40.0) { cluster.nodes.forEach { it.crash(3.0) } }
        cluster.clock.after(60.0) { cluster.submit(SimulatedCluster.job(4, runS = 10.0)) }
        cluster.clock.runUntil(240.0)
        assertEquals(List(4) { "done" }, (1..4).map { cluster.stageOf("job-%06d".format(it)) })
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }
}

package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster

/** Tests jobs whose only machines fail every task for a while and are sound again. */
class BriefMachineFaultTest {
    /**
     * Guards against a job that waits for ever beside a sound machine: its first attempt failed there while the machine
     * was faulty for some seconds, and it was never tried there again.
     */
    @ParameterizedTest(name = "{0} machines, faulty for {1} s")
    @CsvSource("1, 10", "1, 110", "2, 10", "2, 110")
    fun `a job is tried again on machines that failed it and are sound again`(machines: Int, faultyForS: Double) {
        val cluster = SimulatedCluster(seed = 3)
        cluster.cloud.capacity = machines
        val services = List(machines) {
            SimulatedCluster.job(100 + it, Shape.SERVICE, tasks = 1, gpus = 3, priority = Priority.PRODUCTION)
        }
        services.forEach(cluster::submit)
        cluster.clock.runUntil(40.0)
        cluster.cloud.workers.forEach { it.failsEveryTask = true }
        cluster.submit(SimulatedCluster.job(1, tasks = 1))
        cluster.clock.after(faultyForS) { cluster.cloud.workers.forEach { it.failsEveryTask = false } }
        cluster.checker.faultsOverAt = 40.0 + faultyForS
        cluster.clock.runUntil(40.0 + faultyForS + MAX_WAIT_S)
        assertEquals("done", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    private companion object {
        /** No job may wait for 90 s beside a machine with room; its task then runs for 20 s. */
        const val MAX_WAIT_S = 115.0
    }
}

package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster

/** Tests whether failures cost the right ones: machines that are faulty for a while, and jobs with a mistake. */
class MistakenBlameTest {
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

    /**
     * Guards against sound machines that are deleted one after another with the work on them: two mistaken jobs, placed
     * together with others, failed on each.
     */
    @Test
    fun `two mistaken jobs cost no sound machine and no work of the jobs beside them`() {
        val cluster = SimulatedCluster(seed = 4)
        cluster.cloud.capacity = 10
        val sound = (1..6).map { SimulatedCluster.job(it, tasks = 1, gpus = 0, runS = 40.0) }
        val mistaken = listOf(7, 8).map { SimulatedCluster.job(it, tasks = 1, gpus = 0, runS = 40.0) }
        mistaken.forEach { cluster.faults.faultyJobs.add(it.id) }
        cluster.clock.after(1.0) { (sound + mistaken).forEach(cluster::submit) }
        cluster.clock.runUntil(100.0)
        assertEquals(List(6) { "done" }, sound.map { cluster.stageOf(it.id) })
        assertEquals(6, cluster.checker.starts, "no sound task starts twice")
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    private companion object {
        /** No job may wait for 90 s beside a machine with room; its task then runs for 20 s. */
        const val MAX_WAIT_S = 115.0
    }
}

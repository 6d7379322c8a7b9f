package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import plankwall.core.statemachine.Effect
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.simulation.LinkCut
import plankwall.simulation.SimulatedCluster
import plankwall.simulation.SimulatedWorker

/**
 * Tests late copies of commands that were executed and answered before, while machines and controllers restart within a
 * second and tasks are moved or cancelled in between.
 */
class LateCommandCopiesTest {
    /** Ids of the jobs that have to be done at the end. */
    private val requiredIds = ArrayList<String>()

    /** The kinds of orders in direct commands. */
    private val directOrders = HashSet<String>()

    /**
     * Guards against a task that runs on two machines or after its cancellation: a start that reaches a worker again
     * after the worker has forgotten the attempt would be executed again. Starts are only sent in the answers to
     * heartbeats, which can't be executed late; every node relays the heartbeats of one zone here, so that the frames
     * with these answers are copied too.
     */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `no task runs twice or after its cancellation though commands arrive again`(seed: Long) {
        val cluster = SimulatedCluster(seed)
        cluster.cloud.capacity = MAX_MACHINES
        submitJobs(cluster)
        injectFaults(cluster)
        cluster.onEffect = { _, effect ->
            if (effect is Effect.WorkerPost) {
                SimulatedWorker.json.readTree(effect.body).get("orders")
                    .forEach { directOrders.add(it.get("verb").asText()) }
            }
        }
        cluster.clock.runUntil(END_S)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertEquals(0, cluster.checker.startsAfterCancel, "starts after a confirmed cancellation")
        assertEquals(setOf("stop"), directOrders)
        val copies = cluster.faults.counts["late copies of commands executed"] ?: 0
        assertTrue(copies > MIN_COPIES, "only $copies copies were executed")
        assertEquals(
            emptyList<String>(),
            requiredIds.filter {
                cluster.stageOf(it) != "done"
            },
            "jobs that are not done",
        )
    }

    /** Submits jobs of all shapes; those of production priority preempt others, which are then moved. */
    private fun submitJobs(cluster: SimulatedCluster) {
        for (number in 1..JOBS) {
            val spec = SimulatedCluster.job(
                number,
                if (number % 5 == 0) {
                    Shape.SERVICE
                } else if (number % 2 == 0) {
                    Shape.GANG
                } else {
                    Shape.ARRAY
                },
                tasks = 1 + number % 4,
                runS = 8.0 + number % 12,
                priority = if (number % 5 == 0) Priority.PRODUCTION else Priority.LOW,
            )
            val isCancelled = number % 3 == 0 || spec.shape == Shape.SERVICE
            if (!isCancelled) requiredIds.add(spec.id)
            cluster.clock.after(3.0 + number * 3.0) {
                cluster.submit(spec, cancelAfterS = if (isCancelled) 4.0 + number % 20 else null)
            }
        }
    }

    private fun injectFaults(cluster: SimulatedCluster) {
        listOf("n0" to "zone:a", "n1" to "zone:b", "n2" to "zone:a").forEach { (node, zone) ->
            cluster.network.cutBoth(node, zone, LinkCut.DROP)
        }
        cluster.faults.lateCommandCopies = 1.0
        cluster.faults.lateFrameCopies = 0.3
        cluster.faults.lateHeartbeatCopies = 0.2
        cluster.faults.copiesForNextLeader = 0.2
        cluster.clock.every(MACHINE_RESTART_INTERVAL_S) {
            if (cluster.clock.now < FAULTS_END_S) {
                cluster.cloud.workers.randomOrNull(cluster)
                    ?.restart(drawDowntimeS(cluster), inNewSession = cluster.random.nextBoolean())
            }
        }
        cluster.clock.every(CONTROLLER_RESTART_INTERVAL_S) {
            if (cluster.clock.now < FAULTS_END_S) {
                cluster.nodes.filter { it.isUp }.randomOrNull(cluster)?.crash(drawDowntimeS(cluster))
            }
        }
        cluster.clock.after(FAULTS_END_S) {
            cluster.network.healAll()
            cluster.faults.lateFrameCopies = 0.0
            cluster.faults.lateHeartbeatCopies = 0.0
        }
    }

    private fun <T> List<T>.randomOrNull(cluster: SimulatedCluster): T? =
        if (isEmpty()) null else this[cluster.random.nextInt(size)]

    /** Draws how long a machine or a controller is away: less than a second. */
    private fun drawDowntimeS(cluster: SimulatedCluster): Double = 0.1 + cluster.random.nextDouble() * 0.8

    private companion object {
        const val MAX_MACHINES = 8
        const val JOBS = 45
        const val MACHINE_RESTART_INTERVAL_S = 5.0
        const val CONTROLLER_RESTART_INTERVAL_S = 9.0
        const val FAULTS_END_S = 150.0
        const val END_S = 330.0

        /** With fewer copies the run would show little. */
        const val MIN_COPIES = 10
    }
}

package plankwall.core.placement

import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.state.ZoneConstraint
import plankwall.fixtures.CoreParts
import plankwall.model.GroupKey
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster
import java.util.Random

/** Tests that the queue of candidate machines selects the same machine as a search of all machines. */
class CandidateQueueTest {
    @ParameterizedTest(name = "tasks spread {0}, all in one zone {1}, seed {2}")
    @CsvSource("false,false,1", "true,false,2", "false,true,3", "false,false,4", "true,false,5", "false,true,6")
    fun `each task is placed on the machine that a search of all machines selects`(
        spread: Boolean,
        oneZone: Boolean,
        seed: Long,
    ) {
        val random = Random(seed)
        val core = CoreParts()
        val machines = List(40) { index ->
            core.fleet.machine("i-%06d".format(index)).also { machine ->
                core.fleet.describe(
                    machine,
                    GroupKey("box", if (random.nextInt(3) == 0) "a" else "b", false),
                    "addr:$index",
                )
                if (random.nextInt(4) == 0) machine.imageCache.record(plankwall.model.ImageIndex(1), 2.0, core.ctx.now)
            }
        }
        val running = core.learn(SimulatedCluster.job(1, tasks = 60))
        repeat(60) {
            core.schedulerState.place(
                running,
                it,
                machines[random.nextInt(machines.size)].takeIf { machine -> running.spec.need.fitsIn(machine.free) }
                    ?: machines.first { machine -> running.spec.need.fitsIn(machine.free) },
                it + 1L,
            )
        }
        val job = core.learn(
            SimulatedCluster.job(
                2,
                if (spread) Shape.SERVICE else Shape.ARRAY,
                tasks = 80,
                spread = spread,
                oneZone = oneZone,
            ),
        )
        val capacity = FreeCapacity(core.ctx, core.fleet).apply { beginPass() }
        val queue = CandidateQueue(capacity, job, machines, ZoneConstraint(job))
        var placed = 0
        while (job.waiting.isNotEmpty()) {
            val zones = ZoneConstraint(job)
            val expected = capacity.findBest(job, machines, zones)
            assertSame(expected, queue.findBest(zones), "task $placed")
            core.schedulerState.place(job, job.waiting.first(), expected ?: break, 1_000L + placed)
            queue.onPlaced()
            placed++
        }
        assertTrue(placed > 10, "$placed tasks placed")
    }
}

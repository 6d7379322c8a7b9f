package plankwall.core.autoscaling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.state.BootingMachine
import plankwall.fixtures.CoreParts
import plankwall.model.GroupKey
import plankwall.simulation.SimulatedCluster

/**
 * Machines that come up late or never: when a group is troubled, and which of what is overdue still counts as room to
 * come.
 */
class BootDelayDetectorTest {
    private val ctx = CoreParts().ctx

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, overdue here, up here, overdue in another group, up there, seconds since the take-over, troubled,
        // counted on, patience
        "'all is well', 0, 10, 0, 10, 500, false, 0, 120",
        "'a straggler is replaced at once', 1, 10, 0, 10, 500, false, 0, 120",
        "'a handful among many', 4, 20, 0, 0, 500, false, 0, 120",
        "'a third is late', 8, 16, 0, 0, 500, true, 4, 180",
        "'nothing comes', 3, 0, 0, 0, 500, true, 1, 180",
        "'two say nothing by themselves', 2, 0, 0, 50, 500, false, 0, 120",
        "'but do where all groups are late', 2, 0, 9, 0, 500, true, 1, 180",
        "'a new leader takes no sum of stragglers for trouble', 2, 0, 9, 0, 5, false, 0, 120",
        "'but knows a group that has a handful', 8, 0, 0, 0, 5, true, 4, 180",
    )
    fun `late or lost`(
        name: String,
        late: Int,
        up: Int,
        lateThere: Int,
        upThere: Int,
        since: Double,
        troubled: Boolean,
        counted: Int,
        patienceS: Double,
    ) {
        val here = GroupKey("box", "a", false)
        val there = GroupKey("box", "b", false)
        val trouble = BootDelayDetector(ctx, BootDurations(), ctx.now - since)
        repeat(up) { trouble.recordBoot(here) }
        repeat(upThere) { trouble.recordBoot(there) }
        fun arrivals(n: Int, g: GroupKey) = List(n) { BootingMachine("i-${g.zone}$it", g, ctx.now - 20.0, 0) }
        val mine = arrivals(late, here)
        val fresh = BootingMachine("i-fresh", here, ctx.now - 5.0, 0)
        trouble.refresh(mine + arrivals(lateThere, there) + fresh, SimulatedCluster.CATALOG)
        assertEquals(troubled, here in trouble.delayedGroups, name)
        assertEquals(counted, mine.count { trouble.isCounted(it) }, name)
        assertTrue(trouble.isCounted(fresh), "what is not overdue always counts")
        assertEquals(patienceS, trouble.registrationTimeoutS(here), name)
    }

    /** Ten times as long as usual, three in ten never, and the leader silent for a minute amid it. */
    @Test
    fun `a wave that boots late is not rented for without end, nor lost, across a take-over`() {
        val world = SimulatedCluster(31)
        world.cloud.capacity = 400
        world.cloud.bootFactor = 8.0
        world.cloud.bootFailureShare = 0.3
        for (n in 1..10) world.clock.after(2.0) { world.submit(SimulatedCluster.job(n, tasks = 16, runS = 30.0)) }
        world.clock.after(45.0) { world.nodes.first { it.isLeader }.crash(60.0) }
        world.clock.runUntil(110.0)
        assertTrue(
            world.cloud.instancesCreated <= 80,
            "${world.cloud.instancesCreated} machines rented for the work of 40",
        )
        world.cloud.bootFailureShare = 0.0
        world.clock.runUntil(330.0)
        assertEquals(emptyList<String>(), world.checker.violations)
        assertEquals(List(10) { "done" }, (1..10).map { world.stageOf("job-%06d".format(it)) })
    }
}

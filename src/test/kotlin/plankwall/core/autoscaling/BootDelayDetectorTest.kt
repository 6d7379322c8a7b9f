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
 * Tests when a group counts as delayed because its machines boot late or never, and which overdue machines still count
 * as capacity about to arrive.
 */
class BootDelayDetectorTest {
    private val ctx = CoreParts().ctx

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, overdue and booted machines of the group, overdue and booted machines of another group, seconds since
        // this leader took over, whether the group is delayed, overdue machines that count, registration timeout in s
        "'a group without overdue machines is not delayed', 0, 10, 0, 10, 500, false, 0, 120",
        "'a single overdue machine is replaced at once', 1, 10, 0, 10, 500, false, 0, 120",
        "'a group with four overdue and twenty booted machines is not delayed', 4, 20, 0, 0, 500, false, 0, 120",
        "'a group with a third of its machines overdue is delayed', 8, 16, 0, 0, 500, true, 4, 180",
        "'a group with three overdue and no booted machines is delayed', 3, 0, 0, 0, 500, true, 1, 180",
        "'two overdue machines alone do not make a group delayed', 2, 0, 0, 50, 500, false, 0, 120",
        "'two overdue machines make a group delayed when all groups are late', 2, 0, 9, 0, 500, true, 1, 180",
        "'a new leader does not sum the overdue machines of all groups', 2, 0, 9, 0, 5, false, 0, 120",
        "'a new leader finds a group that has many overdue machines itself', 8, 0, 0, 0, 5, true, 4, 180",
    )
    fun `a group with many overdue machines is delayed, and part of those still count`(
        name: String,
        overdue: Int,
        booted: Int,
        overdueElsewhere: Int,
        bootedElsewhere: Int,
        sinceTakeoverS: Double,
        delayed: Boolean,
        countedOverdue: Int,
        timeoutS: Double,
    ) {
        val thisGroup = GroupKey("box", "a", false)
        val otherGroup = GroupKey("box", "b", false)
        val detector = BootDelayDetector(ctx, BootDurations(), ctx.now - sinceTakeoverS)
        repeat(booted) { detector.recordBoot(thisGroup) }
        repeat(bootedElsewhere) { detector.recordBoot(otherGroup) }
        fun bootingMachines(count: Int, group: GroupKey) =
            List(count) { BootingMachine("i-${group.zone}$it", group, ctx.now - 20.0, 0) }
        val overdueMachines = bootingMachines(overdue, thisGroup)
        val newMachine = BootingMachine("i-fresh", thisGroup, ctx.now - 5.0, 0)
        detector.refresh(
            overdueMachines + bootingMachines(overdueElsewhere, otherGroup) + newMachine,
            SimulatedCluster.CATALOG,
        )
        assertEquals(delayed, thisGroup in detector.delayedGroups, name)
        assertEquals(countedOverdue, overdueMachines.count { detector.isCounted(it) }, name)
        assertTrue(detector.isCounted(newMachine), "a machine that is not overdue always counts")
        assertEquals(timeoutS, detector.registrationTimeoutS(thisGroup), name)
    }

    /**
     * Guards against replacements of replacements without end: machines boot eight times as slowly as usual, three in
     * ten never do, and the leader crashes for a minute meanwhile.
     */
    @Test
    fun `a wave of late boots leads to bounded rentals and loses no job across a failover`() {
        val cluster = SimulatedCluster(31)
        cluster.cloud.capacity = 400
        cluster.cloud.bootFactor = 8.0
        cluster.cloud.bootFailureShare = 0.3
        for (n in 1..10) cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(n, tasks = 16, runS = 30.0)) }
        cluster.clock.after(45.0) { cluster.nodes.first { it.isLeader }.crash(60.0) }
        cluster.clock.runUntil(110.0)
        assertTrue(
            cluster.cloud.instancesCreated <= 80,
            "${cluster.cloud.instancesCreated} machines rented for the work of 40",
        )
        cluster.cloud.bootFailureShare = 0.0
        cluster.clock.runUntil(330.0)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertEquals(List(10) { "done" }, (1..10).map { cluster.stageOf("job-%06d".format(it)) })
    }
}

package plankwall.core.autoscaling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.failuredetector.FailureDetector
import plankwall.core.state.BootingMachine
import plankwall.core.state.Fleet
import plankwall.core.statemachine.Context
import plankwall.model.GroupKey
import plankwall.model.Tuning
import plankwall.simulation.SimulatedCluster
import java.util.Random

/**
 * Tests the answers of [ClusterStateRegistry] on fleets that are given as numbers of machines. S1 to S3 are questions
 * that the registry answers in the paper "Cluster State Registry: Handling unready nodes" (the Kubernetes
 * cluster autoscaler): whether the cluster is in good shape (S1), whether each group is (S2), and which machines should
 * arrive soon (S3). UC1 to UC8 are the use cases of that paper, such as one silent machine (UC6) or many (UC8).
 */
class ClusterStateRegistryTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1, Random(1)).apply {
        time.advance(1000.0, 0)
    }
    private val fleet = Fleet(ctx).apply { catalog = SimulatedCluster.CATALOG }
    private val registry = ClusterStateRegistry(ctx, fleet, FailureDetector(ctx, fleet, 0.0))
    private var nextNumber = 0

    /** Adds [count] registered machines that sent their last heartbeat [silentS] seconds ago. */
    private fun addMachines(zone: String, count: Int, silentS: Double, beingScaledIn: Boolean = false) = repeat(count) {
        val machine = fleet.machine("i-%06d".format(nextNumber++))
        fleet.describe(machine, GroupKey("box", zone, false), "")
        machine.registeredAt = 1.0
        machine.lastHeartbeatAt = ctx.now - silentS
        machine.isBeingScaledIn = beingScaledIn
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // Columns: name; the numbers of machines of zone a that are ready, silent, and silent while being scaled in;
        // the numbers of machines of zone b that are ready and silent; whether the cluster is expected to be in good
        // shape; the zones that are expected to count as partitioned.
        "'S1 the cluster is in good shape when all machines are ready', 5, 0, 0, 5, 0, true, ''",
        "'UC6 the cluster is in good shape when one machine is silent', 5, 1, 0, 5, 0, true, ''",
        "'UC8 the cluster is in bad shape when many machines of all zones are silent', 5, 3, 0, 5, 3, false, ''",
        "'UC7 the cluster is in good shape when the silent machines are being scaled in', 5, 0, 4, 5, 0, true, ''",
        "'the cluster is in good shape when only two machines are silent, even two of three', 1, 2, 0, 0, 0, true, ''",
        "'the cluster is in good shape when the silent machines are in a partitioned zone', 6, 0, 0, 0, 5, true, b",
        "'the cluster is in good shape when the leader is cut off from all zones', 0, 5, 0, 0, 5, true, 'a b'",
    )
    fun `the cluster is in bad shape when many machines are silent without a known reason`(
        name: String,
        readyA: Int,
        silentA: Int,
        beingScaledInA: Int,
        readyB: Int,
        silentB: Int,
        goodShape: Boolean,
        partitionedZones: String,
    ) {
        addMachines("a", readyA, 1.0)
        addMachines("a", silentA, 60.0)
        addMachines("a", beingScaledInA, 60.0, beingScaledIn = true)
        addMachines("b", readyB, 1.0)
        addMachines("b", silentB, 60.0)
        registry.refresh(emptyMap())
        assertEquals(goodShape, registry.inGoodShape, name)
        assertEquals(partitionedZones, registry.partitionedZones.sorted().joinToString(" "), name)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // Columns: name; the numbers of ready machines, of silent machines, and of machines requested 10 s and 200 s
        // ago; whether the group is expected to be healthy; the expected numbers of arriving and of late machines.
        "'S2 a group is healthy when all its machines are ready', 5, 0, 0, 0, true, 0, 0",
        "'UC1 and S3 a group is healthy when its machines were just requested', 0, 0, 4, 0, true, 4, 0",
        "'UC3 a group is unhealthy when three of its machines fail to come up', 1, 0, 0, 3, false, 0, 3",
        "'S2 a group is unhealthy when many of its machines are unready', 2, 4, 0, 0, false, 0, 0",
        "'a group is healthy when one of its machines is late', 0, 0, 1, 1, true, 1, 1",
    )
    fun `a group is healthy while few of its machines are unready or late`(
        name: String,
        ready: Int,
        silent: Int,
        requestedLately: Int,
        requestedLongAgo: Int,
        healthy: Boolean,
        arriving: Int,
        late: Int,
    ) {
        addMachines("a", ready, 1.0)
        addMachines("a", silent, 60.0)
        addMachines("b", 30, 1.0)
        val key = GroupKey("box", "a", false)
        val bootingMachines = (List(requestedLately) { 10.0 } + List(requestedLongAgo) { 200.0 })
            .mapIndexed { index, age ->
                "i-9$index" to BootingMachine("i-9$index", key, ctx.now - age, 0)
            }.toMap()
        registry.refresh(bootingMachines)
        val group = registry.groupHealth(key)
        // Silent machines count as unready for a known reason if their zone is partitioned, which means that nearly all
        // of its machines are silent. In no case here are nearly all machines of the tested group silent.
        assertEquals(Triple(healthy, arriving, late), Triple(group.healthy, group.arriving, group.late), name)
    }
}

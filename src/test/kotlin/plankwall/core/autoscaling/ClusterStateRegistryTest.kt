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

/** The registry's questions (S1 to S3 of the paper) on fleets given as counts. */
class ClusterStateRegistryTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1, Random(1)).apply {
        time.advance(1000.0, 0)
    }
    private val fleet = Fleet(ctx).apply { catalog = SimulatedCluster.CATALOG }
    private val registry = ClusterStateRegistry(ctx, fleet, FailureDetector(ctx, fleet, 0.0))
    private var next = 0

    private fun add(zone: String, count: Int, heardAgo: Double, returning: Boolean = false) = repeat(count) {
        val m = fleet.machine("i-%06d".format(next++))
        fleet.describe(m, GroupKey("box", zone, false), "")
        m.registeredAt = 1.0
        m.lastHeartbeatAt = ctx.now - heardAgo
        m.isBeingScaledIn = returning
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, ready in a, silent in a, returning and silent in a, ready in b, silent in b, good shape, cut zones
        "'S1 all ready', 5, 0, 0, 5, 0, true, ''",
        "'UC6 one silent', 5, 1, 0, 5, 0, true, ''",
        "'UC8 broad unreadiness', 5, 3, 0, 5, 3, false, ''",
        "'UC7 being returned explains silence', 5, 0, 4, 5, 0, true, ''",
        "'two of three silent are a handful', 1, 2, 0, 0, 0, true, ''",
        "'a zone that is cut does not halt the rest', 6, 0, 0, 0, 5, true, b",
        "'everything silent is the leader cut off', 0, 5, 0, 0, 5, true, 'a b'",
    )
    fun `judges the whole`(
        name: String,
        ready: Int,
        silent: Int,
        leaving: Int,
        readyB: Int,
        silentB: Int,
        good: Boolean,
        cut: String,
    ) {
        add("a", ready, 1.0)
        add("a", silent, 60.0)
        add("a", leaving, 60.0, returning = true)
        add("b", readyB, 1.0)
        add("b", silentB, 60.0)
        registry.refresh(emptyMap())
        assertEquals(good, registry.inGoodShape, name)
        assertEquals(cut, registry.partitionedZones.sorted().joinToString(" "), name)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, ready, silent, arriving of age 10, arriving of age 200, healthy, yet to arrive, late
        "'S2 sound group', 5, 0, 0, 0, true, 0, 0",
        "'UC1 and S3 just rented', 0, 0, 4, 0, true, 4, 0",
        "'UC3 starts that fail', 1, 0, 0, 3, false, 0, 3",
        "'S2 many unready', 2, 4, 0, 0, false, 0, 0",
        "'one late start is nothing', 0, 0, 1, 1, true, 1, 1",
    )
    fun `judges a group`(
        name: String,
        ready: Int,
        silent: Int,
        fresh: Int,
        old: Int,
        healthy: Boolean,
        arriving: Int,
        late: Int,
    ) {
        add("a", ready, 1.0)
        add("a", silent, 60.0)
        add("b", 30, 1.0)
        val key = GroupKey("box", "a", false)
        val arrivals = (List(fresh) { 10.0 } + List(old) { 200.0 }).mapIndexed { i, age ->
            "i-9$i" to BootingMachine("i-9$i", key, ctx.now - age, 0)
        }.toMap()
        registry.refresh(arrivals)
        val group = registry.groupHealth(key)
        // A cut zone's machines are explained, so this looks at a zone that is not wholly silent.
        assertEquals(Triple(healthy, arriving, late), Triple(group.healthy, group.arriving, group.late), name)
    }
}

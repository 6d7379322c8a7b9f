package plankwall.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import plankwall.core.store.ChunkedValue
import plankwall.core.store.StoreLimits
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.StateLimits
import plankwall.wire.FleetRecord
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.StateCodec
import plankwall.wire.StateItem
import plankwall.wire.Stored
import plankwall.wire.StoredBootingMachine
import plankwall.wire.StoredScaleOut

/** The state service takes less from some moment on: what is stored in the larger form must still change. */
class SmallerLimitsTest {
    private val smaller = StateLimits(250.0, 70.0, 2.0, 10)

    /** A job as a node accepted it that laid pages out for values of 16 KiB. */
    private fun SimulatedCluster.submitLaidOutLarge(
        number: Int,
        tasks: Int,
        runS: Double,
        pageSize: Int = 252,
        types: List<String>? = null,
    ) {
        val spec = SimulatedCluster.job(number, tasks = tasks, runS = runS).copy(types = types)
        assumeAccepted(spec)
        state.put(Keys.job(spec.id), JobRecord(spec, (clock.now * 1000).toLong() + 1_700_000_000_000, 0, pageSize))
    }

    @ParameterizedTest(name = "{0} tasks, leader ends {1} s after the limits came, announced {2}")
    @CsvSource(
        "120, -1, true", "120, 0.2, true", "120, 0.6, true", "240, -1, true", "240, 0.3, true", "700, -1, true",
        "700, 0.2, true", "700, 0.4, true",
        "700, 0.8, true", "240, -1, false", "700, 0.5, false",
    )
    fun `large pages that are stored already go on changing`(tasks: Int, crashAfter: Double, announced: Boolean) {
        val world = SimulatedCluster(tasks + (crashAfter * 10).toLong(), stateNext = smaller.takeIf { announced })
        world.cloud.capacity = 200
        world.clock.after(2.0) { world.submitLaidOutLarge(1, tasks, runS = 40.0) }
        world.clock.runUntil(40.0)
        val before = world.state.value(Keys.page("job-000001", 0))?.let { StateCodec.sizeOf(it) } ?: 0
        assertTrue(announced || before > 2048, "only $before bytes")
        world.state.limits = smaller
        if (crashAfter > 0) world.clock.after(crashAfter) { world.nodes.first { it.leading }.crash(8.0) }
        world.clock.runUntil(260.0)
        assertEquals("done", world.stageOf("job-000001"))
        assertEquals(emptyList<String>(), world.checker.broken)
        assertTrue(world.state.rejected.values.all { it <= 2 }, "repeated unchanged: ${world.state.rejected}")
        assertTrue(world.state.keys.none { it.startsWith(Keys.PAGES) }, "pages left behind")
    }

    @ParameterizedTest
    @ValueSource(doubles = [0.05, 0.1, 0.15, 0.2, 0.25, 0.3])
    fun `a leader that ends in the middle of dividing a page leaves it whole`(crashAfter: Double) {
        // Twelve tasks a part and four changes a transaction: a page of 252 takes several steps.
        val tiny = StateLimits(250.0, 70.0, 1.0, 4)
        val world = SimulatedCluster(7)
        world.cloud.capacity = 100
        world.clock.after(2.0) { world.submitLaidOutLarge(1, 250, runS = 60.0) }
        world.clock.runUntil(25.0)
        world.state.limits = tiny
        while (world.state.keys.count { it.startsWith("${Keys.PAGES}job-000001/") } < 2 &&
            world.clock.now < 120
        ) {
            world.clock.runUntil(world.clock.now + 0.01)
        }
        assertTrue(world.clock.now < 120, "never divided")
        world.clock.after(crashAfter) { world.nodes.first { it.leading }.crash(8.0) }
        world.clock.runUntil(400.0)
        assertEquals("done", world.stageOf("job-000001"))
        assertEquals(emptyList<String>(), world.checker.broken)
    }

    @Test
    fun `a long description that is stored already can still be withdrawn`() {
        val world = SimulatedCluster(8, stateNext = smaller)
        world.clock.after(2.0) {
            world.submitLaidOutLarge(
                1,
                4,
                runS = 300.0,
                types =
                listOf("box") + List(200) { "type-of-a-long-name-$it" },
            )
        }
        world.clock.runUntil(40.0)
        assertEquals("running", world.stageOf("job-000001"))
        world.state.limits = smaller
        world.cancel("job-000001")
        world.clock.runUntil(60.0)
        assertEquals("withdrawn", world.stageOf("job-000001"))
        assertEquals(emptyList<String>(), world.checker.broken)
    }

    private fun items(key: String, pieces: List<Stored>) = pieces.mapIndexed { i, p ->
        StateItem(
            if (i ==
                0
            ) {
                key
            } else {
                Keys.more(key, i)
            },
            p,
            5,
        )
    }

    private fun fleet(rentals: Int, arrivals: Int, returning: Int): FleetRecord {
        val group = GroupKey("gotthard-box", "bern-keller", false)
        return FleetRecord(
            (0 until rentals).map { StoredScaleOut("r-123456-$it", group, 50) },
            (0 until arrivals).map {
                StoredBootingMachine("i-%06d".format(it * 2), group, 1_700_000_000_000 + it / 50)
            },
            (0 until returning).map { "i-%06d".format(9000 + it * 3) },
        )
    }

    @ParameterizedTest(name = "{0} rentals, {1} arrivals, {2} returns")
    @CsvSource("0, 0, 0", "3, 20, 5", "20, 10, 10", "20, 300, 300", "0, 800, 0", "20, 0, 700")
    fun `the whole record of the fleet is kept within small values and one transaction`(
        rentals: Int,
        arrivals: Int,
        returning: Int,
    ) {
        val whole = fleet(rentals, arrivals, returning)
        val pieces = checkNotNull(ChunkedValue.fleet(whole, smaller.txnOps, 2048))
        assertTrue(pieces.all { StateCodec.sizeOf(it) <= 2048 })
        assertTrue(ChunkedValue.writes(Keys.FLEET, pieces, smaller.txnOps - 1).size <= smaller.txnOps)
        assertEquals(whole, ChunkedValue.fleet(items(Keys.FLEET, pieces)))
        assertEquals(1, ChunkedValue.fleet(whole, 1, 16 * 1024)?.size, "one value where that is enough")
    }

    @Test
    fun `further keys that the first does not name count for nothing`() {
        val pieces = checkNotNull(ChunkedValue.fleet(fleet(2, 300, 100), 10, 2048))
        // The first version rewrites the first key alone, without the count.
        val rewritten = items(Keys.FLEET, listOf(fleet(1, 2, 0)) + pieces.drop(1))
        assertEquals(fleet(1, 2, 0), ChunkedValue.fleet(rewritten))
        assertEquals(pieces.size - 1, ChunkedValue.further(Keys.FLEET, rewritten))
    }

    @Test
    fun `a catalogue is only read whole`() {
        val types = SimulatedCluster.CATALOG.types.single().let { t ->
            List(40) { t.copy(name = "type-$it", zones = List(4) { z -> "a-zone-of-a-long-name-$z" }) }
        }
        val pieces = checkNotNull(ChunkedValue.catalog(Catalog(types), 10, 2048))
        assertEquals(types, ChunkedValue.catalog(items(Keys.CATALOG, pieces))?.types)
        assertNull(ChunkedValue.catalog(items(Keys.CATALOG, pieces).dropLast(1)))
        assertNull(ChunkedValue.catalog(Catalog(types), 1, 2048), "no part of it is stored instead")
    }

    @ParameterizedTest(name = "{0} changes, {1} bytes refused")
    @CsvSource(
        // announced are 10 changes and 2048 bytes
        "5, 9000, 10, 2048",
        "20, 100, 10, 2048",
        "1, 1500, 10, 1024",
        "8, 900, 4, 2048",
        "3, 900, 10, 2048",
    )
    fun `a refusal teaches the limits`(ops: Int, largest: Int, opsAfter: Int, bytesAfter: Int) {
        val limits = StoreLimits(SimulatedCluster.settings("n0", 3).copy(stateNext = smaller))
        assertEquals(listOf(10, 2048, 8192), listOf(limits.txnOps, limits.valueBytes, limits.wholeBytes))
        limits.onRejected(ops, largest)
        assertEquals(
            listOf(opsAfter, bytesAfter, bytesAfter),
            listOf(limits.txnOps, limits.valueBytes, limits.wholeBytes),
        )
    }

    @Test
    fun `machines arriving and returning survive a take-over under the smaller limits`() {
        val tiny = smaller.copy(valueKb = 1.0)
        val world = SimulatedCluster(9, stateNext = tiny)
        world.cloud.capacity = 2000
        // Rented little by little and with names taken turn about, so that few share an entry of the record.
        for (n in 1..160) {
            world.clock.after(2.0 + n * 0.05) {
                world.submit(
                    SimulatedCluster.job(
                        n,
                        tasks = 16,
                        runS = 30.0,
                        spot =
                        n % 2 == 0,
                    ),
                )
            }
        }
        world.state.limits = tiny
        world.clock.runUntil(12.0)
        val rented = world.cloud.rentals
        assertTrue(rented >= 500, "$rented")
        assertTrue(world.state.keys.any { it.startsWith("${Keys.FLEET}/") }, "the record was never divided")
        world.nodes.first { it.leading }.crash(6.0)
        world.clock.runUntil(19.0)
        assertTrue(world.cloud.rentals <= rented * 1.05, "rented twice: $rented, then ${world.cloud.rentals}")
        world.clock.runUntil(200.0)
        assertEquals(emptyList<String>(), world.checker.broken)
        assertEquals(emptyMap<String, Int>(), world.state.rejected)
        assertEquals("done", world.stageOf("job-000160"))
    }
}

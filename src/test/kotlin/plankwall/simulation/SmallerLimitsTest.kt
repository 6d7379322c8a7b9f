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
        users.assumeAccepted(spec)
        state.put(Keys.job(spec.id), JobRecord(spec, (clock.now * 1000).toLong() + 1_700_000_000_000, 0, pageSize))
    }

    @ParameterizedTest(name = "{0} tasks, leader ends {1} s after the limits came, announced {2}")
    @CsvSource(
        "120, -1, true", "120, 0.2, true", "120, 0.6, true", "240, -1, true", "240, 0.3, true", "700, -1, true",
        "700, 0.2, true", "700, 0.4, true",
        "700, 0.8, true", "240, -1, false", "700, 0.5, false",
    )
    fun `large pages that are stored already go on changing`(tasks: Int, crashAfter: Double, announced: Boolean) {
        val cluster = SimulatedCluster(tasks + (crashAfter * 10).toLong(), stateNext = smaller.takeIf { announced })
        cluster.cloud.capacity = 200
        cluster.clock.after(2.0) { cluster.submitLaidOutLarge(1, tasks, runS = 40.0) }
        cluster.clock.runUntil(40.0)
        val before = cluster.state.value(Keys.page("job-000001", 0))?.let { StateCodec.sizeOf(it) } ?: 0
        assertTrue(announced || before > 2048, "only $before bytes")
        cluster.state.limits = smaller
        if (crashAfter > 0) cluster.clock.after(crashAfter) { cluster.nodes.first { it.isLeader }.crash(8.0) }
        cluster.clock.runUntil(260.0)
        assertEquals("done", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertTrue(
            cluster.state.rejectionCounts.values.all {
                it <= 2
            },
            "repeated unchanged: ${cluster.state.rejectionCounts}",
        )
        assertTrue(cluster.state.keys.none { it.startsWith(Keys.PAGES) }, "pages left behind")
    }

    @ParameterizedTest
    @ValueSource(doubles = [0.05, 0.1, 0.15, 0.2, 0.25, 0.3])
    fun `a leader that ends in the middle of dividing a page leaves it whole`(crashAfter: Double) {
        // Twelve tasks a part and four changes a transaction: a page of 252 takes several steps.
        val tiny = StateLimits(250.0, 70.0, 1.0, 4)
        val cluster = SimulatedCluster(7)
        cluster.cloud.capacity = 100
        cluster.clock.after(2.0) { cluster.submitLaidOutLarge(1, 250, runS = 60.0) }
        cluster.clock.runUntil(25.0)
        cluster.state.limits = tiny
        while (cluster.state.keys.count { it.startsWith("${Keys.PAGES}job-000001/") } < 2 &&
            cluster.clock.now < 120
        ) {
            cluster.clock.runUntil(cluster.clock.now + 0.01)
        }
        assertTrue(cluster.clock.now < 120, "never divided")
        cluster.clock.after(crashAfter) { cluster.nodes.first { it.isLeader }.crash(8.0) }
        cluster.clock.runUntil(400.0)
        assertEquals("done", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @Test
    fun `a long description that is stored already can still be withdrawn`() {
        val cluster = SimulatedCluster(8, stateNext = smaller)
        cluster.clock.after(2.0) {
            cluster.submitLaidOutLarge(
                1,
                4,
                runS = 300.0,
                types =
                listOf("box") + List(200) { "type-of-a-long-name-$it" },
            )
        }
        cluster.clock.runUntil(40.0)
        assertEquals("running", cluster.stageOf("job-000001"))
        cluster.state.limits = smaller
        cluster.cancel("job-000001")
        cluster.clock.runUntil(60.0)
        assertEquals("withdrawn", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    private fun items(key: String, pieces: List<Stored>) = pieces.mapIndexed { i, p ->
        StateItem(
            if (i == 0) key else Keys.furtherChunk(key, i),
            p,
            5,
        )
    }

    private fun fleet(instancesCreated: Int, arrivals: Int, returning: Int): FleetRecord {
        val group = GroupKey("gotthard-box", "bern-keller", false)
        return FleetRecord(
            (0 until instancesCreated).map { StoredScaleOut("r-123456-$it", group, 50) },
            (0 until arrivals).map {
                StoredBootingMachine("i-%06d".format(it * 2), group, 1_700_000_000_000 + it / 50)
            },
            (0 until returning).map { "i-%06d".format(9000 + it * 3) },
        )
    }

    @ParameterizedTest(name = "{0} rentals, {1} arrivals, {2} returns")
    @CsvSource("0, 0, 0", "3, 20, 5", "20, 10, 10", "20, 300, 300", "0, 800, 0", "20, 0, 700")
    fun `the whole record of the fleet is kept within small values and one transaction`(
        instancesCreated: Int,
        arrivals: Int,
        returning: Int,
    ) {
        val whole = fleet(instancesCreated, arrivals, returning)
        val pieces = checkNotNull(ChunkedValue.splitFleet(whole, smaller.txnOps, 2048))
        assertTrue(pieces.all { StateCodec.sizeOf(it) <= 2048 })
        assertTrue(ChunkedValue.changesFor(Keys.FLEET, pieces, smaller.txnOps - 1).size <= smaller.txnOps)
        assertEquals(whole, ChunkedValue.joinFleet(items(Keys.FLEET, pieces)))
        assertEquals(1, ChunkedValue.splitFleet(whole, 1, 16 * 1024)?.size, "one value where that is enough")
    }

    @Test
    fun `further keys that the first does not name count for nothing`() {
        val pieces = checkNotNull(ChunkedValue.splitFleet(fleet(2, 300, 100), 10, 2048))
        // The first version rewrites the first key alone, without the count.
        val rewritten = items(Keys.FLEET, listOf(fleet(1, 2, 0)) + pieces.drop(1))
        assertEquals(fleet(1, 2, 0), ChunkedValue.joinFleet(rewritten))
        assertEquals(pieces.size - 1, ChunkedValue.highestFurtherKey(Keys.FLEET, rewritten))
    }

    @Test
    fun `a catalogue is only read whole`() {
        val types = SimulatedCluster.CATALOG.types.single().let { t ->
            List(40) { t.copy(name = "type-$it", zones = List(4) { z -> "a-zone-of-a-long-name-$z" }) }
        }
        val pieces = checkNotNull(ChunkedValue.splitCatalog(Catalog(types), 10, 2048))
        assertEquals(types, ChunkedValue.joinCatalog(items(Keys.CATALOG, pieces))?.types)
        assertNull(ChunkedValue.joinCatalog(items(Keys.CATALOG, pieces).dropLast(1)))
        assertNull(ChunkedValue.splitCatalog(Catalog(types), 1, 2048), "no part of it is stored instead")
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
        assertEquals(listOf(10, 2048, 8192), listOf(limits.txnOps, limits.valueBytes, limits.maxBytesPerKey))
        limits.onRejected(ops, largest)
        assertEquals(
            listOf(opsAfter, bytesAfter, bytesAfter),
            listOf(limits.txnOps, limits.valueBytes, limits.maxBytesPerKey),
        )
    }

    @Test
    fun `machines arriving and returning survive a take-over under the smaller limits`() {
        val tiny = smaller.copy(valueKb = 1.0)
        val cluster = SimulatedCluster(9, stateNext = tiny)
        cluster.cloud.capacity = 2000
        // Rented little by little and with names taken turn about, so that few share an entry of the record.
        for (n in 1..160) {
            cluster.clock.after(2.0 + n * 0.05) {
                cluster.submit(
                    SimulatedCluster.job(
                        n,
                        tasks = 16,
                        runS = 30.0,
                        spot = n % 2 == 0,
                    ),
                )
            }
        }
        cluster.state.limits = tiny
        cluster.clock.runUntil(12.0)
        val rented = cluster.cloud.instancesCreated
        assertTrue(rented >= 500, "$rented")
        assertTrue(cluster.state.keys.any { it.startsWith("${Keys.FLEET}/") }, "the record was never divided")
        cluster.nodes.first { it.isLeader }.crash(6.0)
        cluster.clock.runUntil(19.0)
        assertTrue(
            cluster.cloud.instancesCreated <= rented * 1.05,
            "rented twice: $rented, then ${cluster.cloud.instancesCreated}",
        )
        cluster.clock.runUntil(200.0)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertEquals(emptyMap<String, Int>(), cluster.state.rejectionCounts)
        assertEquals("done", cluster.stageOf("job-000160"))
    }
}

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

/**
 * Tests a state service that lowers its limits at some time: records that are already stored in larger values must
 * still be changed.
 */
class SmallerLimitsTest {
    private val smallerLimits = StateLimits(250.0, 70.0, 2.0, 10)

    /** Stores an accepted job as a node with limits of 16 KiB per value lays it out: [pageSize] tasks on each page. */
    private fun SimulatedCluster.submitWithLargePages(
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

    @ParameterizedTest(name = "{0} tasks, leader crashes {1} s after the limits shrink, announced {2}")
    @CsvSource(
        // With -1 the leader does not crash.
        "120, -1, true", "120, 0.2, true", "120, 0.6, true", "240, -1, true", "240, 0.3, true", "700, -1, true",
        "700, 0.2, true", "700, 0.4, true",
        "700, 0.8, true", "240, -1, false", "700, 0.5, false",
    )
    fun `large pages that are already stored still change after the limits shrink`(
        tasks: Int,
        crashAfterS: Double,
        announced: Boolean,
    ) {
        val cluster =
            SimulatedCluster(tasks + (crashAfterS * 10).toLong(), stateNext = smallerLimits.takeIf { announced })
        cluster.cloud.capacity = 200
        cluster.clock.after(2.0) { cluster.submitWithLargePages(1, tasks, runS = 40.0) }
        cluster.clock.runUntil(40.0)
        val pageBytesBefore = cluster.state.value(Keys.page("job-000001", 0))?.let { StateCodec.sizeOf(it) } ?: 0
        assertTrue(announced || pageBytesBefore > 2048, "the stored page has only $pageBytesBefore bytes")
        cluster.state.limits = smallerLimits
        if (crashAfterS > 0) cluster.clock.after(crashAfterS) { cluster.nodes.first { it.isLeader }.crash(8.0) }
        cluster.clock.runUntil(260.0)
        assertEquals("done", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertTrue(
            cluster.state.rejectionCounts.values.all {
                it <= 2
            },
            "rejected transactions were repeated unchanged: ${cluster.state.rejectionCounts}",
        )
        assertTrue(cluster.state.keys.none { it.startsWith(Keys.PAGES) }, "pages of the finished job are left")
    }

    @ParameterizedTest
    @ValueSource(doubles = [0.05, 0.1, 0.15, 0.2, 0.25, 0.3])
    fun `a job is done although the leader crashes while it splits a page of the job`(crashAfterS: Double) {
        // With twelve tasks per part and four changes per transaction, splitting a page of 252 tasks takes several
        // transactions.
        val tinyLimits = StateLimits(250.0, 70.0, 1.0, 4)
        val cluster = SimulatedCluster(7)
        cluster.cloud.capacity = 100
        cluster.clock.after(2.0) { cluster.submitWithLargePages(1, 250, runS = 60.0) }
        cluster.clock.runUntil(25.0)
        cluster.state.limits = tinyLimits
        while (cluster.state.keys.count { it.startsWith("${Keys.PAGES}job-000001/") } < 2 &&
            cluster.clock.now < 120
        ) {
            cluster.clock.runUntil(cluster.clock.now + 0.01)
        }
        assertTrue(cluster.clock.now < 120, "the page was never split")
        cluster.clock.after(crashAfterS) { cluster.nodes.first { it.isLeader }.crash(8.0) }
        cluster.clock.runUntil(400.0)
        assertEquals("done", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @Test
    fun `a job whose stored record exceeds the new limits can still be cancelled`() {
        val cluster = SimulatedCluster(8, stateNext = smallerLimits)
        cluster.clock.after(2.0) {
            cluster.submitWithLargePages(
                1,
                4,
                runS = 300.0,
                types =
                listOf("box") + List(200) { "type-of-a-long-name-$it" },
            )
        }
        cluster.clock.runUntil(40.0)
        assertEquals("running", cluster.stageOf("job-000001"))
        cluster.state.limits = smallerLimits
        cluster.cancel("job-000001")
        cluster.clock.runUntil(60.0)
        assertEquals("withdrawn", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    private fun items(key: String, chunks: List<Stored>) = chunks.mapIndexed { i, chunk ->
        StateItem(
            if (i == 0) key else Keys.furtherChunk(key, i),
            chunk,
            5,
        )
    }

    private fun fleet(scaleOutCount: Int, arrivingCount: Int, returningCount: Int): FleetRecord {
        val group = GroupKey("gotthard-box", "bern-keller", false)
        return FleetRecord(
            (0 until scaleOutCount).map { StoredScaleOut("r-123456-$it", group, 50) },
            (0 until arrivingCount).map {
                StoredBootingMachine("i-%06d".format(it * 2), group, 1_700_000_000_000 + it / 50)
            },
            (0 until returningCount).map { "i-%06d".format(9000 + it * 3) },
        )
    }

    @ParameterizedTest(name = "{0} scale-out requests, {1} arriving machines, {2} returning machines")
    @CsvSource("0, 0, 0", "3, 20, 5", "20, 10, 10", "20, 300, 300", "0, 800, 0", "20, 0, 700")
    fun `a fleet record is split into values within the limit and written in one transaction`(
        scaleOutCount: Int,
        arrivingCount: Int,
        returningCount: Int,
    ) {
        val record = fleet(scaleOutCount, arrivingCount, returningCount)
        val chunks = checkNotNull(ChunkedValue.splitFleet(record, smallerLimits.txnOps, 2048))
        assertTrue(chunks.all { StateCodec.sizeOf(it) <= 2048 })
        assertTrue(ChunkedValue.changesFor(Keys.FLEET, chunks, smallerLimits.txnOps - 1).size <= smallerLimits.txnOps)
        assertEquals(record, ChunkedValue.joinFleet(items(Keys.FLEET, chunks)))
        assertEquals(
            1,
            ChunkedValue.splitFleet(record, 1, 16 * 1024)?.size,
            "the record is one value if the limit allows it",
        )
    }

    @Test
    fun `further chunks that the first chunk does not count are ignored`() {
        val chunks = checkNotNull(ChunkedValue.splitFleet(fleet(2, 300, 100), 10, 2048))
        // The first version of the scheduler rewrites only the first key, without the number of further keys.
        val rewritten = items(Keys.FLEET, listOf(fleet(1, 2, 0)) + chunks.drop(1))
        assertEquals(fleet(1, 2, 0), ChunkedValue.joinFleet(rewritten))
        assertEquals(chunks.size - 1, ChunkedValue.highestFurtherKey(Keys.FLEET, rewritten))
    }

    @Test
    fun `a catalogue is read and stored only as a whole`() {
        val types = SimulatedCluster.CATALOG.types.single().let { type ->
            List(40) { type.copy(name = "type-$it", zones = List(4) { zone -> "a-zone-of-a-long-name-$zone" }) }
        }
        val chunks = checkNotNull(ChunkedValue.splitCatalog(Catalog(types), 10, 2048))
        assertEquals(types, ChunkedValue.joinCatalog(items(Keys.CATALOG, chunks))?.types)
        assertNull(ChunkedValue.joinCatalog(items(Keys.CATALOG, chunks).dropLast(1)))
        assertNull(
            ChunkedValue.splitCatalog(Catalog(types), 1, 2048),
            "no part of a catalogue that exceeds the limits is stored",
        )
    }

    @ParameterizedTest(
        name = "rejected are {0} changes with a value of {1} bytes, limits become {2} changes and {3} bytes",
    )
    @CsvSource(
        // Changes and largest value of the transaction, limits afterwards. Announced are 10 changes and 2048 bytes.
        "5, 9000, 10, 2048",
        "20, 100, 10, 2048",
        "1, 1500, 10, 1024",
        "8, 900, 4, 2048",
        "3, 900, 10, 2048",
    )
    fun `a rejected transaction lowers the limit that it may have exceeded`(
        changes: Int,
        largestBytes: Int,
        changesAfter: Int,
        bytesAfter: Int,
    ) {
        val limits = StoreLimits(SimulatedCluster.settings("n0", 3).copy(stateNext = smallerLimits))
        assertEquals(listOf(10, 2048, 8192), listOf(limits.txnOps, limits.valueBytes, limits.maxBytesPerKey))
        limits.onRejected(changes, largestBytes)
        assertEquals(
            listOf(changesAfter, bytesAfter, bytesAfter),
            listOf(limits.txnOps, limits.valueBytes, limits.maxBytesPerKey),
        )
    }

    @Test
    fun `a new leader knows arriving and returning machines from a fleet record in several chunks`() {
        val tinyLimits = smallerLimits.copy(valueKb = 1.0)
        val cluster = SimulatedCluster(9, stateNext = tinyLimits)
        cluster.cloud.capacity = 2000
        // Machines are requested in small steps, alternately in two groups, so that few share an entry of the record.
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
        cluster.state.limits = tinyLimits
        cluster.clock.runUntil(12.0)
        val requestedMachines = cluster.cloud.instancesCreated
        assertTrue(requestedMachines >= 500, "$requestedMachines")
        assertTrue(cluster.state.keys.any { it.startsWith("${Keys.FLEET}/") }, "the fleet record was never split")
        cluster.nodes.first { it.isLeader }.crash(6.0)
        cluster.clock.runUntil(19.0)
        assertTrue(
            cluster.cloud.instancesCreated <= requestedMachines * 1.05,
            "machines were requested twice: $requestedMachines, then ${cluster.cloud.instancesCreated}",
        )
        cluster.clock.runUntil(200.0)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertEquals(emptyMap<String, Int>(), cluster.state.rejectionCounts)
        assertEquals("done", cluster.stageOf("job-000160"))
    }
}

package plankwall.simulation

import com.fasterxml.jackson.databind.node.ObjectNode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import plankwall.core.store.ChunkedValue
import plankwall.fixtures.RecordJson.decode
import plankwall.fixtures.RecordJson.encode
import plankwall.model.GroupKey
import plankwall.model.JobStage
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.wire.AuditSeal
import plankwall.wire.AuditSegment
import plankwall.wire.CatalogRecord
import plankwall.wire.FinalRecord
import plankwall.wire.FleetRecord
import plankwall.wire.JobProgress
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.LeaderRecord
import plankwall.wire.LevelRecord
import plankwall.wire.Ownership
import plankwall.wire.PageRecord
import plankwall.wire.PeerCodec
import plankwall.wire.PeerStatus
import plankwall.wire.ProgressUpdate
import plankwall.wire.RightsApplied
import plankwall.wire.RightsHead
import plankwall.wire.RightsPart
import plankwall.wire.StateItem
import plankwall.wire.Stored
import plankwall.wire.StoredBootingMachine
import plankwall.wire.StoredPlacement
import plankwall.wire.StoredScaleOut
import java.util.BitSet

/**
 * Tests the compatibility with the first version of the scheduler: this version reads what the first one stored and
 * sent, and copes with its own records after the first version has rewritten them. The JSON and the bytes of the first
 * version were recorded while it ran.
 */
class VersionCompatibilityTest {
    class Case(val key: String, val json: String, val record: Stored) {
        override fun toString() = "$key ${json.take(40)}"
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("firstVersion")
    fun `a record of the first version is read and written back unchanged`(case: Case) {
        assertEquals(case.record, decode(case.key, case.json))
        assertEquals(case.json, encode(case.record))
    }

    /** Returns [record] as the first version writes it back: without the fields that it does not know. */
    private fun rewriteAsFirstVersion(record: Stored): String {
        val tree = SimulatedWorker.json.readTree(encode(record)) as ObjectNode
        when (record) {
            is JobRecord -> {
                (tree.get("spec") as ObjectNode).remove("awaits")
                tree.remove(listOf("own", "ow", "rv"))
            }
            is PageRecord -> tree.remove("s")
            is FinalRecord -> tree.remove(listOf("at", "own", "docket", "crew", "shape", "urgency"))
            is FleetRecord, is CatalogRecord -> tree.remove("more")
            is LeaderRecord, is LevelRecord -> Unit
            is RightsHead, is RightsPart, is RightsApplied, is AuditSegment, is AuditSeal -> error(
                "never read by the first version",
            )
        }
        return tree.toString()
    }

    @Test
    fun `a job record that the first version rewrites on cancellation loses its dependencies and owner`() {
        // The first version rewrites a job record only to cancel the job. That is final: no task can start any more, so
        // the lost dependencies do no harm.
        val ownership = Ownership("meera", cancelOnRevoke = true)
        val record =
            JobRecord(
                spec.copy(dependencies = listOf("job-000001")),
                1_700_000_000_000,
                1_700_000_009_000,
                28,
                ownership,
            )
        assertEquals(
            record.copy(spec = spec, ownership = null),
            decode(Keys.job(spec.id), rewriteAsFirstVersion(record)),
        )
    }

    @Test
    fun `further chunks of a fleet record are ignored after the first version rewrites the first chunk`() {
        val firstChunk = fleet.copy(furtherChunks = 1)
        val furtherChunk =
            StateItem(Keys.furtherChunk(Keys.FLEET, 1), FleetRecord(emptyList(), emptyList(), listOf("i-000777")), 5)
        assertEquals(
            listOf("i-000009", "i-000777"),
            ChunkedValue.joinFleet(listOf(StateItem(Keys.FLEET, firstChunk, 5), furtherChunk))?.machinesBeingScaledIn,
        )
        val rewritten = checkNotNull(decode(Keys.FLEET, rewriteAsFirstVersion(firstChunk)))
        assertEquals(fleet, ChunkedValue.joinFleet(listOf(StateItem(Keys.FLEET, rewritten, 6), furtherChunk)))
    }

    @Test
    fun `a final record that the first version rewrites loses only its time`() {
        assertEquals(
            FinalRecord(JobStage.DONE, 3),
            decode(Keys.final("job-000412"), rewriteAsFirstVersion(FinalRecord(JobStage.DONE, 3, 1_700_000_009_000))),
        )
    }

    @Test
    fun `a record under an unknown key is ignored and a level record is read`() {
        assertNull(decode("x/later", """{"a":1}"""))
        assertEquals(LevelRecord(2), decode(Keys.LEVEL, encode(LevelRecord(2))))
    }

    @Test
    fun `messages of the first version are read and messages to it begin with the bytes that it reads`() {
        val status = PeerStatus("n1", 5, 7, true, 3, true, 4)
        val sentByFirst = bytes("01000000026e31000000000000000500000000000000070000000000000003010100000004")
        assertEquals(status.copy(level = PeerCodec.FIRST_LEVEL), PeerCodec.read(sentByFirst))
        // The first version reads the bytes of the fields that it knows and ignores the rest.
        val statusBytes = PeerCodec.write(status.copy(level = PeerCodec.LEVEL))
        assertEquals(sentByFirst.toList(), statusBytes.take(sentByFirst.size))
        val progressBytes = bytes("020000000000000009000000010000000a6a6f622d3030303030310000000300000004")
        assertEquals(ProgressUpdate(9, listOf(JobProgress("job-000001", 3, 4))), PeerCodec.read(progressBytes))
        assertEquals(
            progressBytes.toList(),
            PeerCodec.write(ProgressUpdate(9, listOf(JobProgress("job-000001", 3, 4)))).toList(),
        )
    }

    private fun bytes(hex: String) = ByteArray(hex.length / 2) { hex.substring(2 * it, 2 * it + 2).toInt(16).toByte() }

    companion object {
        private val spec = SimulatedCluster.job(
            412,
            Shape.GANG,
            tasks = 3,
            oneZone = true,
            spot = true,
            priority = Priority.HIGH,
        )
            .copy(types = listOf("box"), zone = "a", deadlineS = 900.0)
        private const val SPEC =
            """{"id":"job-000412","docket":"class","crew":"blue","shape":"ensemble","urgency":"urgent","pieces":3,""" +
                """"cores":2.0,"accelerators":1.0,"ram_gb":8.0,"mould":"image-1","size_gb":2.0,"builds":["box"],""" +
                """"yard":"a","together":true,""" +
                """"scatter":false,"loaners":true,"guess_s":20.0,"snapshot_s":0.0,"stow_s":0.0,"due_s":900.0}"""
        private val group = GroupKey("box", "a", true)
        private val fleet = FleetRecord(
            listOf(StoredScaleOut("r-7-1", group, 12)),
            listOf(
                StoredBootingMachine("i-000001", group, 1_700_000_000_000),
                StoredBootingMachine("i-000002", group, 1_700_000_000_000),
            ),
            listOf("i-000009"),
        )

        @JvmStatic
        fun firstVersion() = listOf(
            Case(Keys.LEADER, """{"node":"n1","inc":77}""", LeaderRecord("n1", 77)),
            Case(
                Keys.job(spec.id),
                """{"spec":$SPEC,"at":1700000000000,"page":124}""",
                JobRecord(spec, 1_700_000_000_000, 0, 124),
            ),
            Case(
                Keys.job(spec.id),
                """{"spec":$SPEC,"at":1700000000000,"wd":1700000009000,"page":124}""",
                JobRecord(spec, 1_700_000_000_000, 1_700_000_009_000, 124),
            ),
            Case(
                Keys.page(spec.id, 0),
                """{"d":[0,2,7,7],"p":[[4,70000001,"i-000231",2],[5,70000002,"i-000232",1]]}""",
                PageRecord(
                    BitSet().apply {
                        set(0, 3)
                        set(7)
                    },
                    listOf(
                        StoredPlacement(4, 70_000_001, "i-000231", 2),
                        StoredPlacement(5, 70_000_002, "i-000232", 1),
                    ),
                ),
            ),
            Case(Keys.final(spec.id), """{"stage":"DONE","done":3}""", FinalRecord(JobStage.DONE, 3)),
            Case(Keys.final(spec.id), """{"stage":"WITHDRAWN","done":1}""", FinalRecord(JobStage.CANCELLED, 1)),
            Case(
                Keys.FLEET,
                """{"rentals":[["r-7-1","box","a",true,12]],"arrivals":[["box","a",true,1700000000000,"i-000001",1]],"returning":["i-000009",0]}""",
                fleet,
            ),
            Case(
                Keys.CATALOG,
                """{"builds":[{"name":"box","cores":16.0,"accelerators":4.0,"ram_gb":64.0,"cache_gb":100.0,""" +
                    """"pull_gb_per_s":1.0,""" +
                    """"rate":10.0,"low_price":3.0,"ready_s":10.0,"yards":["a","b"]}]}""",
                CatalogRecord(SimulatedCluster.CATALOG),
            ),
        )
    }
}

package plankwall.wire

import com.fasterxml.jackson.databind.node.ObjectNode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import plankwall.core.store.StoreLimits
import plankwall.fixtures.RecordJson
import plankwall.model.GroupKey
import plankwall.model.JobStage
import plankwall.model.JobView
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.simulation.SimulatedWorker
import java.util.BitSet

class CodecTest {
    private val good = """{"id":"job-000412","docket":"train","crew":"vision","shape":"ensemble","urgency":"urgent","pieces":16,
        "cores":8.0,"accelerators":1.0,"ram_gb":64.0,"mould":"img-07","size_gb":6.2,"builds":["g8"],"yard":null,"together":true,
        "scatter":false,"loaners":true,"guess_s":240.0,"snapshot_s":30.0,"stow_s":4.0,"due_s":900.0,"new_field":[{"x":1}]}"""

    /**
     * Every field of PROTOCOL's table: missing, null, of a wrong type, out of range. Those that may be null may be
     * absent too.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        textBlock = """
        id           | false | 7        | "job-x"
        docket       | false | 7        | ""
        crew         | false | ["a"]    | ""
        shape        | false | true     | "heap"
        urgency      | false | 1        | "asap"
        pieces       | false | "16"     | 0
        pieces       | false | 1.5      | 100001
        cores        | false | "8"      | -1
        accelerators | false | null     | -0.5
        ram_gb       | false | {}       | 1e12
        mould        | false | 3        | ""
        size_gb      | false | "6"      | -6.2
        builds       | true  | "g8"     | [""]
        yard         | true  | 5        | ["a"]
        together     | false | "yes"    | 1
        scatter      | false | 0        | "false"
        loaners      | false | "no"     | []
        guess_s      | false | "240"    | -1
        snapshot_s   | false | true     | -30
        stow_s       | false | "4"      | -4
        due_s        | true  | "900"    | -900""",
    )
    fun `a submission has every field, each of its kind and within its range`(
        field: String,
        mayBeNull: Boolean,
        wrongType: String,
        outOfRange: String,
    ) {
        val whole = SimulatedWorker.json.readTree(good) as ObjectNode
        fun read(body: ObjectNode) = JobCodec.read(SimulatedWorker.json.writeValueAsBytes(body))
        val without = whole.deepCopy().apply { remove(field) }
        val nulled = whole.deepCopy().apply { putNull(field) }
        if (mayBeNull) {
            assertEquals(read(without), read(nulled))
        } else {
            assertThrows(MalformedMessageException::class.java) { read(without) }
            assertThrows(MalformedMessageException::class.java) { read(nulled) }
        }
        for (value in listOf(wrongType, outOfRange)) {
            assertThrows(MalformedMessageException::class.java) {
                read(whole.deepCopy().apply { set<ObjectNode>(field, SimulatedWorker.json.readTree(value)) })
            }
        }
    }

    @Test
    fun `a submission is read and its stored copy is the same`() {
        val spec = JobCodec.read(good.encodeToByteArray())
        assertEquals(Shape.GANG, spec.shape)
        assertEquals(Priority.HIGH, spec.priority)
        assertEquals(Resources(8_000, 1_000, 64_000), spec.need)
        val record = JobRecord(spec, 5, 0, 100)
        assertEquals(record, RecordJson.decode(Keys.job(spec.id), RecordJson.encode(record)))
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "", "x", "[]", "3", "{}", "{} {}", "FIELD:pieces:0", "FIELD:pieces:100001", "FIELD:pieces:1.5",
            "FIELD:pieces:\"3\"",
            "FIELD:cores:-1", "FIELD:cores:1e300", "FIELD:cores:null", "FIELD:id:\"job-x\"", "FIELD:id:\"job-1/2\"",
            "FIELD:id:7",
            "FIELD:shape:\"swarm\"", "FIELD:urgency:\"\"", "FIELD:together:1", "FIELD:builds:\"g8\"",
            "FIELD:builds:[1]",
            "FIELD:guess_s:-0.1", "FIELD:mould:\"\"", "FIELD:due_s:\"soon\"",
        ],
    )
    fun `bad submissions are refused`(case: String) {
        val body = if (!case.startsWith("FIELD:")) {
            case
        } else {
            val (_, name, value) = case.split(':', limit = 3)
            good.replace(Regex("\"$name\":(\\[[^]]*]|[^,}]*)"), "\"$name\":${Regex.escapeReplacement(value)}")
        }
        assertThrows(MalformedMessageException::class.java) { JobCodec.read(body.encodeToByteArray()) }
    }

    @ParameterizedTest(name = "awaits {0}")
    @CsvSource(
        "'', ''",
        "'null', ''",
        "'[]', ''",
        "'[\"job-000398\"]', job-000398",
        "'[\"job-2\",\"job-1\",\"job-2\"]', job-2 job-1",
    )
    fun `dependencies are read, stored and shown`(value: String, expected: String) {
        val body = if (value.isEmpty()) good else good.replace("\"due_s\"", "\"awaits\":$value,\"due_s\"")
        val spec = JobCodec.read(body.encodeToByteArray())
        assertEquals(expected, spec.dependencies.joinToString(" "))
        val record = JobRecord(spec, 5, 0, 100)
        assertEquals(record, RecordJson.decode(Keys.job(spec.id), RecordJson.encode(record)))
        val shown = JobCodec.view(JobView(spec.id, JobStage.PENDING, 0, 0, spec.dependencies)).decodeToString()
        assertEquals(expected.isNotEmpty(), "awaits" in shown, shown)
    }

    @ParameterizedTest(name = "{0}")
    @ValueSource(
        strings = [
            "3", "\"job-000398\"", "{}", "[3]", "[null]", "[\"job-x\"]", "[[\"job-000398\"]]", "[\"job-000412\"]",
            "MANY",
        ],
    )
    fun `bad dependencies are refused by the field's name`(value: String) {
        fun body(list: String) = good.replace("\"due_s\"", "\"awaits\":$list,\"due_s\"").encodeToByteArray()
        fun names(n: Int) = (1..n).joinToString(",", "[", "]") { "\"job-1%05d\"".format(it) }
        assertEquals(JobCodec.MAX_DEPENDENCIES, JobCodec.read(body(names(JobCodec.MAX_DEPENDENCIES))).dependencies.size)
        val e = assertThrows(MalformedMessageException::class.java) {
            JobCodec.read(
                body(
                    if (value == "MANY") {
                        names(JobCodec.MAX_DEPENDENCIES + 1)
                    } else {
                        value
                    },
                ),
            )
        }
        assertTrue(e.message.orEmpty().startsWith("awaits: "), e.message)
    }

    @Test
    fun `the most dependencies fit a stored value of two KiB`() {
        val spec = JobCodec.read(good.encodeToByteArray()).copy(
            dependencies = List(JobCodec.MAX_DEPENDENCIES) {
                "job-%06d".format(it)
            },
        )
        assertTrue(StateCodec.sizeOf(JobRecord(spec, 1_700_000_000_000, 1_700_000_000_000, 28)) <= 2048)
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "{}", "{\"berth\":\"i-1\"}",
            "{\"berth\":\"i-1\",\"watch\":1,\"tally\":1,\"baton\":0,\"pieces\":[{\"piece\":\"job-1\",\"try\":1,\"stage\":\"running\"}]}",
            "{\"berth\":\"i-1\",\"watch\":1,\"tally\":1,\"baton\":0,\"pieces\":[{\"piece\":\"job-1/0\",\"try\":1,\"stage\":\"dancing\"}]}",
            "{\"berth\":\"i-1\",\"watch\":1,\"tally\":1,\"baton\":99999999999999999999,\"pieces\":[]}",
        ],
    )
    fun `a report that can't be read whole is no report`(body: String) {
        // Reading it in part would make a task seem absent, and absence is proof.
        assertThrows(Exception::class.java) { WorkerCodec.readHeartbeat(body.encodeToByteArray()) }
    }

    @ParameterizedTest
    @ValueSource(doubles = [1.0, 2.0, 8.0, 16.0, 64.0])
    fun `a full page fits a stored value`(valueKb: Double) {
        val size = StoreLimits.pageSize(valueKb)
        val done = BitSet()
        for (i in 0 until size step 2) done.set(99_000 + i)
        val placements = (1 until size step 2).map { StoredPlacement(99_000 + it, 99_999_999_999_999, "i-9999999", 99) }
        val worst = if (size > 1) placements else emptyList()
        val txn = StateCodec.writeTransaction(
            StateOp.Txn(emptyList(), listOf(Write.Put("t/job-000001/000001", PageRecord(done, worst)))),
        )
        assertTrue(txn.size <= valueKb * 1024 || size == 8, "page of $size tasks takes ${txn.size} bytes")
        val all = (0 until size).map { StoredPlacement(99_000 + it, 99_999_999_999_999, "i-9999999", 99) }
        val full = StateCodec.writeTransaction(
            StateOp.Txn(emptyList(), listOf(Write.Put("t/job-000001/000001", PageRecord(BitSet(), all)))),
        )
        assertTrue(full.size <= valueKb * 1024, "page of $size placements takes ${full.size} bytes")
    }

    @Test
    fun `hundreds of arriving and returning machines fit a small stored value and are read back`() {
        // At 70 bytes a name only a part was stored, and a successor took the rest for machines that nobody rented.
        val group = GroupKey("kiln-small", "vadodara-floor", false)
        val arrivals = (0 until 800).map {
            StoredBootingMachine(
                "i-%06d".format(it + it / 50),
                group,
                1_700_000_000_000 + it / 50,
            )
        }
        val returning = (0 until 200).map { "i-%06d".format(2000 + it * 3) }
        val record = FleetRecord(listOf(StoredScaleOut("r-7-1", group, 50)), arrivals, returning)
        assertTrue(StateCodec.sizeOf(record) < 8 * 1024, "${StateCodec.sizeOf(record)} bytes")
        assertEquals(record, RecordJson.decode(Keys.FLEET, RecordJson.encode(record)))
    }

    @ParameterizedTest
    @ValueSource(strings = ["[\"i-1\",-1]", "[\"i-1\",900000000]", "[3,1]"])
    fun `a run of names that nobody can have written is refused`(run: String) {
        assertThrows(MalformedMessageException::class.java) {
            StateCodec.readItem("""{"key":"fleet","data":{"returning":$run},"stamp":7}""".encodeToByteArray())
        }
    }

    private val links =
        ReachabilityReport(
            7,
            mapOf("berth-2" to 6L),
            listOf(4, -1, 900, 12_000),
            8_000,
            31,
            listOf(ZoneReach("a", 40, 2)),
            LeaderSighting("berth-0", 9, 80),
            "berth-2",
        )
    private val report = HeartbeatStatus(
        "i-000007", "10.1.0.2:9000", "g8", "a", true, 2, 88, 41, 12.5,
        listOf(
            TaskStatus("job-000001", 3, 9, TaskStage.RUNNING, null, false),
            TaskStatus("job-000002", 0, 1, TaskStage.EXITED, ExitCause.STOPPED, true),
        ),
    )
    private val frames: Map<String, PeerMessage> = mapOf(
        "first status" to PeerStatus("berth-1", 5, 7, true, 3, false, 4),
        "status" to PeerStatus("berth-1", 5, 7, true, 3, false, 4, PeerCodec.LEVEL, links),
        "status without a leader" to
            PeerStatus(
                "berth-1", 5, 7, true, 3, false, 4, PeerCodec.LEVEL,
                links.copy(
                    leader = null,
                    successor = null,
                ),
            ),
        "status with withdrawals" to
            PeerStatus(
                "berth-1", 5, 7, true, 3, false, 4, PeerCodec.LEVEL, links,
                CancellationUpdate(
                    4,
                    listOf("job-000001", "job-000002"),
                    900,
                    8_000,
                ),
            ),
        "progress" to ProgressUpdate(9, listOf(JobProgress("job-000001", 3, 4), JobProgress("job-000002", 0, 120))),
        "report" to RelayedHeartbeat("berth-1", 12, 700, "10.1.0.2", report),
        "report of a quiet machine" to
            RelayedHeartbeat("berth-1", 12, 0, "", report.copy(noticeS = null, tasks = emptyList())),
        "answer" to RelayedAnswer("berth-0", 12, 200, byteArrayOf(1, 2, 3)),
    )

    @ParameterizedTest
    @ValueSource(
        strings = [
            "first status", "status", "status without a leader", "status with withdrawals", "progress", "report",
            "report of a quiet machine", "answer",
        ],
    )
    fun `peer frames are read back, short ones refused`(kind: String) {
        val message = frames.getValue(kind)
        val frame = PeerCodec.write(message)
        assertEquals(message, PeerCodec.read(frame))
        // A status is whole where an older version ends it: before its level, before its links, and before its
        // withdrawals.
        val wholes = if (message is PeerStatus) {
            listOf(message.copy(links = null)).map { PeerCodec.write(it).size }.flatMap { listOf(it - 4, it) } +
                PeerCodec.write(message.copy(cancellations = null)).size
        } else {
            emptyList()
        }
        for (n in frame.indices - wholes.toSet()) {
            assertThrows(MalformedMessageException::class.java) {
                PeerCodec.read(frame.copyOf(n))
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = ["0 job-000001 5", "1 job-1x 5", "1 job-000001 -1"])
    fun `a list of withdrawals that nobody can have written is refused`(what: String) {
        val (first, job, up) = what.split(' ')
        val frame = PeerCodec.write(
            PeerStatus(
                "berth-1", 5, 7, true, 3, false, 4, PeerCodec.LEVEL, links,
                CancellationUpdate(
                    first.toLong(),
                    listOf(job),
                    900,
                    up.toLong(),
                ),
            ),
        )
        assertThrows(MalformedMessageException::class.java) { PeerCodec.read(frame) }
    }
}

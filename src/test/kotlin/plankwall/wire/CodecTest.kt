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

/** Tests that messages and stored records are decoded to what was encoded, and that malformed ones are refused. */
class CodecTest {
    private val validJob = """{"id":"job-000412","docket":"train","crew":"vision","shape":"ensemble","urgency":"urgent","pieces":16,
        "cores":8.0,"accelerators":1.0,"ram_gb":64.0,"mould":"img-07","size_gb":6.2,"builds":["g8"],"yard":null,"together":true,
        "scatter":false,"loaners":true,"guess_s":240.0,"snapshot_s":30.0,"stow_s":4.0,"due_s":900.0,"new_field":[{"x":1}]}"""

    /**
     * Reads a submission with one field missing, null, of a wrong type and out of range. A field that may be null may
     * be missing as well.
     */
    @ParameterizedTest(name = "field {0}")
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
    fun `a submission with a missing, null, wrongly typed or out of range field is refused`(
        field: String,
        mayBeNull: Boolean,
        wrongType: String,
        outOfRange: String,
    ) {
        val complete = SimulatedWorker.json.readTree(validJob) as ObjectNode
        fun read(body: ObjectNode) = JobCodec.read(SimulatedWorker.json.writeValueAsBytes(body))
        val withoutField = complete.deepCopy().apply { remove(field) }
        val withNull = complete.deepCopy().apply { putNull(field) }
        if (mayBeNull) {
            assertEquals(read(withoutField), read(withNull))
        } else {
            assertThrows(MalformedMessageException::class.java) { read(withoutField) }
            assertThrows(MalformedMessageException::class.java) { read(withNull) }
        }
        for (value in listOf(wrongType, outOfRange)) {
            assertThrows(MalformedMessageException::class.java) {
                read(complete.deepCopy().apply { set<ObjectNode>(field, SimulatedWorker.json.readTree(value)) })
            }
        }
    }

    @Test
    fun `a submission is read, and its stored record is decoded to what was encoded`() {
        val spec = JobCodec.read(validJob.encodeToByteArray())
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
            "FIELD:cores:1e99999999999", "FIELD:pieces:1e-99999999999", "FIELD:guess_s:1E2147483647",
            "FIELD:guess_s:-0.1", "FIELD:mould:\"\"", "FIELD:due_s:\"soon\"",
        ],
    )
    fun `a malformed submission or one with an invalid field is refused`(case: String) {
        val body = if (!case.startsWith("FIELD:")) {
            case
        } else {
            val (_, name, value) = case.split(':', limit = 3)
            validJob
                .replace(Regex("\"$name\":(\\[[^]]*]|[^,}]*)"), "\"$name\":${Regex.escapeReplacement(value)}")
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
    fun `the dependencies of a job are read without duplicates, stored, and shown if there are any`(
        value: String,
        expected: String,
    ) {
        val body =
            if (value.isEmpty()) validJob else validJob.replace("\"due_s\"", "\"awaits\":$value,\"due_s\"")
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
    fun `invalid or too many dependencies are refused with the field's name`(value: String) {
        fun bodyWith(dependencies: String) =
            validJob.replace("\"due_s\"", "\"awaits\":$dependencies,\"due_s\"").encodeToByteArray()
        fun jobIds(count: Int) = (1..count).joinToString(",", "[", "]") { "\"job-1%05d\"".format(it) }
        assertEquals(
            JobCodec.MAX_DEPENDENCIES,
            JobCodec.read(bodyWith(jobIds(JobCodec.MAX_DEPENDENCIES))).dependencies.size,
        )
        val exception = assertThrows(MalformedMessageException::class.java) {
            JobCodec.read(
                bodyWith(
                    if (value == "MANY") {
                        jobIds(JobCodec.MAX_DEPENDENCIES + 1)
                    } else {
                        value
                    },
                ),
            )
        }
        assertTrue(exception.message.orEmpty().startsWith("awaits: "), exception.message)
    }

    @Test
    fun `a job with the maximum number of dependencies fits into a stored value of 2 KiB`() {
        val spec = JobCodec.read(validJob.encodeToByteArray()).copy(
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
    fun `a heartbeat that can't be read completely is refused`(body: String) {
        // If it were read in part, a task could seem absent, and a task's absence proves that it has stopped.
        assertThrows(Exception::class.java) { WorkerCodec.readHeartbeat(body.encodeToByteArray()) }
    }

    /** Guards against heartbeats with names that frames can't carry: peers drop a frame that holds such a name. */
    @ParameterizedTest(name = "{0}")
    @CsvSource("no zone", "long zone", "long machine", "long address", "long job", "surrogate in type", "none")
    fun `a heartbeat with a name that no frame can carry is refused`(case: String) {
        val long = "x".repeat(1_001)
        val sent = when (case) {
            "no zone" -> heartbeat.copy(zone = "")
            "long zone" -> heartbeat.copy(zone = long)
            "long machine" -> heartbeat.copy(machine = long)
            "long address" -> heartbeat.copy(address = long)
            "long job" -> heartbeat.copy(tasks = listOf(heartbeat.tasks.first().copy(jobId = long)))
            "surrogate in type" -> heartbeat.copy(type = "\uD800")
            else -> heartbeat
        }
        val read = runCatching { WorkerCodec.readHeartbeat(WorkerCodec.writeHeartbeat(sent)) }
        if (case == "none") {
            assertEquals(heartbeat, read.getOrThrow())
        } else {
            assertTrue(read.exceptionOrNull() is MalformedMessageException, "$read")
        }
    }

    /** Guards against a fleet record that can't be read because a run of consecutive names is too long. */
    @Test
    fun `a fleet record with more consecutive machine names than one run may hold is read back`() {
        val record = FleetRecord(emptyList(), emptyList(), List(100_002) { "i-%06d".format(it) })
        assertEquals(record, RecordJson.decode(Keys.FLEET, RecordJson.encode(record)))
    }

    @ParameterizedTest
    @ValueSource(doubles = [1.0, 2.0, 8.0, 16.0, 64.0])
    fun `a full page of tasks fits into a stored value`(valueKb: Double) {
        val size = StoreLimits.pageSize(valueKb)
        val doneTasks = BitSet()
        for (i in 0 until size step 2) doneTasks.set(99_000 + i)
        val halfPlaced = (1 until size step 2).map { StoredPlacement(99_000 + it, 99_999_999_999_999, "i-9999999", 99) }
        val placedTasks = if (size > 1) halfPlaced else emptyList()
        val mixedPage = StateCodec.writeTransaction(
            StateOp.Txn(emptyList(), listOf(Write.Put("t/job-000001/000001", PageRecord(doneTasks, placedTasks)))),
        )
        assertTrue(mixedPage.size <= valueKb * 1024 || size == 8, "page of $size tasks takes ${mixedPage.size} bytes")
        val allPlaced = (0 until size).map { StoredPlacement(99_000 + it, 99_999_999_999_999, "i-9999999", 99) }
        val placedPage = StateCodec.writeTransaction(
            StateOp.Txn(emptyList(), listOf(Write.Put("t/job-000001/000001", PageRecord(BitSet(), allPlaced)))),
        )
        assertTrue(placedPage.size <= valueKb * 1024, "page of $size placements takes ${placedPage.size} bytes")
    }

    @Test
    fun `a fleet record with 800 arriving and 200 returning machines fits into 8 KiB and is read back`() {
        // When each name took 70 bytes, only a part was stored, and the next leader took the rest for machines that
        // nobody had rented.
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
    fun `a run of machine names with an invalid start or length is refused`(run: String) {
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
    private val heartbeat = HeartbeatStatus(
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
        "report" to RelayedHeartbeat("berth-1", 12, 700, "10.1.0.2", heartbeat),
        "report of a quiet machine" to
            RelayedHeartbeat("berth-1", 12, 0, "", heartbeat.copy(noticeS = null, tasks = emptyList())),
        "answer" to RelayedAnswer("berth-0", 12, 200, byteArrayOf(1, 2, 3)),
    )

    @ParameterizedTest
    @ValueSource(
        strings = [
            "first status", "status", "status without a leader", "status with withdrawals", "progress", "report",
            "report of a quiet machine", "answer",
        ],
    )
    fun `a frame between controllers is decoded to what was encoded, and a truncated one is refused`(kind: String) {
        val message = frames.getValue(kind)
        val frame = PeerCodec.write(message)
        assertEquals(message, PeerCodec.read(frame))
        // A status is complete where that of an older version ends: before its level, its links or its cancellations.
        val completeLengths = if (message is PeerStatus) {
            listOf(message.copy(links = null)).map { PeerCodec.write(it).size }.flatMap { listOf(it - 4, it) } +
                PeerCodec.write(message.copy(cancellations = null)).size
        } else {
            emptyList()
        }
        for (length in frame.indices - completeLengths.toSet()) {
            assertThrows(MalformedMessageException::class.java) {
                PeerCodec.read(frame.copyOf(length))
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = ["0 job-000001 5", "1 job-1x 5", "1 job-000001 -1"])
    fun `a list of cancellations with an invalid number, job id or age is refused`(update: String) {
        val (first, job, up) = update.split(' ')
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

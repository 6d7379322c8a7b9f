package plankwall.wire

import plankwall.audit.AuditEntry
import plankwall.audit.ChainHead
import plankwall.audit.Seal
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.JobFacts
import plankwall.model.JobSpec
import plankwall.model.JobStage
import plankwall.model.JobView
import plankwall.model.MachineType
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape
import java.util.BitSet

/** The values whose encodings are the lines of `resources/golden`, by the names of the lines. */
internal object GoldenValues {
    /**
     * A protocol message. [write]: encodes it. [rewrite]: decodes bytes and encodes them again; null if the program
     * never decodes this kind of message.
     */
    class Message(val write: () -> ByteArray, val rewrite: ((ByteArray) -> ByteArray)? = null)

    private const val AT_MS = 1_700_000_000_000L
    private val group = GroupKey("g8", "a", true)
    private val need = Resources(8_000, 1_000, 64_000)

    private val gangJob = JobSpec(
        "job-000412", "train", "vision", Shape.GANG, Priority.HIGH, 16, need, "img-07", 6.2, listOf("g8"), "a",
        oneZone = true, spread = false, spot = true, estimateS = 240.0, checkpointS = 30.0, saveS = 4.0,
        deadlineS = 900.0, dependencies = listOf("job-000398", "job-000405"),
    )
    private val serviceJob = JobSpec(
        "job-000413", "matcher", "vision", Shape.SERVICE, Priority.PRODUCTION, 2, need, "img-08", 1.0, null, null,
        oneZone = false, spread = true, spot = false, estimateS = 0.0, checkpointS = 0.0, saveS = 0.0, deadlineS = null,
    )
    private val arrayJob = serviceJob.copy(id = "job-000414", shape = Shape.ARRAY, priority = Priority.LOW)
    private val jobFacts = JobFacts("ada", "train", "vision", Priority.NORMAL, Shape.ARRAY)
    private val catalog = Catalog(
        listOf(MachineType("g8", Resources(96_000, 8_000, 768_000), 200.0, 1.0, 12.0, 4.5, 45.0, listOf("a", "b"))),
    )
    private val placements = listOf(StoredPlacement(7, 40_000_001, "i-000231", 2), StoredPlacement(9, 12, "i-7", 1))

    private fun bits(vararg set: Int) = BitSet().apply { set.forEach { set(it) } }

    val records: Map<String, Stored> = mapOf(
        "leader" to LeaderRecord("berth-0", 5),
        "j/job-000412" to JobRecord(gangJob, AT_MS, 0, 40),
        "j/job-000413 cancelled" to JobRecord(serviceJob, AT_MS, AT_MS + 1, 40),
        "j/job-000414 owned" to JobRecord(arrayJob, AT_MS, AT_MS + 1, 40, Ownership("ada", true, 7)),
        "t/job-000412/000000" to PageRecord(bits(0, 1, 2, 5), placements),
        "t/job-000412/000001 divided" to PageRecord(bits(3), emptyList(), 20),
        "f/job-000412" to FinalRecord(JobStage.DONE, 16, AT_MS),
        "f/job-000413 cancelled" to FinalRecord(JobStage.CANCELLED, 0, AT_MS, jobFacts),
        "fleet" to FleetRecord(
            listOf(StoredScaleOut("r-7-1", group, 12)),
            listOf(StoredBootingMachine("i-000001", group, AT_MS), StoredBootingMachine("i-000002", group, AT_MS)),
            listOf("i-000004", "i-000005", "i-000009"),
        ),
        "fleet/1" to FleetRecord(emptyList(), emptyList(), listOf("i-000010"), 2),
        "catalog" to CatalogRecord(catalog),
        "catalog/1" to CatalogRecord(catalog, 1),
        "level" to LevelRecord(3),
        "access/head" to RightsHead(3, 2, "digest", "root", AT_MS),
        "access/v/0000000003/001" to RightsPart("person lea { }"),
        "access/applied" to RightsApplied(3),
        "trail/n0/0000000002" to AuditSegment(4, "before", listOf("{\"n\":4}", "{\"n\":5}")),
        "seal/0000000001" to AuditSeal("a.b.c"),
    )

    /**
     * Records of builds from before pages could be divided, jobs had owners, the end of a job had a time, and values
     * could be split among several keys.
     */
    val older: Map<String, Stored> = mapOf(
        "t/job-000412/000000" to PageRecord(bits(0, 1), listOf(placements[1])),
        "f/job-000412" to FinalRecord(JobStage.DONE, 16),
        "f/job-000413" to FinalRecord(JobStage.CANCELLED, 2),
        "j/job-000414" to JobRecord(arrayJob, AT_MS, 0, 40),
        "fleet" to FleetRecord(
            listOf(StoredScaleOut("r-7-1", group, 12)),
            listOf(StoredBootingMachine("i-000001", group, AT_MS)),
            listOf("i-000004"),
        ),
    )

    private val links = ReachabilityReport(
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
        TaskStage.entries.map { TaskStatus("job-000001", it.ordinal, 9, it, null, false) } +
            ExitCause.entries.map { TaskStatus("job-000002", it.ordinal, 1, TaskStage.EXITED, it, true) },
    )
    private val status = PeerStatus("berth-1", 5, 7, true, 3, false, 4)
    private val cancellations = CancellationUpdate(4, listOf("job-000001", "job-000002"), 900, 8_000)
    private val sessionPlan =
        SessionPlan(7, mapOf("a" to listOf(SessionShare("berth-1", 20), SessionShare("berth-2", 5))))

    val frames: Map<String, PeerMessage> = mapOf(
        "status of the first level" to status,
        "status with links" to status.copy(level = 4, links = links),
        "status without a leader" to status.copy(level = 4, links = links.copy(leader = null, successor = null)),
        "status with cancellations" to status.copy(level = 4, links = links, cancellations = cancellations),
        "status with sessions" to
            status.copy(
                level = 4,
                links = links,
                cancellations = cancellations,
                sessions = SessionUpdate(800, sessionPlan),
            ),
        "progress" to ProgressUpdate(9, listOf(JobProgress("job-000001", 3, 4), JobProgress("job-000002", 0, 120))),
        "relayed heartbeat" to RelayedHeartbeat("berth-1", 12, 700, "10.1.0.2", heartbeat),
        "relayed heartbeat, no tasks" to
            RelayedHeartbeat("berth-1", 12, 0, "", heartbeat.copy(noticeS = null, tasks = emptyList())),
        "relayed answer" to RelayedAnswer("berth-0", 12, 200, byteArrayOf(1, 2, 3)),
        "heartbeat batch" to HeartbeatBatch(
            "berth-1",
            7,
            700,
            listOf(FullHeartbeat(3, "10.1.0.2", heartbeat), UnchangedHeartbeat(4, "", "i-000008", 2, 9, 41)),
        ),
        "answer batch" to AnswerBatch("berth-0", 7, listOf(BatchedAnswer(3, 200, byteArrayOf(9)))),
    )

    private val orders = listOf(
        Order(OrderOp.START, "job-000412", 4, 2),
        Order(OrderOp.STOP, "job-000377", 1, 1, 10.0),
        Order(OrderOp.FORGET, "job-000398", 0, 1),
    )
    private val txn = StateOp.Txn(
        listOf(Guard("leader", 7), Guard("j/job-000412", 0)),
        listOf(Write.Put("leader", LeaderRecord("berth-0", 5), 9), Write.Remove("t/job-000412/000000")),
    )
    private val item = StateItem("leader", LeaderRecord("berth-0", 5), 7)

    private val machineList = CloudResult.Listed(
        ListedState.entries.map { ListedMachine("i-00000${it.ordinal}", "10.1.0.2:9000", group, it, 61.5) },
        false,
    )

    private fun answer(result: StateResult, read: (ByteArray) -> StateResult) =
        Message({ StateServiceCodec.write(result) }, { StateServiceCodec.write(read(it)) })

    val messages: Map<String, Message> = mapOf(
        "heartbeat" to
            Message({
                WorkerCodec.writeHeartbeat(heartbeat)
            }, { WorkerCodec.writeHeartbeat(WorkerCodec.readHeartbeat(it)) }),
        "answer to a heartbeat" to Message({ WorkerCodec.answer(41, orders) }),
        "direct commands" to Message({ WorkerCodec.commands(41, 1, orders) }),
        "another node to report to" to Message({ WorkerCodec.reportTo("berth-2") }),
        "job accepted" to Message({ JobCodec.accepted(JobView("job-000412", JobStage.PENDING, 0, 0)) }),
        "job cancelled" to Message({ JobCodec.accepted(JobView("job-000412", JobStage.CANCELLED, 0, 0)) }),
        "job running" to Message({
            JobCodec.view(JobView("job-000412", JobStage.RUNNING, 1, 2, listOf("job-000398")))
        }),
        "job done" to Message({ JobCodec.view(JobView("job-000412", JobStage.DONE, 16, 0)) }),
        "error" to Message({ JobCodec.error("unknown team") }),
        "transaction" to
            Message({
                StateCodec.writeTransaction(txn)
            }, { StateCodec.writeTransaction(StateServiceCodec.readTxn(it)) }),
        "grant" to
            Message({ StateCodec.writeGrant(2_500) }, { StateCodec.writeGrant(StateServiceCodec.readGrant(it).ttlMs) }),
        "item" to answer(StateResult.Item(item), StateCodec::readItem),
        "items" to answer(StateResult.Items(listOf(item), true, 9), StateCodec::readItems),
        "changes" to answer(
            StateResult.News(listOf(StateEvent("leader", item.value, 7), StateEvent("c/d", null, 8)), 9),
            StateCodec::readChanges,
        ),
        "committed" to answer(StateResult.Committed(9), StateCodec::readCommitted),
        "conflict" to answer(StateResult.Conflict(setOf("a/b")), StateCodec::readConflict),
        "granted" to answer(StateResult.Granted(7), StateCodec::readGranted),
        "machine types" to Message(
            { CloudServiceCodec.writeCatalog(catalog) },
            { CloudServiceCodec.writeCatalog(CloudCodec.readCatalog(it)) },
        ),
        "scale out" to Message(
            { CloudCodec.writeRent(CloudOp.Rent("r-17", group, 12)) },
            { CloudCodec.writeRent(CloudServiceCodec.readRent(it)) },
        ),
        "scale in" to Message(
            { CloudCodec.writeDelete(CloudOp.Delete(listOf("i-000231"))) },
            { CloudCodec.writeDelete(CloudServiceCodec.readDelete(it)) },
        ),
        "machines rented" to Message(
            { CloudServiceCodec.writeRented(listOf("i-000231")) },
            { CloudServiceCodec.writeRented((CloudCodec.readRented(it) as CloudResult.Rented).machines) },
        ),
        "machine list" to Message(
            { CloudServiceCodec.writeListed(machineList) },
            { CloudServiceCodec.writeListed(CloudCodec.readListed(it) as CloudResult.Listed) },
        ),
        "rights" to Message({ AdminCodec.writeRights(3, "root", AT_MS, "person lea { }") }, { bytes ->
            AdminCodec.readRights(bytes).let { AdminCodec.writeRights(it.version, it.by, it.atMs, it.text) }
        }),
        "publication" to Message({ AdminCodec.writePublication(3, "person lea { }") }),
        "rollback" to Message({ AdminCodec.writeRollback(3, 2) }),
        "published" to Message({ AdminCodec.writePublished(4) }),
    )

    val entry = AuditEntry(
        "a-1", AT_MS, 5, "ada", "k1", "10.0.0.0/24", "submit", "job-000001", true, "rule", 1, 201, "q", "note",
    )
    val seal = Seal(2, "before", AT_MS, 5, "n0", mapOf("n0" to ChainHead(3, 40, "hash"), "n1" to ChainHead(0, 0, "h")))
}

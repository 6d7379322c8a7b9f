package plankwall.wire

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.statistics.Statistics
import org.junit.jupiter.api.Assertions.assertEquals
import plankwall.audit.AuditEntry
import plankwall.audit.AuditLines
import plankwall.fixtures.EarlierBuilds
import plankwall.fixtures.RecordJson
import java.util.function.Predicate

private const val SEED = "51"
private const val TRIES = 500

/** Properties of all codecs: what is accepted is read back as an equal value, by this build and by earlier ones. */
class CodecPropertiesTest {
    /** Guards against a submission that is accepted, but whose record no controller can read. */
    @Property(tries = TRIES, seed = SEED)
    fun `the record of an accepted submission is read back as an equal value`(@ForAll("submissions") text: String) {
        val spec = acceptedOrNull { JobCodec.read(text.encodeToByteArray()) }
        requireMostAccepted(spec != null)
        if (spec == null) return
        assertReadBack(Keys.job(spec.id), JobRecord(spec, 5, 0, 100))
        assertEquals(spec, JobCodec.read(JobCodec.description(spec)))
    }

    @Provide
    fun submissions(): Arbitrary<String> = WireArbitraries.submission

    /** Guards against machine types that are accepted from the cloud, but can't be read from the state service. */
    @Property(tries = TRIES, seed = SEED)
    fun `the record of an accepted catalog is read back as an equal value`(@ForAll("catalogs") text: String) {
        val catalog = acceptedOrNull { CloudCodec.readCatalog(text.encodeToByteArray()) }
        requireMostAccepted(catalog != null)
        if (catalog == null) return
        assertReadBack(Keys.CATALOG, CatalogRecord(catalog, 2))
    }

    @Provide
    fun catalogs(): Arbitrary<String> = WireArbitraries.catalogAnswer

    /** Guards against fields that are lost or changed in a stored record of any kind. */
    @Property(tries = TRIES, seed = SEED)
    fun `a record is read back as an equal value`(@ForAll("records") entry: Pair<String, Stored>) =
        assertReadBack(entry.first, entry.second)

    @Provide
    fun records(): Arbitrary<Pair<String, Stored>> = Arbitraries.oneOf(
        WireArbitraries.records.values.map { (key, records) -> records.map { key to it } },
    )

    /** Guards against entries of the audit log whose line says something else. */
    @Property(tries = TRIES, seed = SEED)
    fun `an audit log entry is read back from its line as an equal value`(@ForAll("auditEntries") entry: AuditEntry) {
        assertEquals(entry, AuditLines.read(AuditLines.write(3, AuditLines.START, "n0", entry)).entry)
    }

    @Provide
    fun auditEntries(): Arbitrary<AuditEntry> = WireArbitraries.auditEntry

    /** Guards against frames that a peer reads differently or not at all. */
    @Property(tries = TRIES, seed = SEED)
    fun `a frame is read back as an equal value`(@ForAll("frames") message: PeerMessage) {
        val frame = PeerCodec.write(message)
        val received = PeerCodec.read(frame)
        assertEquals(message, received)
        assertEquals(frame.toList(), PeerCodec.write(received).toList())
    }

    @Provide
    fun frames(): Arbitrary<PeerMessage> = Arbitraries.oneOf(WireArbitraries.frames.values.toList())

    /** Guards against heartbeats that are accepted, but change on their way to the leader. */
    @Property(tries = TRIES, seed = SEED)
    fun `an accepted heartbeat reaches the leader as an equal value`(@ForAll("heartbeats") heartbeat: HeartbeatStatus) {
        val accepted = WorkerCodec.readHeartbeat(WorkerCodec.writeHeartbeat(heartbeat))
        assertEquals(heartbeat, accepted)
        val relayed = RelayedHeartbeat("n1", 1, 2, "10.0.0.1", accepted)
        assertEquals(relayed, PeerCodec.read(PeerCodec.write(relayed)))
    }

    @Provide
    fun heartbeats(): Arbitrary<HeartbeatStatus> = WireArbitraries.heartbeat

    /** Guards against records of earlier builds, which stored any Double that they accepted, being refused. */
    @Property(tries = TRIES, seed = SEED)
    fun `a job record that an earlier build stored is read and rewritten`(@ForAll("amounts") amount: String) {
        val double = amount.toDouble()
        val stored = """{"spec":{"id":"job-1","docket":"a","crew":"b","shape":"sweep","urgency":"low","pieces":2,""" +
            """"cores":8.0,"accelerators":1.0,"ram_gb":64.0,"mould":"i","size_gb":1.0,"together":false,""" +
            """"scatter":true,"loaners":false,"guess_s":$double,"snapshot_s":0.0,""" +
            """"stow_s":$double},"at":5,"page":40}"""
        val record = RecordJson.decode("j/job-1", stored) as JobRecord
        assertReadBack("j/job-1", record.copy(cancelledMs = 6))
    }

    @Provide
    fun amounts(): Arbitrary<String> = WireArbitraries.amountText

    @Example
    fun `every kind of record and of frame is generated`() {
        assertEquals(Stored::class.java.permittedSubclasses.toSet(), WireArbitraries.records.keys)
        assertEquals(PeerMessage::class.java.permittedSubclasses.toSet(), WireArbitraries.frames.keys)
    }

    private fun <T> acceptedOrNull(read: () -> T): T? = try {
        read()
    } catch (_: MalformedMessageException) {
        null
    }

    /** Lets the property fail if less than half of its cases are accepted: it would then show little. */
    private fun requireMostAccepted(isAccepted: Boolean) = Statistics.collect(isAccepted).let {
        Statistics.coverage { coverage -> coverage.check(true).percentage(Predicate { it > 50.0 }) }
    }

    /** Asserts that [record] is read back by each kind of request, and that earlier builds can read its numbers. */
    private fun assertReadBack(key: String, record: Stored) {
        val stored = RecordJson.encode(record)
        assertEquals(record, RecordJson.decode(key, stored))
        assertEquals(emptyList<String>(), EarlierBuilds.unreadableNumbers(stored), stored)
        val write = StateOp.Txn(listOf(Guard(key, 4)), listOf(Write.Put(key, record, 9)))
        assertEquals(write, StateServiceCodec.readTxn(StateCodec.writeTransaction(write)))
        val items = StateResult.Items(listOf(StateItem(key, record, 7)), false, 8)
        assertEquals(items, StateCodec.readItems(StateServiceCodec.write(items)))
        val changes = StateResult.News(listOf(StateEvent(key, record, 7), StateEvent(key, null, 8)), 8)
        assertEquals(changes, StateCodec.readChanges(StateServiceCodec.write(changes)))
    }
}

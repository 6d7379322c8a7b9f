package plankwall.wire

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import plankwall.loadtest.LoadTestCluster
import plankwall.loadtest.LoadTestPlan
import plankwall.model.GroupKey
import plankwall.model.StateLimits
import plankwall.simulation.SimulatedClock
import plankwall.simulation.SimulatedCluster
import plankwall.simulation.SimulatedStore

/** The stand-ins' side of the protocols is read by the controllers' own, and the other way round. */
class ServerCodecTest {
    private val record = JobRecord(SimulatedCluster.job(7), 1_000, 0, 100)
    private val leader = LeaderRecord("n1", 5)

    @Test
    fun `the state service understands transactions and is understood`() {
        val txn = StateOp.Txn(
            listOf(Guard(Keys.LEADER, 3)),
            listOf(Write.Put(Keys.job(record.spec.id), record), Write.Put(Keys.LEADER, leader, 9), Write.Remove("x/1")),
        )
        assertEquals(txn, StateServiceCodec.readTxn(StateCodec.writeTransaction(txn)))
        assertEquals(StateOp.Grant(2_500), StateServiceCodec.readGrant(StateCodec.writeGrant(2_500)))
        val item = StateItem(Keys.LEADER, leader, 4)
        assertEquals(StateResult.Item(item), StateCodec.readItem(StateServiceCodec.write(StateResult.Item(item))))
        val items = StateResult.Items(listOf(item), true, 8)
        assertEquals(items, StateCodec.readItems(StateServiceCodec.write(items)))
        val news = StateResult.News(
            listOf(StateEvent(Keys.job(record.spec.id), record, 5), StateEvent("j/2", null, 6)),
            6,
        )
        assertEquals(news, StateCodec.readChanges(StateServiceCodec.write(news)))
        assertEquals(
            StateResult.Committed(7),
            StateCodec.readCommitted(StateServiceCodec.write(StateResult.Committed(7))),
        )
        assertEquals(
            StateResult.Conflict(setOf("a")),
            StateCodec.readConflict(StateServiceCodec.write(StateResult.Conflict(setOf("a")))),
        )
        assertEquals(StateResult.Granted(3), StateCodec.readGranted(StateServiceCodec.write(StateResult.Granted(3))))
        assertThrows(
            MalformedMessageException::class.java,
        ) { StateServiceCodec.readTxn("{\"writes\":[{\"set\":\"unknown/1\",\"data\":{}}]}".encodeToByteArray()) }
    }

    @Test
    fun `the cloud understands requests and is understood`() {
        val rent = CloudOp.Rent("r-1", GroupKey("box", "a", true), 12)
        assertEquals(rent, CloudServiceCodec.readRent(CloudCodec.writeRent(rent)))
        val delete = CloudOp.Delete(listOf("i-1", "i-2"))
        assertEquals(delete, CloudServiceCodec.readDelete(CloudCodec.writeDelete(delete)))
        val catalog = LoadTestCluster.catalog(LoadTestPlan())
        assertEquals(catalog, CloudCodec.readCatalog(CloudServiceCodec.writeCatalog(catalog)))
        val listed = CloudResult.Listed(
            ListedState.entries.map { ListedMachine("i-$it", "127.0.0.1:9", GroupKey("box", "a", false), it, 1.5) },
            true,
        )
        assertEquals(listed, CloudCodec.readListed(CloudServiceCodec.writeListed(listed)))
        assertEquals(
            CloudResult.Rented(listOf("i-3")),
            CloudCodec.readRented(CloudServiceCodec.writeRented(listOf("i-3"))),
        )
        assertThrows(MalformedMessageException::class.java) {
            CloudServiceCodec.readRent(CloudCodec.writeRent(rent.copy(count = 51)))
        }
    }

    @Test
    fun `reports and submissions are read as they were sent`() {
        val tasks = TaskStage.entries.mapIndexed { n, stage ->
            TaskStatus(
                "job-000001",
                n,
                9,
                stage,
                if (stage == TaskStage.EXITED) ExitCause.STOPPED else null,
                n % 2 == 0,
            )
        }
        val report = HeartbeatStatus("i-000001", "127.0.0.1:9", "box", "a", true, 2, 11, 41, 30.0, tasks)
        assertEquals(report, WorkerCodec.readHeartbeat(WorkerCodec.writeHeartbeat(report)))
        assertEquals(record.spec, JobCodec.read(JobCodec.description(record.spec)))
    }

    @Test
    fun `beyond its rates the state service refuses, and what it has forgotten is too old`() {
        val clock = SimulatedClock()
        val state = SimulatedStore(clock, StateLimits(4.0, 2.0, 8.0, 32)).apply {
            refusesBeyondRates = true
            historyLimit = 3
        }
        fun put(): StateResult? {
            var result: StateResult? = null
            state.run(StateOp.Txn(emptyList(), listOf(Write.Put(Keys.LEADER, leader)))) { result = it }
            return result
        }
        assertEquals(listOf(true, true, false), List(3) { put() is StateResult.Committed })
        for (second in 1..10) {
            clock.runUntil(second.toDouble())
            put()
        }
        clock.runUntil(12.0)
        var seen: StateResult? = null
        state.run(StateOp.Changes("", 1)) { seen = it }
        assertEquals(StateResult.TooOld, seen)
        state.run(StateOp.Changes("", state.version(Keys.LEADER) - 1)) { seen = it }
        assertEquals(1, (seen as StateResult.News).events.size)
    }
}

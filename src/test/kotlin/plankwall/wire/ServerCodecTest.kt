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

/** Tests that the server codecs of the simulated services and the controllers' client codecs can read each other. */
class ServerCodecTest {
    private val record = JobRecord(SimulatedCluster.job(7), 1_000, 0, 100)
    private val leader = LeaderRecord("n1", 5)

    @Test
    fun `requests to and answers of the state service are decoded to what was encoded`() {
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
    fun `requests to and answers of the cloud are decoded to what was encoded, and too large a request is refused`() {
        val rentRequest = CloudOp.Rent("r-1", GroupKey("box", "a", true), 12)
        assertEquals(rentRequest, CloudServiceCodec.readRent(CloudCodec.writeRent(rentRequest)))
        val deleteRequest = CloudOp.Delete(listOf("i-1", "i-2"))
        assertEquals(deleteRequest, CloudServiceCodec.readDelete(CloudCodec.writeDelete(deleteRequest)))
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
            CloudServiceCodec.readRent(CloudCodec.writeRent(rentRequest.copy(count = 51)))
        }
    }

    @Test
    fun `heartbeats and job submissions are decoded to what was encoded`() {
        val tasks = TaskStage.entries.mapIndexed { index, stage ->
            TaskStatus(
                "job-000001",
                index,
                9,
                stage,
                if (stage == TaskStage.EXITED) ExitCause.STOPPED else null,
                index % 2 == 0,
            )
        }
        val heartbeat = HeartbeatStatus("i-000001", "127.0.0.1:9", "box", "a", true, 2, 11, 41, 30.0, tasks)
        assertEquals(heartbeat, WorkerCodec.readHeartbeat(WorkerCodec.writeHeartbeat(heartbeat)))
        assertEquals(record.spec, JobCodec.read(JobCodec.description(record.spec)))
    }

    @Test
    fun `the simulated state service refuses writes above its rate and changes older than its history`() {
        val clock = SimulatedClock()
        val state = SimulatedStore(clock, StateLimits(4.0, 2.0, 8.0, 32)).apply {
            refusesBeyondRates = true
            historyLimit = 3
        }

        /** Writes the leader record once; returns the result. */
        fun putLeader(): StateResult? {
            var result: StateResult? = null
            state.run(StateOp.Txn(emptyList(), listOf(Write.Put(Keys.LEADER, leader)))) { result = it }
            return result
        }
        assertEquals(listOf(true, true, false), List(3) { putLeader() is StateResult.Committed })
        for (second in 1..10) {
            clock.runUntil(second.toDouble())
            putLeader()
        }
        clock.runUntil(12.0)
        var changes: StateResult? = null
        state.run(StateOp.Changes("", 1)) { changes = it }
        assertEquals(StateResult.TooOld, changes)
        state.run(StateOp.Changes("", state.version(Keys.LEADER) - 1)) { changes = it }
        assertEquals(1, (changes as StateResult.News).events.size)
    }
}

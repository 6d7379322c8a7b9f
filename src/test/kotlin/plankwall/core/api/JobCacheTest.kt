package plankwall.core.api

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Effect
import plankwall.model.Tuning
import plankwall.simulation.SimulatedCluster
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.StateEvent
import plankwall.wire.StateItem
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import java.util.Random

/** Tests that requests share reads of the store, and that none is answered from a read that began before it arrived. */
class JobCacheTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1, Random(1))
    private val jobCache = JobCache(ctx) {}
    private val openCalls = ArrayDeque<Effect.StateCall>()
    private val record = SimulatedCluster.job(1).let { JobRecord(it, 1, 0, 100) }
    private val key = Keys.job(JOB_ID)
    private var now = 100.0

    private fun advanceTime(seconds: Double) {
        now += seconds
        ctx.time.advance(now, 0)
        jobCache.tick()
        collectCalls()
    }

    private fun collectCalls() = ctx.out.drain().forEach { openCalls.addLast(it as Effect.StateCall) }

    private fun answerCall(result: StateResult) {
        ctx.out.resume(openCalls.removeFirst().call, result)
        collectCalls()
    }

    /**
     * Makes a request that waits for a fresh read. Its answer is added to [answers]: `unread` if the read failed,
     * `null` if the job is not live, otherwise whether the job is cancelled.
     */
    private fun requestFreshJobs(answers: MutableList<String>) {
        jobCache.whenFresh { fresh ->
            answers.add(
                when {
                    !fresh -> "unread"
                    jobCache.isLive(JOB_ID) -> "${jobCache.isCancelled(JOB_ID)}"
                    else -> "null"
                },
            )
        }
        collectCalls()
    }

    private fun loadJobs() {
        advanceTime(0.0)
        answerCall(StateResult.Items(listOf(StateItem(key, record, 5)), false, 5))
        answerCall(StateResult.News(emptyList(), 6))
    }

    @Test
    fun `requests that wait for the next read share it`() {
        loadJobs()
        val answers = ArrayList<String>()
        repeat(200) { requestFreshJobs(answers) }
        advanceTime(1.0)
        assertEquals(listOf<StateOp>(StateOp.Changes(Keys.JOBS, 6)), openCalls.map { it.op })
        answerCall(StateResult.News(emptyList(), 7))
        assertEquals(List(200) { "false" }, answers)
        assertEquals(0, openCalls.size)
    }

    @Test
    fun `a request that comes during a read waits for the next one`() {
        loadJobs()
        val answers = ArrayList<String>()
        advanceTime(1.0)
        requestFreshJobs(answers)
        requestFreshJobs(answers)
        answerCall(StateResult.News(emptyList(), 7))
        assertEquals(listOf("false"), answers, "the second request came after the read had begun")
        advanceTime(1.0)
        answerCall(StateResult.News(listOf(StateEvent(key, record.copy(cancelledMs = 9), 8)), 8))
        assertEquals(listOf("false", "true"), answers)
    }

    @Test
    fun `when changes were compacted the waiting request is unread and the next one reads all jobs`() {
        loadJobs()
        val answers = ArrayList<String>()
        advanceTime(1.0)
        requestFreshJobs(answers)
        answerCall(StateResult.TooOld)
        assertEquals(listOf("unread"), answers)
        requestFreshJobs(answers)
        advanceTime(1.0)
        answerCall(StateResult.Items(emptyList(), false, 20))
        answerCall(StateResult.News(emptyList(), 20))
        // The job was not among those that were read, so it has ended and is not live.
        assertEquals(listOf("unread", "null"), answers)
    }

    private companion object {
        const val JOB_ID = "job-000001"
    }
}

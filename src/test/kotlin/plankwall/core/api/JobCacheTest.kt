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

/** Requests share reads of the store, and none is answered from a read that began before the request came. */
class JobCacheTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1, Random(1))
    private val jobCache = JobCache(ctx) {}
    private val openCalls = ArrayDeque<Effect.StateCall>()
    private val record = SimulatedCluster.job(1).let { JobRecord(it, 1, 0, 100) }
    private val key = Keys.job(JOB)
    private var now = 100.0

    private fun pass(seconds: Double) {
        now += seconds
        ctx.time.advance(now, 0)
        jobCache.tick()
        collect()
    }

    private fun collect() = ctx.out.drain().forEach { openCalls.addLast(it as Effect.StateCall) }

    private fun answer(result: StateResult) {
        ctx.out.resume(openCalls.removeFirst().call, result)
        collect()
    }

    private fun ask(answers: MutableList<String>) {
        jobCache.whenFresh { fresh ->
            answers.add(
                when {
                    !fresh -> "unread"
                    jobCache.isLive(JOB) -> "${jobCache.isCancelled(JOB)}"
                    else -> "null"
                },
            )
        }
        collect()
    }

    private fun load() {
        pass(0.0)
        answer(StateResult.Items(listOf(StateItem(key, record, 5)), false, 5))
        answer(StateResult.News(emptyList(), 6))
    }

    @Test
    fun `many requests share one read`() {
        load()
        val answers = ArrayList<String>()
        repeat(200) { ask(answers) }
        pass(1.0)
        assertEquals(listOf<StateOp>(StateOp.Changes(Keys.JOBS, 6)), openCalls.map { it.op })
        answer(StateResult.News(emptyList(), 7))
        assertEquals(List(200) { "false" }, answers)
        assertEquals(0, openCalls.size)
    }

    @Test
    fun `a request that comes during a read waits for the next one`() {
        load()
        val answers = ArrayList<String>()
        pass(1.0)
        ask(answers)
        ask(answers)
        answer(StateResult.News(emptyList(), 7))
        assertEquals(listOf("false"), answers, "the second came after the read had begun")
        pass(1.0)
        answer(StateResult.News(listOf(StateEvent(key, record.copy(cancelledMs = 9), 8)), 8))
        assertEquals(listOf("false", "true"), answers)
    }

    @Test
    fun `a job that is over is no longer live, and compacted changes are read anew`() {
        load()
        val answers = ArrayList<String>()
        pass(1.0)
        ask(answers)
        answer(StateResult.TooOld)
        assertEquals(listOf("unread"), answers)
        ask(answers)
        pass(1.0)
        answer(StateResult.Items(emptyList(), false, 20))
        answer(StateResult.News(emptyList(), 20))
        assertEquals(listOf("unread", "null"), answers)
    }

    private companion object {
        const val JOB = "job-000001"
    }
}

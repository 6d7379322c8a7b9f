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

/** Polls share reads of the store, and none is answered from a read that began before the poll came. */
class JobCacheTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1, Random(1))
    private val jobCache = JobCache(ctx) {}
    private val open = ArrayDeque<Effect.StateCall>()
    private val record = SimulatedCluster.job(1).let { JobRecord(it, 1, 0, 100) }
    private val key = Keys.job("job-000001")
    private var now = 100.0

    private fun pass(seconds: Double) {
        now += seconds
        ctx.time.advance(now, 0)
        jobCache.tick()
        collect()
    }

    private fun collect() = ctx.out.drain().forEach { open.addLast(it as Effect.StateCall) }

    private fun answer(result: StateResult) {
        ctx.out.resume(open.removeFirst().call, result)
        collect()
    }

    private fun ask(answers: MutableList<String>) {
        jobCache.whenFresh { fresh ->
            answers.add(
                if (fresh) {
                    "${jobCache.isCancelled("job-000001").takeIf {
                        jobCache.isLive("job-000001")
                    }}"
                } else {
                    "unread"
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
    fun `many questions cost one read`() {
        load()
        val answers = ArrayList<String>()
        repeat(200) { ask(answers) }
        pass(1.0)
        assertEquals(listOf<StateOp>(StateOp.Changes(Keys.JOBS, 6)), open.map { it.op })
        answer(StateResult.News(emptyList(), 7))
        assertEquals(List(200) { "false" }, answers)
        assertEquals(0, open.size)
    }

    @Test
    fun `a question that comes during a read waits for the next one`() {
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
    fun `what is over is no longer live, and changes too old to be had are read anew`() {
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
}

package plankwall.core.queue

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.state.Job
import plankwall.fixtures.CoreParts
import plankwall.model.Objective
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster

/**
 * Jobs of a class that should start within 30 s and be done within 60 or 90 s; each of four machines takes four tasks.
 */
class PendingQueueTest {
    private val core = CoreParts(
        listOf("class", "low", "high").flatMap {
            listOf(
                Objective("wait", it, 30.0, 0.9),
                Objective("finished", it, 60.0, 0.8),
                Objective("finished", it, 90.0, 0.9),
            )
        },
    )
    private val pendingQueue = PendingQueue(core.ctx, core.schedulerState, core.fleet)

    init {
        repeat(4) { core.machine("i-%06d".format(it)) }
    }

    /** Jobs as `number:tasks:age`, and with `!` those that come from the team with a limit of 16 accelerators. */
    private fun learn(text: String): List<Job> = text.split(' ').map {
        val (number, tasks, age) = it.trimEnd('!').split(':').map(String::toInt)
        core.learn(
            SimulatedCluster.job(number, tasks = tasks, runS = 20.0, team = if (it.endsWith('!')) "red" else "blue"),
            age.toDouble(),
        )
    }

    private fun order(jobs: List<Job>) = pendingQueue.sort(jobs).joinToString(" ") { it.spec.id.takeLast(1) }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, whether the cloud has no more, jobs, order
        "'by age where machines can be had', false, 1:16:20 2:16:5 3:16:200, 3 1 2",
        "'too late goes last where none can', true, 1:16:20 2:16:5 3:16:200, 1 2 3",
        "'of too many the largest waits', true, 1:48:9 2:8:8 3:8:7 4:8:6, 2 3 4 1",
        "'late for the tightest aim goes before lost', true, 1:8:65 2:16:95 3:8:1, 3 1 2",
        "'a limit holds back whatever the cloud has', false, 1:12:40! 2:12:1! 3:12:100!, 2 1 3",
        "'a limit that is not reached does not', false, 1:4:40! 2:4:1! 3:4:100!, 3 1 2",
    )
    fun `order of what waits`(name: String, scarce: Boolean, jobs: String, expected: String) {
        pendingQueue.isScarce = { scarce }
        assertEquals(expected, order(learn(jobs)))
    }

    /** What the cloud says is asked again and again; a job is not for ever what it was judged once. */
    @Test
    fun `judged anew when there is room`() {
        val jobs = learn("1:16:20 2:16:200")
        pendingQueue.isScarce = { true }
        assertEquals("1 2", order(jobs))
        core.ctx.time.advance(core.ctx.now + 2, core.ctx.time.wallMs + 2_000)
        pendingQueue.isScarce = { false }
        assertEquals("2 1", order(jobs))
    }

    /** A day on which a class of low priority was served at a tenth, beside others at nine tenths. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, whether the cloud has no more, tasks of low and of high priority running of sixteen places, who goes
        // first
        "'starved beside others', true, 0, 8, low",
        "'it has its floor', true, 12, 4, high",
        "'the others are below theirs', true, 0, 0, high",
        "'there is room for all', false, 0, 8, high",
    )
    fun `a class below its floor goes before those above`(
        name: String,
        scarce: Boolean,
        low: Int,
        high: Int,
        first: String,
    ) {
        pendingQueue.isScarce = { scarce }
        var number = 1
        fun of(kind: String) = core.learn(
            SimulatedCluster.job(
                number++,
                tasks = 12,
                runS = 20.0,
                priority = if (kind == "low") Priority.LOW else Priority.HIGH,
            ).copy(jobClass = kind),
            5.0,
        )
        val jobs = listOf(of("low"), of("high"), of("low"), of("high"))
        repeat(low) { core.schedulerState.place(jobs[0], it, core.machine("i-00000${it / 4}"), 100L + it) }
        repeat(high) { core.schedulerState.place(jobs[1], it, core.machine("i-00000${3 - it / 4}"), 200L + it) }
        val order = pendingQueue.sort(jobs.filter { it.waiting.isNotEmpty() })
        assertEquals(first, order.first().spec.jobClass)
        assertEquals(scarce && low == 0, pendingQueue.isProtected(jobs[0]), "spared by work of higher priority")
        // Live services are never put behind it.
        val service = core.learn(SimulatedCluster.job(900, Shape.SERVICE, priority = Priority.PRODUCTION))
        assertEquals(service, pendingQueue.sort(order + service).first())
    }
}

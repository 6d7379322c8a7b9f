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
 * Tests the order in which waiting jobs are served. The objectives of each class are to start within 30 s and to finish
 * within 60 s or, for a larger part of the jobs, within 90 s. There are four machines, each with capacity for four
 * tasks.
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

    /**
     * Adds the jobs that [text] lists as `number:tasks:age`, the age in seconds. A `!` at the end means that the job is
     * from the team with a quota of 16 accelerators.
     */
    private fun learnJobs(text: String): List<Job> = text.split(' ').map {
        val (number, tasks, age) = it.trimEnd('!').split(':').map(String::toInt)
        core.learn(
            SimulatedCluster.job(number, tasks = tasks, runS = 20.0, team = if (it.endsWith('!')) "red" else "blue"),
            age.toDouble(),
        )
    }

    private fun servingOrder(jobs: List<Job>) = pendingQueue.sort(jobs).joinToString(" ") { it.spec.id.takeLast(1) }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, whether the cloud has no more machines, jobs, the order in which they are served
        "'jobs are served by age while the cloud has machines', false, 1:16:20 2:16:5 3:16:200, 3 1 2",
        "'a job that is too late goes last when the cloud has no more machines', true, 1:16:20 2:16:5 3:16:200, 1 2 3",
        "'the largest job goes last when not all jobs can be in time', true, 1:48:9 2:8:8 3:8:7 4:8:6, 2 3 4 1",
        "'a job too late for the tightest objective goes before one out of reach', true, 1:8:65 2:16:95 3:8:1, 3 1 2",
        "'a job out of reach in its quota goes last despite free machines', false, 1:12:40! 2:12:1! 3:12:100!, 2 1 3",
        "'jobs within the quota are served by age', false, 1:4:40! 2:4:1! 3:4:100!, 3 1 2",
    )
    fun `waiting jobs are served by age, or by feasibility where the cloud or a quota is exhausted`(
        name: String,
        scarce: Boolean,
        jobs: String,
        expected: String,
    ) {
        pendingQueue.isScarce = { scarce }
        assertEquals(expected, servingOrder(learnJobs(jobs)))
    }

    /**
     * Guards against a classification that is kept for ever: the cloud is asked again, and the jobs are classified
     * anew.
     */
    @Test
    fun `jobs are classified anew when the cloud has machines again`() {
        val jobs = learnJobs("1:16:20 2:16:200")
        pendingQueue.isScarce = { true }
        assertEquals("1 2", servingOrder(jobs))
        core.ctx.time.advance(core.ctx.now + 2, core.ctx.time.wallMs + 2_000)
        pendingQueue.isScarce = { false }
        assertEquals("2 1", servingOrder(jobs))
    }

    /**
     * Guards against a starved class: on a day with scarce capacity a class of low priority was served at a tenth while
     * others were served at nine tenths.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, whether the cloud has no more machines, running tasks of low and of high priority with capacity for
        // sixteen, the class that goes first
        "'a class without running tasks goes first beside one above its minimum share', true, 0, 8, low",
        "'a class that has its minimum share goes by priority', true, 12, 4, high",
        "'classes go by priority when all are below their minimum shares', true, 0, 0, high",
        "'classes go by priority while the cloud has machines', false, 0, 8, high",
    )
    fun `a class below its minimum share goes before those above theirs`(
        name: String,
        scarce: Boolean,
        lowRunning: Int,
        highRunning: Int,
        firstClass: String,
    ) {
        pendingQueue.isScarce = { scarce }
        var number = 1
        fun learnJob(className: String) = core.learn(
            SimulatedCluster.job(
                number++,
                tasks = 12,
                runS = 20.0,
                priority = if (className == "low") Priority.LOW else Priority.HIGH,
            ).copy(jobClass = className),
            5.0,
        )
        val jobs = listOf(learnJob("low"), learnJob("high"), learnJob("low"), learnJob("high"))
        repeat(lowRunning) { core.schedulerState.place(jobs[0], it, core.machine("i-00000${it / 4}"), 100L + it) }
        repeat(highRunning) { core.schedulerState.place(jobs[1], it, core.machine("i-00000${3 - it / 4}"), 200L + it) }
        val sorted = pendingQueue.sort(jobs.filter { it.waiting.isNotEmpty() })
        assertEquals(firstClass, sorted.first().spec.jobClass)
        assertEquals(
            scarce && lowRunning == 0,
            pendingQueue.isProtected(jobs[0]),
            "protected from preemption by work of higher priority",
        )
        // Service jobs of production priority still go before that class.
        val service = core.learn(SimulatedCluster.job(900, Shape.SERVICE, priority = Priority.PRODUCTION))
        assertEquals(service, pendingQueue.sort(sorted + service).first())
    }
}

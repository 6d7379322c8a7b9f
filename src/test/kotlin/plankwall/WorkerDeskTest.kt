package plankwall

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.Context
import plankwall.core.Fleet
import plankwall.core.JobBook
import plankwall.core.LeaderStore
import plankwall.core.Leadership
import plankwall.core.StopCause
import plankwall.core.WorkerDesk
import plankwall.model.Shape
import plankwall.model.Tuning
import plankwall.sim.World
import plankwall.wire.ExitCause
import plankwall.wire.JobRecord
import plankwall.wire.Report
import plankwall.wire.TaskReport
import plankwall.wire.TaskStage
import java.util.Random

/** What a worker is told about a gang task that ended, and whether the leader counts the task as gone. */
class WorkerDeskTest {
    private val ctx = Context(World.settings("n0", 3), Tuning(), 1, Random(1)).apply { time.advance(1000.0, 1_000_000) }
    private val leadership = Leadership(ctx, {}, {})
    private val fleet = Fleet(ctx).apply { catalog = World.CATALOG }
    private val book = JobBook(ctx, LeaderStore(ctx, leadership), fleet)
    private val desk = WorkerDesk(ctx, leadership, book, fleet)

    private fun report(machine: String, seq: Long, tasks: List<TaskReport>) =
        Report(machine, "addr:$machine", "box", "a", false, 1, seq, 0, null, tasks)

    @ParameterizedTest(name = "{0} while its mate is {1}")
    @CsvSource(
        // Images of 25 GB reach the machines of a gang minutes apart; the first to wait must not end the attempt.
        "ALONE, fetching, 'FORGET START', true",
        "ALONE, stopping, '', false",
        "ALONE, gone, '', false",
        "STOPPED, fetching, '', false",
        "PEERS, fetching, '', false",
        "DONE, fetching, '', false",
    )
    fun `a gang task that waited in vain is started again`(cause: ExitCause, mate: String, orders: String, stays: Boolean) {
        val spec = World.job(1, Shape.GANG, tasks = 2)
        book.learn(spec.id, JobRecord(spec, 1_000_000, 0, 100), 1)
        val job = checkNotNull(book.find(spec.id))
        val placed = listOf("i-1", "i-2").mapIndexed { task, name ->
            val m = fleet.machine(name)
            desk.checkIn(report(name, 1, emptyList()))
            book.place(job, task, m, 7).apply { stored = true }
        }
        desk.checkIn(report("i-1", 2, listOf(TaskReport(spec.id, 0, 7, TaskStage.WAITING, null, false))))
        when (mate) {
            "stopping" -> placed[1].apply { commanded = true }.let { book.stop(it, StopCause.PREEMPTED, 0.0) }
            "gone" -> job.placements.remove(1)
        }
        val answer = desk.checkIn(report("i-1", 3, listOf(TaskReport(spec.id, 0, 7, TaskStage.EXITED, cause, false)))).orEmpty()
        assertEquals(orders, answer.filter { it.task == 0 }.joinToString(" ") { it.op.name })
        assertEquals(stays, job.placements[0] === placed[0])
    }
}

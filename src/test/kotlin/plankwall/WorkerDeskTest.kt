package plankwall

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.jobs.StopCause
import plankwall.core.workers.WorkerDesk
import plankwall.model.Shape
import plankwall.sim.CoreParts
import plankwall.lab.World
import plankwall.wire.ExitCause
import plankwall.wire.Report
import plankwall.wire.TaskReport
import plankwall.wire.TaskStage

/** What a worker is told about a gang task that ended, and whether the leader counts the task as gone. */
class WorkerDeskTest {
    private val core = CoreParts()
    private val book = core.book
    private val desk = WorkerDesk(core.ctx, core.leadership, book, core.fleet)

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
        val job = core.learn(spec)
        val placed = listOf("i-1", "i-2").mapIndexed { task, name ->
            val m = core.fleet.machine(name)
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

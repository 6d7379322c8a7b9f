package plankwall.core.heartbeat

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import plankwall.core.placement.Placer
import plankwall.core.state.StopCause
import plankwall.fixtures.CoreParts
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster
import plankwall.wire.ExitCause
import plankwall.wire.HeartbeatStatus
import plankwall.wire.TaskStage
import plankwall.wire.TaskStatus

/** What a worker is told about a gang task that ended, and whether the leader counts the task as gone. */
class HeartbeatHandlerTest {
    private val core = CoreParts()
    private val schedulerState = core.schedulerState
    private val handler = HeartbeatHandler(core.ctx, core.leadership, schedulerState, core.fleet)

    private fun report(machine: String, seq: Long, tasks: List<TaskStatus>) =
        HeartbeatStatus(machine, "addr:$machine", "box", "a", false, 1, seq, 0, null, tasks)

    private fun word(session: Long, seq: Long, token: Long) =
        HeartbeatStatus("i-1", "addr:i-1", "box", "a", false, session, seq, token, null, emptyList())

    private fun wait(seconds: Double) = core.ctx.time.advance(core.ctx.now + seconds, 0)

    private val placer = Placer(core.ctx, schedulerState, core.fleet)

    @Test
    fun `a copy of an earlier session as the first word bars a machine only until it shows our token`() {
        core.lead()
        val m = core.machine("i-1")
        handler.onHeartbeat(word(session = 1, seq = 5, token = 2))
        handler.onHeartbeat(word(session = 2, seq = 9, token = 2))
        assertFalse(placer.usable(m), "it may be one that hears nobody")
        handler.onHeartbeat(word(session = 2, seq = 10, token = CoreParts.EPOCH))
        assertTrue(placer.usable(m))
    }

    @Test
    fun `a machine that heard us once and lost its lease though answered is barred for a lease`() {
        core.lead()
        val m = core.machine("i-1")
        handler.onHeartbeat(word(session = 1, seq = 5, token = CoreParts.EPOCH))
        handler.onHeartbeat(word(session = 2, seq = 9, token = CoreParts.EPOCH))
        assertFalse(placer.usable(m))
        wait(core.ctx.surelyOverS)
        handler.onHeartbeat(word(session = 2, seq = 12, token = CoreParts.EPOCH))
        assertTrue(placer.usable(m))
    }

    @ParameterizedTest(name = "run was put into an answer: {0}")
    @ValueSource(booleans = [false, true])
    fun `what never left for a machine that misses a report is taken back, all else waits for proof`(
        commanded: Boolean,
    ) {
        core.lead()
        val m = core.machine("i-1")
        handler.onHeartbeat(word(session = 1, seq = 5, token = 2))
        val p = schedulerState.place(core.learn(SimulatedCluster.job(1)), 0, m, 7).apply { stored = true }
        if (commanded) handler.onHeartbeat(word(session = 1, seq = 6, token = 2))
        wait(core.ctx.settings.workers.missedS - 0.1)
        handler.releaseExpired()
        assertTrue(p.job.placements[0] === p, "not late yet")
        wait(0.2)
        handler.releaseExpired()
        assertEquals(commanded, p.job.placements[0] === p)
        assertEquals(commanded, placer.usable(m), "nothing more is placed in vain")
        handler.onHeartbeat(word(session = 1, seq = 8, token = 2))
        assertTrue(placer.usable(m))
    }

    @Test
    fun `a first word proves no absence before it shows our token`() {
        core.lead()
        val m = core.machine("i-1").apply { session = 1 }
        val p = schedulerState.place(core.learn(SimulatedCluster.job(1)), 0, m, 7).apply {
            stored = true
            commanded = true
        }
        schedulerState.stop(p, StopCause.CANCELLED, 0.0)
        handler.onHeartbeat(word(session = 1, seq = 3, token = 2))
        assertTrue(p.job.placements[0] === p)
        handler.onHeartbeat(word(session = 1, seq = 9, token = CoreParts.EPOCH))
        assertTrue(p.job.placements.isEmpty())
    }

    @ParameterizedTest(name = "{0} while its mate is {1}")
    @CsvSource(
        // Images of 25 GB reach the machines of a gang minutes apart; the first to wait must not end the attempt.
        "GANG_INCOMPLETE, fetching, 'FORGET START', true",
        "GANG_INCOMPLETE, stopping, '', false",
        "GANG_INCOMPLETE, gone, '', false",
        "STOPPED, fetching, '', false",
        "PEER_LOST, fetching, '', false",
        "DONE, fetching, '', false",
    )
    fun `a gang task that waited in vain is started again`(
        cause: ExitCause,
        mate: String,
        orders: String,
        stays: Boolean,
    ) {
        val spec = SimulatedCluster.job(1, Shape.GANG, tasks = 2)
        val job = core.learn(spec)
        val placed = listOf("i-1", "i-2").mapIndexed { task, name ->
            val m = core.fleet.machine(name)
            handler.onHeartbeat(report(name, 1, emptyList()))
            schedulerState.place(job, task, m, 7).apply { stored = true }
        }
        handler.onHeartbeat(report("i-1", 2, listOf(TaskStatus(spec.id, 0, 7, TaskStage.WAITING, null, false))))
        when (mate) {
            "stopping" -> placed[1].apply { commanded = true }.let { schedulerState.stop(it, StopCause.PREEMPTED, 0.0) }
            "gone" -> job.placements.remove(1)
        }
        val answer = handler.onHeartbeat(
            report("i-1", 3, listOf(TaskStatus(spec.id, 0, 7, TaskStage.EXITED, cause, false))),
        ).orEmpty()
        assertEquals(orders, answer.filter { it.task == 0 }.joinToString(" ") { it.op.name })
        assertEquals(stays, job.placements[0] === placed[0])
    }
}

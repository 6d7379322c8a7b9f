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
import plankwall.wire.OrderOp
import plankwall.wire.StateResult
import plankwall.wire.TaskStage
import plankwall.wire.TaskStatus

/** Tests which orders a heartbeat is answered with, and when the leader releases a placement. */
class HeartbeatHandlerTest {
    private val core = CoreParts()
    private val schedulerState = core.schedulerState
    private val handler = HeartbeatHandler(core.ctx, core.leadership, schedulerState, core.fleet)

    private fun heartbeat(machine: String, seq: Long, tasks: List<TaskStatus>) =
        HeartbeatStatus(machine, "addr:$machine", "box", "a", false, 1, seq, 0, null, tasks)

    private fun heartbeat(session: Long, seq: Long, token: Long) =
        HeartbeatStatus("i-1", "addr:i-1", "box", "a", false, session, seq, token, null, emptyList())

    private fun advanceTime(seconds: Double) = core.ctx.time.advance(core.ctx.now + seconds, 0)

    private val placer = Placer(core.ctx, schedulerState, core.fleet)

    @Test
    fun `an old heartbeat received first blocks a machine only until it shows the leader's token`() {
        core.lead()
        val machine = core.machine("i-1")
        handler.onHeartbeat(heartbeat(session = 1, seq = 5, token = 2))
        handler.onHeartbeat(heartbeat(session = 2, seq = 9, token = 2))
        assertFalse(placer.isUsable(machine), "the machine may be one that no answer reaches")
        handler.onHeartbeat(heartbeat(session = 2, seq = 10, token = CoreParts.EPOCH))
        assertTrue(placer.isUsable(machine))
    }

    @Test
    fun `a machine that showed the leader's token and lost its lease although answered is blocked for a lease`() {
        core.lead()
        val machine = core.machine("i-1")
        handler.onHeartbeat(heartbeat(session = 1, seq = 5, token = CoreParts.EPOCH))
        handler.onHeartbeat(heartbeat(session = 2, seq = 9, token = CoreParts.EPOCH))
        assertFalse(placer.isUsable(machine))
        advanceTime(core.ctx.leaseExpiryBoundS)
        handler.onHeartbeat(heartbeat(session = 2, seq = 12, token = CoreParts.EPOCH))
        assertTrue(placer.isUsable(machine))
    }

    @ParameterizedTest(name = "the start was sent in an answer: {0}")
    @ValueSource(booleans = [false, true])
    fun `when a machine misses a heartbeat a start never sent to it is released, a sent one waits for proof`(
        commanded: Boolean,
    ) {
        core.lead()
        val machine = core.machine("i-1")
        handler.onHeartbeat(heartbeat(session = 1, seq = 5, token = 2))
        val placement = schedulerState.place(core.learn(SimulatedCluster.job(1)), 0, machine, 7).apply { stored = true }
        if (commanded) handler.onHeartbeat(heartbeat(session = 1, seq = 6, token = 2))
        advanceTime(core.ctx.settings.workers.missedHeartbeatS - 0.1)
        handler.releaseExpired()
        assertTrue(placement.job.placements[0] === placement, "the heartbeat is not late yet")
        advanceTime(0.2)
        handler.releaseExpired()
        assertEquals(commanded, placement.job.placements[0] === placement)
        assertEquals(commanded, placer.isUsable(machine), "no more tasks are placed there after a release")
        handler.onHeartbeat(heartbeat(session = 1, seq = 8, token = 2))
        assertTrue(placer.isUsable(machine))
    }

    @Test
    fun `a heartbeat does not prove a task gone before it shows the leader's token`() {
        core.lead()
        val machine = core.machine("i-1").apply { session = 1 }
        val placement = schedulerState.place(core.learn(SimulatedCluster.job(1)), 0, machine, 7).apply {
            stored = true
            isCommanded = true
        }
        schedulerState.stop(placement, StopCause.CANCELLED, 0.0)
        handler.onHeartbeat(heartbeat(session = 1, seq = 3, token = 2))
        assertTrue(placement.job.placements[0] === placement)
        handler.onHeartbeat(heartbeat(session = 1, seq = 9, token = CoreParts.EPOCH))
        assertTrue(placement.job.placements.isEmpty())
    }

    @ParameterizedTest(name = "{0} of a task while the other is {1}")
    @CsvSource(
        // cause of the exit, state of the other task, orders for the task, whether it keeps its placement
        // Guards against a gang that never starts: images of 25 GB arrive on its machines minutes apart, and the first
        // task that gives up waiting must not end the attempt.
        "GANG_INCOMPLETE, fetching, 'FORGET START', true",
        "GANG_INCOMPLETE, stopping, '', false",
        "GANG_INCOMPLETE, gone, '', false",
        "STOPPED, fetching, '', false",
        "PEER_LOST, fetching, '', false",
        "DONE, fetching, '', false",
    )
    fun `a gang task that gave up waiting is restarted only while the other fetches its image`(
        cause: ExitCause,
        otherTask: String,
        expectedOrders: String,
        keepsPlacement: Boolean,
    ) {
        val spec = SimulatedCluster.job(1, Shape.GANG, tasks = 2)
        val job = core.learn(spec)
        val placed = listOf("i-1", "i-2").mapIndexed { task, name ->
            val machine = core.fleet.machine(name)
            handler.onHeartbeat(heartbeat(name, 1, emptyList()))
            schedulerState.place(job, task, machine, 7).apply { stored = true }
        }
        handler.onHeartbeat(heartbeat("i-1", 2, listOf(TaskStatus(spec.id, 0, 7, TaskStage.WAITING, null, false))))
        when (otherTask) {
            "stopping" -> placed[1].apply {
                isCommanded = true
            }.let { schedulerState.stop(it, StopCause.PREEMPTED, 0.0) }
            "gone" -> job.placements.remove(1)
        }
        val answer = handler.onHeartbeat(
            heartbeat("i-1", 3, listOf(TaskStatus(spec.id, 0, 7, TaskStage.EXITED, cause, false))),
        ).orEmpty()
        assertEquals(expectedOrders, answer.filter { it.task == 0 }.joinToString(" ") { it.op.name })
        assertEquals(keepsPlacement, job.placements[0] === placed[0])
    }

    /**
     * Guards against a gang's task that runs twice: an earlier leader had started the attempt again after its exit, and
     * an old heartbeat or the answer to a direct command shows that exit to the leader.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "old heartbeat, GANG_INCOMPLETE, true",
        "command reply, GANG_INCOMPLETE, true",
        "heartbeat with the token, GANG_INCOMPLETE, false",
        "old heartbeat, PEER_LOST, false",
        "command reply, STOPPED, false",
        "old heartbeat, DONE, false",
    )
    fun `an exit that the same attempt may have outlived releases a task only by a heartbeat with the token`(
        report: String,
        cause: ExitCause,
        keepsPlacement: Boolean,
    ) {
        core.lead()
        val spec = SimulatedCluster.job(1, Shape.GANG, tasks = 2)
        val placed = listOf("i-1", "i-2").mapIndexed { task, name ->
            val machine = core.machine(name).apply { session = 1 }
            schedulerState.place(core.learn(spec), task, machine, 7).apply {
                stored = true
                isCommanded = true
            }
        }
        schedulerState.stop(placed[1], StopCause.DRAINED, 0.0)
        val exit = TaskStatus(spec.id, 0, 7, TaskStage.EXITED, cause, false)
        val shown = heartbeat("i-1", 3, listOf(exit))
        when (report) {
            "old heartbeat" -> handler.onHeartbeat(shown)
            "command reply" -> handler.onCommandReply(shown.copy(token = CoreParts.EPOCH))
            else -> handler.onHeartbeat(shown.copy(token = CoreParts.EPOCH))
        }
        assertEquals(keepsPlacement, placed[0].job.placements[0] === placed[0])
        handler.onHeartbeat(shown.copy(seq = 4, token = CoreParts.EPOCH))
        assertTrue(0 !in placed[0].job.placements, "a heartbeat with the token proves the exit")
    }

    /**
     * Guards against an attempt that runs again after a failover: its worker had forgotten the exit before the release
     * was stored, so that the next leader ordered the stored attempt to start.
     */
    @Test
    fun `a worker is ordered to forget an exit only once the release of the placement is stored`() {
        core.lead()
        val job = core.learn(SimulatedCluster.job(1))
        val machine = core.machine("i-1").apply { session = 1 }
        schedulerState.place(job, 0, machine, 7).apply {
            stored = true
            isCommanded = true
        }
        val exit = TaskStatus(job.spec.id, 0, 7, TaskStage.EXITED, ExitCause.ERROR, false)
        fun orders(seq: Long) = handler.onHeartbeat(heartbeat("i-1", seq, listOf(exit))).orEmpty().map { it.op }
        orders(3)
        assertEquals(emptyList<OrderOp>(), orders(4))
        schedulerState.flush()
        core.confirmWrites(StateResult.Unknown)
        assertEquals(emptyList<OrderOp>(), orders(5), "the write may not have been applied")
        schedulerState.flush()
        core.confirmWrites(StateResult.Committed(9))
        assertEquals(listOf(OrderOp.FORGET), orders(6))
    }
}

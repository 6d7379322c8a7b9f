package plankwall.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.heartbeat.HeartbeatHandler
import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.state.StopCause
import plankwall.fixtures.CoreParts
import plankwall.model.JobSpec
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster
import plankwall.wire.ExitCause
import plankwall.wire.HeartbeatStatus
import plankwall.wire.OrderOp
import plankwall.wire.TaskStage
import plankwall.wire.TaskStatus
import plankwall.wire.WorkerCodec

/** Tests that neither a worker's heartbeat nor a message to it grows beyond 64 KiB, which is all that is read. */
class HeartbeatLimitTest {
    private val core = CoreParts()
    private val handler = HeartbeatHandler(core.ctx, core.leadership, core.schedulerState, core.fleet)
    private val placer = Placer(core.ctx, core.schedulerState, core.fleet)
    private var seq = 0L

    private fun heartbeat(machine: String, tasks: List<TaskStatus> = emptyList()) =
        HeartbeatStatus(machine, "addr:$machine", "box", "a", false, 1, ++seq, CoreParts.EPOCH, null, tasks)

    private fun jobId(number: Int, digits: Int) = "job-%0${digits}d".format(number)

    private fun tinyTasks(shape: Shape, tasks: Int, idDigits: Int): JobSpec =
        SimulatedCluster.job(1, shape, tasks).copy(id = jobId(1, idDigits), need = Resources(1, 0, 1))

    private fun exitsOfEarlierJob(count: Int, idDigits: Int) =
        List(count) { TaskStatus(jobId(9, idDigits), it, LONG_ATTEMPT, TaskStage.EXITED, ExitCause.STOPPED, true) }

    private fun exit(placement: Placement) = TaskStatus(
        placement.job.spec.id,
        placement.task,
        placement.attempt,
        TaskStage.EXITED,
        ExitCause.PEER_LOST,
        false,
    )

    private fun bytesOf(machine: Machine, tasks: List<TaskStatus>) = WorkerCodec.writeHeartbeat(
        heartbeat(machine.id, tasks).copy(
            address = "2001:db8:ffff:ffff:ffff:ffff:ffff:ffff:65535",
            type = "a-machine-type-with-a-long-name",
            noticeS = 1234.5,
        ),
    ).size

    /** Returns the size of the heartbeat once all placements on [machine] have exited beside the [exits]. */
    private fun bytesOnceAllExit(machine: Machine, exits: List<TaskStatus>): Int =
        bytesOf(machine, exits + machine.placements.values.map { exit(it).copy(attempt = LONG_ATTEMPT) })

    /**
     * Guards against a worker that loses its lease with all its tasks because no controller reads its heartbeat: only
     * the number of tasks was limited, but with long ids and exit causes fewer of them fill a heartbeat.
     */
    @ParameterizedTest(name = "{0} of {1} tasks, ids of {2} digits, {3} exits on each machine")
    @CsvSource(
        "ARRAY, 2000, 6, 0",
        "ARRAY, 2000, 18, 0",
        "ARRAY, 2000, 18, 400",
        "ARRAY, 2000, 6, 400",
        "SERVICE, 2000, 18, 0",
    )
    fun `no machine gets more tasks than its heartbeat holds`(shape: Shape, tasks: Int, idDigits: Int, exits: Int) {
        val earlier = exitsOfEarlierJob(exits, idDigits)
        val machines = List(2) { core.machine("i-00000$it") }
        machines.forEach { handler.onHeartbeat(heartbeat(it.id, earlier)) }
        core.learn(tinyTasks(shape, tasks, idDigits))
        repeat(PASSES) { placer.runPass() }
        machines.forEach { machine ->
            assertTrue(bytesOnceAllExit(machine, earlier) <= MAX_BODY_BYTES, "the heartbeat can be read")
            assertTrue(machine.placements.size + exits >= LEAST_TASKS, "only the heartbeat limits the tasks")
        }
    }

    /**
     * Guards against a gang that never ends: all its tasks were placed on one machine, whose heartbeat was then too
     * long, so that it lost its lease and killed the tasks of other jobs as well.
     */
    @ParameterizedTest(name = "{0} tasks, ids of {1} digits, {2} exits on each machine, {3} tasks placed")
    @CsvSource("1200, 6, 0, 1200", "1200, 18, 0, 1200", "1200, 6, 400, 0", "300, 6, 400, 300", "2000, 6, 0, 0")
    fun `a gang is placed on as many machines as its heartbeats need, or not at all`(
        tasks: Int,
        idDigits: Int,
        exits: Int,
        expectedPlacements: Int,
    ) {
        val earlier = exitsOfEarlierJob(exits, idDigits)
        val machines = List(3) { core.machine("i-00000$it") }
        machines.forEach { handler.onHeartbeat(heartbeat(it.id, earlier)) }
        val job = core.learn(tinyTasks(Shape.GANG, tasks, idDigits))
        placer.runPass()
        assertEquals(expectedPlacements, job.placements.size)
        machines.forEach { assertTrue(bytesOnceAllExit(it, earlier) <= MAX_BODY_BYTES, "the heartbeat can be read") }
    }

    /**
     * Guards against a heartbeat that grows too long unseen: exits in the answer to a direct command released their
     * placements but did not count as exits, so that new tasks were placed beside them.
     */
    @Test
    fun `exits that the answer to a direct command shows take their space in the heartbeat`() {
        val machine = core.machine("i-000001")
        handler.onHeartbeat(heartbeat(machine.id))
        val stopped = core.learn(tinyTasks(Shape.ARRAY, 400, 6))
        repeat(PASSES) { placer.runPass() }
        val exits = machine.placements.values.map { exit(it) }
        stopped.cancelled = true
        val overtaken = heartbeat(machine.id)
        handler.onCommandReply(heartbeat(machine.id, exits))
        core.learn(tinyTasks(Shape.ARRAY, 2000, 6).copy(id = jobId(2, 6)))
        repeat(PASSES) { placer.runPass() }
        assertTrue(bytesOnceAllExit(machine, exits) <= MAX_BODY_BYTES, "the heartbeat can be read")
        handler.onHeartbeat(overtaken)
        repeat(PASSES) { placer.runPass() }
        assertTrue(bytesOnceAllExit(machine, exits) <= MAX_BODY_BYTES, "an older heartbeat does not hide the exits")
        assertTrue(machine.placements.isNotEmpty())
    }

    /**
     * Guards against starts beside exits of which the leader did not know when it placed the tasks: a new leader may
     * know only an old heartbeat of a machine. The worker keeps these exits until they are stored.
     */
    @Test
    fun `no more tasks are started than the heartbeat has room for beside what it shows`() {
        val machine = core.machine("i-000001")
        handler.onHeartbeat(heartbeat(machine.id))
        core.learn(tinyTasks(Shape.ARRAY, 2000, 6))
        repeat(PASSES) { placer.runPass() }
        machine.placements.values.forEach { it.stored = true }
        core.learn(SimulatedCluster.job(9, tasks = 350))
        val exits = exitsOfEarlierJob(350, 6).map { it.copy(cause = ExitCause.DONE) }
        val orders = checkNotNull(handler.onHeartbeat(heartbeat(machine.id, exits)))
        val started = orders.filter { it.op == OrderOp.START }
            .map { TaskStatus(it.jobId, it.task, LONG_ATTEMPT, TaskStage.EXITED, ExitCause.GANG_INCOMPLETE, false) }
        assertTrue(started.isNotEmpty())
        assertTrue(bytesOf(machine, exits + started) <= MAX_BODY_BYTES, "the next heartbeat can be read")
        val later = checkNotNull(handler.onHeartbeat(heartbeat(machine.id, started)))
        assertTrue(later.any { it.op == OrderOp.START }, "the others start once the exits are gone")
    }

    /** Guards against stops that the worker refuses because there are too many of them in one request. */
    @Test
    fun `stops of hundreds of tasks with long ids are sent in several commands that each can be read`() {
        val machine = core.machine("i-000001")
        handler.onHeartbeat(heartbeat(machine.id))
        val spec = SimulatedCluster.job(1, tasks = 2000)
        val job = core.learn(spec.copy(id = jobId(1, 18), checkpointS = 1.0, saveS = 0.1 + 0.2))
        val placements = List(900) { core.schedulerState.place(job, 99_000 + it, machine, LONG_ATTEMPT + it) }
        placements.forEach { it.isCommanded = true }
        placements.forEach { core.schedulerState.stopWithCheckpoint(it, StopCause.DRAINED) }
        val commands = generateSequence { handler.urgentOrders(machine) }.take(placements.size).toList()
        assertEquals(placements.map { it.task }, commands.flatten().map { it.task }, "each stop is sent once")
        commands.forEach { orders ->
            assertTrue(WorkerCodec.commands(Long.MAX_VALUE, Long.MAX_VALUE, orders).size <= MAX_BODY_BYTES)
        }
    }

    private companion object {
        const val MAX_BODY_BYTES = 64 * 1024

        /** More than enough passes to fill the machines. */
        const val PASSES = 60

        /** A heartbeat with at least this many tasks and exits counts as used. */
        const val LEAST_TASKS = 450

        /** An attempt number as a leader gives it after billions of changes in the store. */
        const val LONG_ATTEMPT = 45_000_000_000_000_001L
    }
}

package plankwall.sim

import plankwall.core.jobs.Fleet
import plankwall.core.jobs.Job
import plankwall.core.jobs.JobBook
import plankwall.core.jobs.Machine
import plankwall.core.lead.LeaderStore
import plankwall.core.lead.Leadership
import plankwall.core.step.Context
import plankwall.core.step.Effect
import plankwall.lab.World
import plankwall.model.GroupKey
import plankwall.model.JobSpec
import plankwall.model.Objective
import plankwall.model.Tuning
import plankwall.wire.JobRecord
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import java.util.Random

/** The parts of a core that a table test needs, at a set moment and without a world around them. */
class CoreParts(objectives: List<Objective> = emptyList()) {
    val ctx = Context(World.settings("n0", 3).copy(objectives = objectives), Tuning(), 1, Random(1)).apply {
        time.advance(1000.0, WALL_MS)
    }
    val leadership = Leadership(ctx, {}, {})
    val fleet = Fleet(ctx).apply { catalog = World.CATALOG }
    val book = JobBook(ctx, LeaderStore(ctx, leadership), fleet)

    /** Wins: from now on workers have to show [EPOCH]. */
    fun lead() {
        leadership.tick()
        while (!leadership.leading) {
            ctx.out.take().filterIsInstance<Effect.StateCall>().forEach { e ->
                val answer = when (e.op) {
                    is StateOp.Grant -> StateResult.Granted(1)
                    is StateOp.Txn -> StateResult.Committed(EPOCH)
                    else -> StateResult.Item(null)
                }
                ctx.out.resume(e.call, answer)
            }
        }
    }

    fun learn(spec: JobSpec, waitedS: Double = 0.0): Job {
        book.learn(spec.id, JobRecord(spec, WALL_MS - (waitedS * 1000).toLong(), 0, 100), 1)
        return checkNotNull(book.find(spec.id))
    }

    fun machine(name: String): Machine = fleet.machine(name).also { fleet.describe(it, GROUP, "addr:$name") }

    companion object {
        val GROUP = GroupKey("box", "a", false)
        const val EPOCH = 5L
        private const val WALL_MS = 1_000_000L
    }
}

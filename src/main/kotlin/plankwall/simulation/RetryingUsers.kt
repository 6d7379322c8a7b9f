package plankwall.simulation

import plankwall.model.JobSpec
import plankwall.model.Resources
import plankwall.model.Shape

/** Users who ask everywhere at once, repeat themselves, and send what nobody can run. */
class RetryingUsers(private val world: SimulatedCluster) {
    private var odd = 900_000

    /**
     * At all nodes within milliseconds: a question, the submission again and, where it is [cancelled], the cancellation
     * again.
     */
    fun look(id: String, cancelled: Boolean = false) {
        world.felt.merge("close looks", 1, Int::plus)
        val spec = world.submitted(id) ?: return
        for (node in world.nodes.filter { it.up }) {
            world.clock.after(world.random.nextDouble() * LOOK_S) { world.show(id, node) }
            world.clock.after(world.random.nextDouble() * LOOK_S) { world.submitOnce(spec, node) }
            if (cancelled) world.clock.after(world.random.nextDouble() * LOOK_S) { world.cancelOnce(id, node) }
        }
    }

    /**
     * What can never run: it fits no machine, is of nobody's team, needs more than its team may have, or has to lie in
     * two zones and in one.
     */
    private fun impossible(): List<JobSpec> {
        fun next() = SimulatedCluster.job(++odd)
        return listOf(
            next().copy(need = Resources(2_000, 1_000_000, 8_000)),
            next().copy(team = "nobody"),
            next().copy(types = listOf("none")),
            next().copy(zone = "elsewhere"),
            next().copy(shape = Shape.GANG, team = "red", tasks = 40),
            next().copy(shape = Shape.SERVICE, oneZone = true, spread = true),
            next().copy(shape = Shape.GANG, zone = "a", spread = true),
        )
    }

    /** A round of them, and for each of [done] its cancellation, for each of [unfinished] its submission once more. */
    fun beOdd(done: List<String>, unfinished: List<String>) {
        val node = world.nodes.filter { it.up }.ifEmpty { return }.let { it[world.random.nextInt(it.size)] }
        for (spec in impossible()) {
            world.felt.merge("odd requests", 1, Int::plus)
            world.submitOnce(spec, node) {
                if (it <
                    400
                ) {
                    world.checker.broken.add("impossible: ${spec.id} was accepted")
                }
            }
        }
        done.forEach { world.cancelOnce(it, node) }
        unfinished.forEach { id -> world.submitted(id)?.let { world.submitOnce(it, node) } }
    }

    private companion object {
        const val LOOK_S = 0.01
    }
}

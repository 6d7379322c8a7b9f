package plankwall.simulation

import plankwall.model.JobSpec
import plankwall.model.Resources
import plankwall.model.Shape

/** Users who ask everywhere at once, repeat themselves, and send what nobody can run. */
class RetryingUsers(private val cluster: SimulatedCluster) {
    private var lastJobNumber = 900_000

    /**
     * At all nodes within milliseconds: a question, the submission again and, where it is [cancelled], the cancellation
     * again.
     */
    fun requestAtAllNodes(id: String, cancelled: Boolean = false) {
        cluster.faults.count("close looks")
        val spec = cluster.specOf(id) ?: return
        for (node in cluster.nodes.filter { it.up }) {
            cluster.clock.after(cluster.random.nextDouble() * REQUEST_SPREAD_S) { cluster.users.queryStatus(id, node) }
            cluster.clock.after(cluster.random.nextDouble() * REQUEST_SPREAD_S) { cluster.users.submitOnce(spec, node) }
            if (cancelled) {
                cluster.clock.after(cluster.random.nextDouble() * REQUEST_SPREAD_S) {
                    cluster.users.cancelOnce(id, node)
                }
            }
        }
    }

    /**
     * What can never run: it fits no machine, is of nobody's team, needs more than its team may have, or has to lie in
     * two zones and in one.
     */
    private fun unsatisfiableJobs(): List<JobSpec> {
        fun next() = SimulatedCluster.job(++lastJobNumber)
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
    fun sendInvalidRequests(done: List<String>, unfinished: List<String>) {
        val node = cluster.nodes.filter { it.up }.ifEmpty { return }.let { it[cluster.random.nextInt(it.size)] }
        for (spec in unsatisfiableJobs()) {
            cluster.faults.count("odd requests")
            cluster.users.submitOnce(spec, node) {
                if (it < 400) {
                    cluster.checker.violations.add("impossible: ${spec.id} was accepted")
                }
            }
        }
        done.forEach { cluster.users.cancelOnce(it, node) }
        unfinished.forEach { id -> cluster.specOf(id)?.let { cluster.users.submitOnce(it, node) } }
    }

    private companion object {
        const val REQUEST_SPREAD_S = 0.01
    }
}

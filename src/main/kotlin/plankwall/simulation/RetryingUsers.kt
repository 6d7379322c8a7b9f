package plankwall.simulation

import plankwall.model.JobSpec
import plankwall.model.Resources
import plankwall.model.Shape

/**
 * Simulated users who send requests to all controllers at once, repeat requests, and submit jobs that can never run.
 */
class RetryingUsers(private val cluster: SimulatedCluster) {
    private var lastJobNumber = 900_000

    /**
     * Sends requests for the job [id] to all running controllers within milliseconds: a status request, the submission
     * again and, if the job was [cancelled], the cancellation again.
     */
    fun requestAtAllNodes(id: String, cancelled: Boolean = false) {
        cluster.faults.count("close looks")
        val spec = cluster.specOf(id) ?: return
        for (node in cluster.nodes.filter { it.isUp }) {
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
     * Returns jobs that can never run: they fit no machine, belong to an unknown team, name an unknown machine type or
     * zone, need more than their team's quota, or must run both in one zone and spread over several.
     */
    private fun unsatisfiableJobs(): List<JobSpec> {
        fun newJob() = SimulatedCluster.job(++lastJobNumber)
        return listOf(
            newJob().copy(need = Resources(2_000, 1_000_000, 8_000)),
            newJob().copy(team = "nobody"),
            newJob().copy(types = listOf("none")),
            newJob().copy(zone = "elsewhere"),
            newJob().copy(shape = Shape.GANG, team = "red", tasks = 40),
            newJob().copy(shape = Shape.SERVICE, oneZone = true, spread = true),
            newJob().copy(shape = Shape.GANG, zone = "a", spread = true),
        )
    }

    /**
     * Sends requests that must not change anything to one controller: submissions of jobs that can never run, a
     * cancellation of each job in [done], and a repeated submission of each job in [unfinished].
     */
    fun sendInvalidRequests(done: List<String>, unfinished: List<String>) {
        val node = cluster.nodes.filter { it.isUp }.ifEmpty { return }.let { it[cluster.random.nextInt(it.size)] }
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
        /** Requests to different controllers are sent within this time. */
        const val REQUEST_SPREAD_S = 0.01
    }
}

package plankwall.loadtest

/**
 * What a fault hit and how long it took until 99% of the workers had an answer to a report sent after it; null: not
 * within the run.
 */
data class FaultOutcome(val fault: Fault, val hit: List<String>, val servedAgainS: Double?)

/** Brings the faults of a plan about. */
class FaultTimeline(
    private val cluster: LoadTestCluster,
    private val controllers: List<ControllerProcess>,
    private val links: Map<Pair<Int, Int>, PeerProxy>,
) {
    private val plan = cluster.plan
    private val results = ArrayList<FaultOutcome>()

    val outcomes: List<FaultOutcome> get() = results

    fun begin() = plan.faults.forEach { fault -> cluster.clock.after(fault.atS) { strike(fault) } }

    private fun strike(fault: Fault) {
        val hit = when (fault.kind) {
            FaultKind.KILL -> kill(fault)
            FaultKind.STATE_AWAY -> during(fault, {
                cluster.state.outage = true
            }) { cluster.state.outage = false }.let { listOf("state service") }
            FaultKind.REPORTS_LOST -> zonesOf(fault.target).also { zones ->
                during(fault, {
                    cluster.transport.zonesLosingHeartbeats.addAll(zones)
                }) { cluster.transport.zonesLosingHeartbeats.removeAll(zones) }
            }
            FaultKind.ANSWERS_LOST -> zonesOf(fault.target).also { zones ->
                during(fault, {
                    cluster.transport.zonesLosingAnswers.addAll(zones)
                }) { cluster.transport.zonesLosingAnswers.removeAll(zones) }
            }
            FaultKind.PEERS_APART -> cutPeers(fault)
        }
        awaitService(fault, hit, cluster.clock.now)
    }

    private fun during(fault: Fault, begin: () -> Unit, end: () -> Unit) {
        begin()
        cluster.clock.after(fault.forS, end)
    }

    private fun kill(fault: Fault): List<String> {
        val targets = nodesOf(fault.target)
        targets.forEach { controllers[it].kill() }
        cluster.clock.after(fault.forS) { targets.forEach { controllers[it].start() } }
        return targets.map(plan::nodeName)
    }

    private fun cutPeers(fault: Fault): List<String> {
        val inside = nodesOf(fault.target).toSet()
        val cut = links.filterKeys { (from, to) -> (from in inside) != (to in inside) }.values
        during(fault, { cut.forEach { it.cut = true } }) { cut.forEach { it.cut = false } }
        return inside.map(plan::nodeName)
    }

    private fun zonesOf(target: String): Set<String> = plan.zoneNames.filter {
        target == "all" ||
            it == target ||
            plan.regionOf(it) == target
    }.toSet()

    private fun nodesOf(target: String): List<Int> = when (target) {
        "all" -> controllers.indices.toList()
        "leader" -> listOf(cluster.leader()).filter { it >= 0 }
        else -> controllers.indices.filter { plan.nodeName(it) == target || plan.zoneOfNode(it) in zonesOf(target) }
    }

    private fun awaitService(fault: Fault, hit: Collection<String>, from: Double) {
        val at = results.size
        results.add(FaultOutcome(fault, hit.toList(), null))
        fun look() {
            if (cluster.transport.servedSince(from) >= SERVED_SHARE) {
                results[at] = results[at].copy(servedAgainS = cluster.clock.now - from)
            } else {
                cluster.clock.after(LOOK_EVERY_S) { look() }
            }
        }
        cluster.clock.after(LOOK_EVERY_S) { look() }
    }

    companion object {
        /** Of the workers: when so many are served, a fault counts as over for them. */
        const val SERVED_SHARE = 0.99
        private const val LOOK_EVERY_S = 0.1
    }
}

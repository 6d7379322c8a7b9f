package plankwall.loadtest

/**
 * The outcome of a fault.
 *
 * @property hit the names of the controllers, zones or services that the fault affected
 * @property servedAgainS the time from the start of the fault until 99% of the workers had an answer to a heartbeat
 * that they sent after that start, in seconds; null if the load test ended before that
 */
data class FaultOutcome(val fault: Fault, val hit: List<String>, val servedAgainS: Double?)

/**
 * Injects the faults of a plan at their times and measures how long the workers go without service.
 *
 * @property links the peer connections, by the indices of the sending and the receiving controller
 */
class FaultTimeline(
    private val cluster: LoadTestCluster,
    private val controllers: List<ControllerProcess>,
    private val links: Map<Pair<Int, Int>, PeerProxy>,
) {
    private val plan = cluster.plan
    private val recordedOutcomes = ArrayList<FaultOutcome>()

    /** The outcomes of the faults that have begun, in the order in which they began. */
    val outcomes: List<FaultOutcome> get() = recordedOutcomes

    /** Schedules all faults of the plan. Called once, at the start of the fault phase. */
    fun schedule() = plan.faults.forEach { fault -> cluster.clock.after(fault.startS) { inject(fault) } }

    private fun inject(fault: Fault) {
        val hit = when (fault.kind) {
            FaultKind.KILL -> killControllers(fault)
            FaultKind.PAUSE -> pauseControllers(fault)
            FaultKind.PEERS_APART -> cutPeers(fault)
            FaultKind.REPORTS_LOST -> loseMessages(fault, cluster.transport.zonesLosingHeartbeats)
            FaultKind.ANSWERS_LOST -> loseMessages(fault, cluster.transport.zonesLosingAnswers)
            FaultKind.REPORTS_REPEATED -> applyShare(fault, "workers") { cluster.transport.repeatedHeartbeatShare = it }
            FaultKind.STATE_REFUSES -> refuseControllers(fault)
            FaultKind.STATE_SLOW -> applyShare(fault, STATE_SERVICE) { cluster.storeFaults.slowShare = it }
            FaultKind.STATE_LATE_WRITES -> applyShare(fault, STATE_SERVICE) { cluster.storeFaults.lateWriteShare = it }
            FaultKind.STATE_LOST_ANSWERS -> applyShare(fault, STATE_SERVICE) {
                cluster.storeFaults.lostAnswerShare = it
            }
            FaultKind.STATE_AWAY -> {
                applyFor(fault, { cluster.state.outage = true }) { cluster.state.outage = false }
                listOf(STATE_SERVICE)
            }
        }
        awaitService(fault, hit, cluster.clock.now)
    }

    private fun loseMessages(fault: Fault, zonesLosingMessages: MutableSet<String>): List<String> {
        val zones = zonesOf(fault.target)
        applyFor(fault, { zonesLosingMessages.addAll(zones) }) { zonesLosingMessages.removeAll(zones) }
        return zones.toList()
    }

    /** Passes the share of [fault] to [setShare] for its duration, then 0. Returns [affected] as what it hit. */
    private fun applyShare(fault: Fault, affected: String, setShare: (Double) -> Unit): List<String> {
        applyFor(fault, { setShare(fault.share) }) { setShare(0.0) }
        return listOf(affected)
    }

    private fun refuseControllers(fault: Fault): List<String> {
        val targets = nodesOf(fault.target)
        val refused = cluster.storeFaults.refusedNodes
        applyFor(fault, { refused.addAll(targets) }) { refused.removeAll(targets.toSet()) }
        return targets.map(plan::nodeName)
    }

    private fun pauseControllers(fault: Fault): List<String> {
        val targets = nodesOf(fault.target).filter { controllers[it].isRunning }
        applyFor(fault, { targets.forEach { controllers[it].pause() } }) {
            targets.forEach { controllers[it].resume() }
        }
        return targets.map(plan::nodeName)
    }

    private fun applyFor(fault: Fault, onBegin: () -> Unit, onEnd: () -> Unit) {
        onBegin()
        cluster.clock.after(fault.durationS, onEnd)
    }

    private fun killControllers(fault: Fault): List<String> {
        val targets = nodesOf(fault.target)
        targets.forEach { controllers[it].kill() }
        cluster.clock.after(fault.durationS) { targets.forEach { controllers[it].start() } }
        return targets.map(plan::nodeName)
    }

    private fun cutPeers(fault: Fault): List<String> {
        val targetNodes = nodesOf(fault.target).toSet()
        val cutLinks = links.filterKeys { (from, to) -> (from in targetNodes) != (to in targetNodes) }.values
        applyFor(fault, { cutLinks.forEach { it.isCut = true } }) { cutLinks.forEach { it.isCut = false } }
        return targetNodes.map(plan::nodeName)
    }

    private fun zonesOf(target: String): Set<String> = plan.zoneNames.filter {
        target == "all" ||
            it == target ||
            plan.regionOf(it) == target
    }.toSet()

    /** Returns the indices of the controllers that [target] names; none if it is `leader` and there is no leader. */
    private fun nodesOf(target: String): List<Int> = when (target) {
        "all" -> controllers.indices.toList()
        "leader" -> listOf(cluster.leaderIndex()).filter { it >= 0 }
        else -> controllers.indices.filter { plan.nodeName(it) == target || plan.zoneOfNode(it) in zonesOf(target) }
    }

    /** Records the outcome of [fault], and its [FaultOutcome.servedAgainS] once enough workers are served again. */
    private fun awaitService(fault: Fault, hit: Collection<String>, faultStartS: Double) {
        val outcomeIndex = recordedOutcomes.size
        recordedOutcomes.add(FaultOutcome(fault, hit.toList(), null))
        fun checkServed() {
            if (cluster.transport.servedSince(faultStartS) >= SERVED_AGAIN_SHARE) {
                recordedOutcomes[outcomeIndex] =
                    recordedOutcomes[outcomeIndex].copy(servedAgainS = cluster.clock.now - faultStartS)
            } else {
                cluster.clock.after(SERVED_CHECK_INTERVAL_S) { checkServed() }
            }
        }
        cluster.clock.after(SERVED_CHECK_INTERVAL_S) { checkServed() }
    }

    companion object {
        /** The share of the workers that must be served again for a fault to count as over. */
        const val SERVED_AGAIN_SHARE = 0.99
        private const val SERVED_CHECK_INTERVAL_S = 0.1
        private const val STATE_SERVICE = "state service"
    }
}

package plankwall.simulation

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import plankwall.model.Priority
import plankwall.model.Shape

/**
 * A run drawn by [seed]: three pairs of faults that overlap, while users cancel every second job and poll all of them.
 */
class FaultCombinationScenario(private val seed: Long, private val nodes: Int) {
    /** [unfinishedJobs]: jobs that nobody cancelled and that were not done at the end, long after the last fault. */
    class Result(
        val seed: Long,
        val nodes: Int,
        val faults: List<String>,
        val violations: List<String>,
        val unfinishedJobs: List<String>,
        val cancelled: Int,
        val faultCounts: Map<String, Int>,
    )

    private enum class Kind {
        LEADER_REFUSED,
        OUTAGE,
        LEADER_ALONE,
        LATE_WRITES,
        LATE_REPORTS,
        INBOUND_BLOCKED,
        CRASH,
        ALL_CRASH,
        FROZEN,
        CUT_ZONE,
        PEERS_APART,
        SLOW_STORE,
        LOST_ANSWERS,
        COPIES_FOR_NEXT,
        OUTBOUND_BLOCKED,
        HANG,
        CLOSE_LOOKS,
        ODD_REQUESTS,
        INSTANT,
        TEN_LEADERS,
        CANCEL_NOW,
        CANCEL_AT_END,
    }

    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val cluster = SimulatedCluster(seed, nodes)
    private val faults = ArrayList<String>()
    private val kept = ArrayList<String>()
    private val calledOff = HashSet<String>()
    private var cancelled = 0
    private var faultsOverAt = 0.0

    fun play(endS: Double = 460.0): Result {
        cluster.cloud.capacity = 40
        for (n in 1..4) {
            cluster.clock.after(1.0 + n * 0.1) {
                cluster.submit(
                    SimulatedCluster.job(
                        n,
                        Shape.SERVICE,
                        tasks = 8,
                        priority = Priority.PRODUCTION,
                        spread = n % 2 == 0,
                    ),
                )
            }
        }
        for (n in 10 until 60) job(n, 5.0 + (n - 10) * 6.0)
        for (combination in 0 until 3) {
            val at = 50.0 + combination * 85.0 + random.nextDouble() * 10.0
            val first = begin(Kind.entries[random.nextInt(Kind.entries.size)], at)
            begin(Kind.entries[random.nextInt(Kind.entries.size)], at + random.nextDouble() * minOf(first, 8.0))
        }
        cluster.checker.faultsOverAt = faultsOverAt + CALM_S
        cluster.clock.runUntil(endS)
        val unfinishedJobs = kept.filter {
            it !in calledOff &&
                it !in cluster.faults.cancelledAtCompletion &&
                cluster.stageOf(it) != "done"
        }
        return Result(
            seed,
            nodes,
            faults,
            cluster.checker.violations.toList(),
            unfinishedJobs,
            cancelled,
            cluster.faults.counts,
        )
    }

    /** Two or three tasks each; every second is withdrawn, some while it waits, some long after its start. */
    private fun job(n: Int, at: Double) {
        val spec = SimulatedCluster.job(
            n,
            if (n % 3 == 0) Shape.GANG else Shape.ARRAY,
            tasks = 2 + n % 2,
            runS = if (n % 4 < 2) 120.0 else 20.0,
            oneZone = n % 6 == 0,
            team = if (n % 5 == 0) "red" else "blue",
        )
        if (n % 2 == 0) cancelled++ else kept.add(spec.id)
        cluster.clock.after(at) { cluster.submit(spec, if (n % 2 == 0) 4.0 + random.nextDouble() * 60.0 else null) }
    }

    private fun leader(): SimulatedController =
        cluster.nodes.firstOrNull { it.leading } ?: cluster.nodes[random.nextInt(nodes)]

    /** For how long it lasts. */
    private fun begin(kind: Kind, at: Double): Double {
        val forS = when (kind) {
            Kind.CRASH, Kind.ALL_CRASH -> 0.3 + random.nextDouble() * 10.0
            Kind.OUTAGE -> 10.0 + random.nextDouble() * 45.0
            else -> 8.0 + random.nextDouble() * 37.0
        }
        faults.add("%s at %.1f s for %.1f s".format(kind, at, forS))
        faultsOverAt = maxOf(faultsOverAt, at + forS)
        cluster.clock.after(at) { start(kind, forS) }
        return forS
    }

    private fun start(kind: Kind, forS: Double) {
        when (kind) {
            Kind.LEADER_REFUSED -> cut(forS, "${leader().name}-state")
            Kind.LEADER_ALONE -> leader().name.let { cut(forS, "$it-state", "$it-peers") }
            Kind.PEERS_APART -> cut(forS, *cluster.nodes.map { "${it.name}-peers" }.toTypedArray())
            Kind.OUTAGE -> during(forS, { cluster.state.outage = true }) { cluster.state.outage = false }
            Kind.LATE_WRITES -> during(forS, { cluster.faults.lateWrites = 0.3 }) { cluster.faults.lateWrites = 0.0 }
            Kind.LATE_REPORTS -> during(forS, {
                cluster.faults.lateHeartbeatCopies = 0.5
            }) { cluster.faults.lateHeartbeatCopies = 0.0 }
            Kind.SLOW_STORE -> during(forS, { cluster.faults.answerLoss = 0.2 }) { cluster.faults.answerLoss = 0.0 }
            Kind.CUT_ZONE -> during(forS, { cluster.faults.cutZones.add("a") }) { cluster.faults.cutZones.remove("a") }
            Kind.INBOUND_BLOCKED -> half().let { ids ->
                during(forS, {
                    cluster.faults.inboundBlocked.addAll(ids)
                }) { cluster.faults.inboundBlocked.removeAll(ids) }
            }
            Kind.OUTBOUND_BLOCKED -> half().let { ids ->
                during(forS, {
                    cluster.faults.outboundBlocked.addAll(ids)
                }) { cluster.faults.outboundBlocked.removeAll(ids) }
            }
            Kind.HANG -> cluster.cloud.workers.filter { random.nextInt(3) == 0 }.forEach { it.hang(forS * 0.6) }
            Kind.LOST_ANSWERS -> during(forS, { cluster.faults.lostCommitAnswers = 0.3 }) {
                cluster.faults.lostCommitAnswers =
                    0.0
            }
            Kind.COPIES_FOR_NEXT -> during(forS, { cluster.faults.copiesForNextLeader = 0.5 }) {
                cluster.faults.copiesForNextLeader = 0.0
                leader().let { if (it.up) it.crash(1.0) }
            }
            Kind.CLOSE_LOOKS -> during(forS, {
                cluster.faults.concurrentRequests = true
            }) { cluster.faults.concurrentRequests = false }
            Kind.ODD_REQUESTS -> repeat(forS.toInt()) { second ->
                cluster.clock.after(second.toDouble()) { sendInvalidRequests() }
            }
            Kind.INSTANT -> during(forS, { cluster.cloud.bootFactor = 0.1 }) { cluster.cloud.bootFactor = 1.0 }
            Kind.TEN_LEADERS -> repeat(10) { n ->
                cluster.clock.after(n * forS / 10) { leader().let { if (it.up) it.crash(1.0) } }
            }
            Kind.CANCEL_NOW -> cancelNow(forS)
            Kind.CANCEL_AT_END -> during(forS, {
                cluster.faults.cancelAtCompletion = 0.5
            }) { cluster.faults.cancelAtCompletion = 0.0 }
            Kind.FROZEN -> leader().freeze(forS)
            Kind.CRASH -> leader().let { if (it.up) it.crash(forS) }
            Kind.ALL_CRASH -> cluster.nodes.forEach { if (it.up) it.crash(forS + random.nextDouble()) }
        }
    }

    private fun half(): Set<String> = cluster.cloud.workers.filter { random.nextInt(2) == 0 }.map { it.id }.toSet()

    private fun unfinished(): List<String> = kept.filter {
        it !in calledOff &&
            cluster.checker.isAccepted(it) &&
            !cluster.checker.isDone(it)
    }

    private fun sendInvalidRequests() = cluster.retryingUsers.sendInvalidRequests(
        kept.filter {
            cluster.checker.finalStageOf(it) == "done"
        }.take(2),
        unfinished().take(2),
    )

    /** Jobs that would have gone on are called off within a fifth of a second, and machines hang meanwhile. */
    private fun cancelNow(hangS: Double) {
        unfinished().take(6).forEach { id ->
            calledOff.add(id)
            cluster.clock.after(random.nextDouble() * 0.2) { cluster.cancel(id) }
        }
        cluster.cloud.workers.filter { random.nextInt(4) == 0 }.take(8).forEach { it.hang(hangS) }
    }

    private fun cut(forS: Double, vararg links: String) = during(forS, {
        cluster.faults.cuts.addAll(links)
    }) { cluster.faults.cuts.removeAll(links.toSet()) }

    private fun during(forS: Double, begin: () -> Unit, end: () -> Unit) {
        begin()
        cluster.clock.after(forS, end)
    }

    private companion object {
        /** Until a node of many restarts is back and a held-up write has come. */
        const val CALM_S = 35.0
    }
}

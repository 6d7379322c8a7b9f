package plankwall.simulation

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import plankwall.model.Priority
import plankwall.model.Shape

/**
 * A simulated run on [nodeCount] controllers, drawn by [seed]: three pairs of faults that overlap, while users cancel
 * every second job and poll all of them.
 */
class FaultCombinationScenario(private val seed: Long, private val nodeCount: Int) {
    /**
     * The outcome of a run. [faults] describes the faults, [violations] the broken rules; [cancelled] is the number of
     * jobs that users cancelled. [unfinishedJobs] are the jobs that no user cancelled and that were not done at the
     * end, long after the last fault. [faultCounts] holds the number of times that each kind of fault took effect.
     */
    class Result(
        val seed: Long,
        val nodeCount: Int,
        val faults: List<String>,
        val violations: List<String>,
        val unfinishedJobs: List<String>,
        val cancelled: Int,
        val faultCounts: Map<String, Int>,
    )

    /** The kinds of faults; their names are printed with the result. */
    private enum class Kind {
        /** The store refuses the leader. */
        LEADER_REFUSED,

        /** The store is down. */
        OUTAGE,

        /** The leader reaches neither the store nor other controllers. */
        LEADER_ALONE,

        /** Some store transactions are applied late, mostly after their caller stopped waiting. */
        LATE_WRITES,

        /** Copies of heartbeats arrive late. */
        LATE_REPORTS,

        /** Half of the machines receive no answers and commands. */
        INBOUND_BLOCKED,

        /** The leader crashes. */
        CRASH,

        /** All controllers crash. */
        ALL_CRASH,

        /** The leader is frozen. */
        FROZEN,

        /** One zone is cut off. */
        CUT_ZONE,

        /** No controller reaches another. */
        PEERS_APART,

        /** Some answers to heartbeats, store calls and cloud calls are lost. */
        SLOW_STORE,

        /** Some store transactions are applied while their answer is lost. */
        LOST_ANSWERS,

        /** Copies of heartbeats reach the next leader, and the leader crashes at the end. */
        COPIES_FOR_NEXT,

        /** The heartbeats of half of the machines are lost. */
        OUTBOUND_BLOCKED,

        /** A third of the machines hang. */
        HANG,

        /** Users send requests to all controllers within milliseconds. */
        CLOSE_LOOKS,

        /** Users send invalid requests every second. */
        ODD_REQUESTS,

        /** Machines boot in a tenth of the time. */
        INSTANT,

        /** The leader crashes ten times. */
        TEN_LEADERS,

        /** Users cancel up to six unfinished jobs at once, and some machines hang. */
        CANCEL_NOW,

        /** Users cancel half of the jobs right after their last task completed. */
        CANCEL_AT_END,
    }

    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val cluster = SimulatedCluster(seed, nodeCount)
    private val faults = ArrayList<String>()

    /** Ids of the jobs that no user cancels; faults may cancel some. */
    private val uncancelledJobs = ArrayList<String>()

    /** Ids of the jobs that [Kind.CANCEL_NOW] cancelled. */
    private val jobsCancelledByFaults = HashSet<String>()
    private var cancelled = 0
    private var faultsOverAt = 0.0

    /** Plays the run until [endS] seconds of virtual time and returns its outcome. */
    fun play(endS: Double = 460.0): Result {
        cluster.cloud.capacity = 40
        for (number in 1..4) {
            cluster.clock.after(1.0 + number * 0.1) {
                cluster.submit(
                    SimulatedCluster.job(
                        number,
                        Shape.SERVICE,
                        tasks = 8,
                        priority = Priority.PRODUCTION,
                        spread = number % 2 == 0,
                    ),
                )
            }
        }
        for (number in 10 until 60) scheduleJob(number, 5.0 + (number - 10) * 6.0)
        for (combination in 0 until 3) {
            val startS = 50.0 + combination * 85.0 + random.nextDouble() * 10.0
            val firstDurationS = scheduleFault(Kind.entries[random.nextInt(Kind.entries.size)], startS)
            scheduleFault(
                Kind.entries[random.nextInt(Kind.entries.size)],
                startS + random.nextDouble() * minOf(firstDurationS, 8.0),
            )
        }
        cluster.checker.faultsOverAt = faultsOverAt + RECOVERY_S
        cluster.clock.runUntil(endS)
        val unfinishedJobs = uncancelledJobs.filter {
            it !in jobsCancelledByFaults &&
                it !in cluster.faults.cancelledAtCompletion &&
                cluster.stageOf(it) != "done"
        }
        return Result(
            seed,
            nodeCount,
            faults,
            cluster.checker.violations.toList(),
            unfinishedJobs,
            cancelled,
            cluster.faults.counts,
        )
    }

    /**
     * Schedules the submission of a job of two or three tasks. Every second job is cancelled, some while they wait,
     * some long after their start.
     */
    private fun scheduleJob(number: Int, startS: Double) {
        val spec = SimulatedCluster.job(
            number,
            if (number % 3 == 0) Shape.GANG else Shape.ARRAY,
            tasks = 2 + number % 2,
            runS = if (number % 4 < 2) 120.0 else 20.0,
            oneZone = number % 6 == 0,
            team = if (number % 5 == 0) "red" else "blue",
        )
        if (number % 2 == 0) cancelled++ else uncancelledJobs.add(spec.id)
        cluster.clock.after(startS) {
            cluster.submit(spec, if (number % 2 == 0) 4.0 + random.nextDouble() * 60.0 else null)
        }
    }

    /** The leader, or a controller drawn at random while there is none. */
    private fun leaderOrAnyNode(): SimulatedController =
        cluster.nodes.firstOrNull { it.isLeader } ?: cluster.nodes[random.nextInt(nodeCount)]

    /** Draws how long a fault lasts, schedules it at [startS], and returns its duration in seconds. */
    private fun scheduleFault(kind: Kind, startS: Double): Double {
        val durationS = when (kind) {
            Kind.CRASH, Kind.ALL_CRASH -> 0.3 + random.nextDouble() * 10.0
            Kind.OUTAGE -> 10.0 + random.nextDouble() * 45.0
            else -> 8.0 + random.nextDouble() * 37.0
        }
        faults.add("%s at %.1f s for %.1f s".format(kind, startS, durationS))
        faultsOverAt = maxOf(faultsOverAt, startS + durationS)
        cluster.clock.after(startS) { startFault(kind, durationS) }
        return durationS
    }

    private fun startFault(kind: Kind, durationS: Double) {
        when (kind) {
            Kind.LEADER_REFUSED -> cutLinks(durationS, "${leaderOrAnyNode().name}-state")
            Kind.LEADER_ALONE -> leaderOrAnyNode().name.let { cutLinks(durationS, "$it-state", "$it-peers") }
            Kind.PEERS_APART -> cutLinks(durationS, *cluster.nodes.map { "${it.name}-peers" }.toTypedArray())
            Kind.OUTAGE -> applyFor(durationS, { cluster.state.outage = true }) { cluster.state.outage = false }
            Kind.LATE_WRITES -> applyFor(durationS, { cluster.faults.lateWrites = 0.3 }) {
                cluster.faults.lateWrites = 0.0
            }
            Kind.LATE_REPORTS -> applyFor(durationS, {
                cluster.faults.lateHeartbeatCopies = 0.5
            }) { cluster.faults.lateHeartbeatCopies = 0.0 }
            Kind.SLOW_STORE -> applyFor(durationS, { cluster.faults.answerLoss = 0.2 }) {
                cluster.faults.answerLoss = 0.0
            }
            Kind.CUT_ZONE -> applyFor(durationS, { cluster.faults.cutZones.add("a") }) {
                cluster.faults.cutZones.remove("a")
            }
            Kind.INBOUND_BLOCKED -> pickHalfOfMachines().let { ids ->
                applyFor(durationS, {
                    cluster.faults.inboundBlocked.addAll(ids)
                }) { cluster.faults.inboundBlocked.removeAll(ids) }
            }
            Kind.OUTBOUND_BLOCKED -> pickHalfOfMachines().let { ids ->
                applyFor(durationS, {
                    cluster.faults.outboundBlocked.addAll(ids)
                }) { cluster.faults.outboundBlocked.removeAll(ids) }
            }
            Kind.HANG -> cluster.cloud.workers.filter { random.nextInt(3) == 0 }.forEach { it.hang(durationS * 0.6) }
            Kind.LOST_ANSWERS -> applyFor(durationS, { cluster.faults.lostCommitAnswers = 0.3 }) {
                cluster.faults.lostCommitAnswers =
                    0.0
            }
            Kind.COPIES_FOR_NEXT -> applyFor(durationS, { cluster.faults.copiesForNextLeader = 0.5 }) {
                cluster.faults.copiesForNextLeader = 0.0
                leaderOrAnyNode().let { if (it.isUp) it.crash(1.0) }
            }
            Kind.CLOSE_LOOKS -> applyFor(durationS, {
                cluster.faults.concurrentRequests = true
            }) { cluster.faults.concurrentRequests = false }
            Kind.ODD_REQUESTS -> repeat(durationS.toInt()) { second ->
                cluster.clock.after(second.toDouble()) { sendInvalidRequests() }
            }
            Kind.INSTANT -> applyFor(durationS, { cluster.cloud.bootFactor = 0.1 }) { cluster.cloud.bootFactor = 1.0 }
            Kind.TEN_LEADERS -> repeat(10) { number ->
                cluster.clock.after(number * durationS / 10) { leaderOrAnyNode().let { if (it.isUp) it.crash(1.0) } }
            }
            Kind.CANCEL_NOW -> cancelUnfinishedJobs(durationS)
            Kind.CANCEL_AT_END -> applyFor(durationS, {
                cluster.faults.cancelAtCompletion = 0.5
            }) { cluster.faults.cancelAtCompletion = 0.0 }
            Kind.FROZEN -> leaderOrAnyNode().freeze(durationS)
            Kind.CRASH -> leaderOrAnyNode().let { if (it.isUp) it.crash(durationS) }
            Kind.ALL_CRASH -> cluster.nodes.forEach { if (it.isUp) it.crash(durationS + random.nextDouble()) }
        }
    }

    /** Draws about half of the machines and returns their ids. */
    private fun pickHalfOfMachines(): Set<String> =
        cluster.cloud.workers.filter { random.nextInt(2) == 0 }.map { it.id }.toSet()

    /** Returns the ids of the accepted jobs that no user cancelled and whose tasks have not all completed. */
    private fun findUnfinishedJobs(): List<String> = uncancelledJobs.filter {
        it !in jobsCancelledByFaults &&
            cluster.checker.isAccepted(it) &&
            !cluster.checker.isDone(it)
    }

    private fun sendInvalidRequests() = cluster.retryingUsers.sendInvalidRequests(
        uncancelledJobs.filter {
            cluster.checker.finalStageOf(it) == "done"
        }.take(2),
        findUnfinishedJobs().take(2),
    )

    /** Cancels up to six unfinished jobs within 0.2 s, and makes some machines hang for [hangS] seconds. */
    private fun cancelUnfinishedJobs(hangS: Double) {
        findUnfinishedJobs().take(6).forEach { id ->
            jobsCancelledByFaults.add(id)
            cluster.clock.after(random.nextDouble() * 0.2) { cluster.cancel(id) }
        }
        cluster.cloud.workers.filter { random.nextInt(4) == 0 }.take(8).forEach { it.hang(hangS) }
    }

    private fun cutLinks(durationS: Double, vararg links: String) = applyFor(durationS, {
        cluster.faults.cuts.addAll(links)
    }) { cluster.faults.cuts.removeAll(links.toSet()) }

    private fun applyFor(durationS: Double, onBegin: () -> Unit, onEnd: () -> Unit) {
        onBegin()
        cluster.clock.after(durationS, onEnd)
    }

    private companion object {
        /** After the last fault, until a controller that restarted often is back and the last late write is applied. */
        const val RECOVERY_S = 35.0
    }
}

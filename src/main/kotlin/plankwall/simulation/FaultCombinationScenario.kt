package plankwall.simulation

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import plankwall.model.Priority
import plankwall.model.Shape

/**
 * A day drawn by [seed] on which troubles meet in pairs, three times, while users withdraw every second job and ask for
 * all.
 */
class FaultCombinationScenario(private val seed: Long, private val nodes: Int) {
    /** [unserved]: jobs that nobody withdrew and that were not done at the end, when all had been well for long. */
    class Result(
        val seed: Long,
        val nodes: Int,
        val troubles: List<String>,
        val broken: List<String>,
        val unserved: List<String>,
        val cancelled: Int,
        val felt: Map<String, Int>,
    )

    private enum class Kind {
        LEADER_REFUSED,
        OUTAGE,
        LEADER_ALONE,
        LATE_WRITES,
        LATE_REPORTS,
        DEAF,
        CRASH,
        ALL_CRASH,
        FROZEN,
        CUT_ZONE,
        PEERS_APART,
        SLOW_STORE,
        LOST_ANSWERS,
        COPIES_FOR_NEXT,
        MUTE,
        HANG,
        CLOSE_LOOKS,
        ODD_REQUESTS,
        INSTANT,
        TEN_LEADERS,
        CANCEL_NOW,
        CANCEL_AT_END,
    }

    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val world = SimulatedCluster(seed, nodes)
    private val troubles = ArrayList<String>()
    private val kept = ArrayList<String>()
    private val calledOff = HashSet<String>()
    private var cancelled = 0
    private var calmFrom = 0.0

    fun play(endS: Double = 460.0): Result {
        world.cloud.capacity = 40
        for (n in 1..4) {
            world.clock.after(1.0 + n * 0.1) {
                world.submit(
                    SimulatedCluster.job(
                        n,
                        Shape.SERVICE,
                        tasks = 8,
                        priority = Priority.PRODUCTION,
                        spread =
                        n % 2 == 0,
                    ),
                )
            }
        }
        for (n in 10 until 60) job(n, 5.0 + (n - 10) * 6.0)
        for (meeting in 0 until 3) {
            val at = 50.0 + meeting * 85.0 + random.nextDouble() * 10.0
            val first = begin(Kind.entries[random.nextInt(Kind.entries.size)], at)
            begin(Kind.entries[random.nextInt(Kind.entries.size)], at + random.nextDouble() * minOf(first, 8.0))
        }
        world.checker.calmFrom = calmFrom + CALM_S
        world.clock.runUntil(endS)
        val unserved = kept.filter { it !in calledOff && it !in world.cancelledAtEnd && world.stageOf(it) != "done" }
        return Result(seed, nodes, troubles, world.checker.broken.toList(), unserved, cancelled, world.felt)
    }

    /** Two or three tasks each; every second is withdrawn, some while it waits, some long after its start. */
    private fun job(n: Int, at: Double) {
        val spec = SimulatedCluster.job(
            n,
            if (n % 3 ==
                0
            ) {
                Shape.GANG
            } else {
                Shape.ARRAY
            },
            tasks = 2 + n % 2,
            runS = if (n % 4 <
                2
            ) {
                120.0
            } else {
                20.0
            },
            oneZone = n % 6 == 0,
            team = if (n % 5 == 0) "red" else "blue",
        )
        if (n % 2 == 0) cancelled++ else kept.add(spec.id)
        world.clock.after(at) { world.submit(spec, if (n % 2 == 0) 4.0 + random.nextDouble() * 60.0 else null) }
    }

    private fun leader(): SimulatedController =
        world.nodes.firstOrNull { it.leading } ?: world.nodes[random.nextInt(nodes)]

    /** For how long it lasts. */
    private fun begin(kind: Kind, at: Double): Double {
        val forS = when (kind) {
            Kind.CRASH, Kind.ALL_CRASH -> 0.3 + random.nextDouble() * 10.0
            Kind.OUTAGE -> 10.0 + random.nextDouble() * 45.0
            else -> 8.0 + random.nextDouble() * 37.0
        }
        troubles.add("%s at %.1f s for %.1f s".format(kind, at, forS))
        calmFrom = maxOf(calmFrom, at + forS)
        world.clock.after(at) { start(kind, forS) }
        return forS
    }

    private fun start(kind: Kind, forS: Double) {
        when (kind) {
            Kind.LEADER_REFUSED -> cut(forS, "${leader().name}-state")
            Kind.LEADER_ALONE -> leader().name.let { cut(forS, "$it-state", "$it-peers") }
            Kind.PEERS_APART -> cut(forS, *world.nodes.map { "${it.name}-peers" }.toTypedArray())
            Kind.OUTAGE -> during(forS, { world.state.outage = true }) { world.state.outage = false }
            Kind.LATE_WRITES -> during(forS, { world.lateWrites = 0.3 }) { world.lateWrites = 0.0 }
            Kind.LATE_REPORTS -> during(forS, { world.lateReports = 0.5 }) { world.lateReports = 0.0 }
            Kind.SLOW_STORE -> during(forS, { world.loss = 0.2 }) { world.loss = 0.0 }
            Kind.CUT_ZONE -> during(forS, { world.cutZones.add("a") }) { world.cutZones.remove("a") }
            Kind.DEAF -> half().let { ids -> during(forS, { world.deaf.addAll(ids) }) { world.deaf.removeAll(ids) } }
            Kind.MUTE -> half().let { ids -> during(forS, { world.mute.addAll(ids) }) { world.mute.removeAll(ids) } }
            Kind.HANG -> world.cloud.workers.filter { random.nextInt(3) == 0 }.forEach { it.hang(forS * 0.6) }
            Kind.LOST_ANSWERS -> during(forS, { world.lostAnswers = 0.3 }) { world.lostAnswers = 0.0 }
            Kind.COPIES_FOR_NEXT -> during(forS, { world.copiesForNext = 0.5 }) {
                world.copiesForNext = 0.0
                leader().let { if (it.up) it.crash(1.0) }
            }
            Kind.CLOSE_LOOKS -> during(forS, { world.closeLooks = true }) { world.closeLooks = false }
            Kind.ODD_REQUESTS -> repeat(forS.toInt()) { second -> world.clock.after(second.toDouble()) { beOdd() } }
            Kind.INSTANT -> during(forS, { world.cloud.bootFactor = 0.1 }) { world.cloud.bootFactor = 1.0 }
            Kind.TEN_LEADERS -> repeat(10) { n ->
                world.clock.after(n * forS / 10) { leader().let { if (it.up) it.crash(1.0) } }
            }
            Kind.CANCEL_NOW -> cancelNow(forS)
            Kind.CANCEL_AT_END -> during(forS, { world.cancelAtEnd = 0.5 }) { world.cancelAtEnd = 0.0 }
            Kind.FROZEN -> leader().freeze(forS)
            Kind.CRASH -> leader().let { if (it.up) it.crash(forS) }
            Kind.ALL_CRASH -> world.nodes.forEach { if (it.up) it.crash(forS + random.nextDouble()) }
        }
    }

    private fun half(): Set<String> = world.cloud.workers.filter { random.nextInt(2) == 0 }.map { it.id }.toSet()

    private fun unfinished(): List<String> = kept.filter {
        it !in calledOff &&
            world.checker.isAccepted(it) &&
            !world.checker.isDone(it)
    }

    private fun beOdd() = world.users.beOdd(
        kept.filter {
            world.checker.stageTold(it) == "done"
        }.take(2),
        unfinished().take(2),
    )

    /** Jobs that would have gone on are called off within a fifth of a second, and machines hang meanwhile. */
    private fun cancelNow(hangS: Double) {
        unfinished().take(6).forEach { id ->
            calledOff.add(id)
            world.clock.after(random.nextDouble() * 0.2) { world.cancel(id) }
        }
        world.cloud.workers.filter { random.nextInt(4) == 0 }.take(8).forEach { it.hang(hangS) }
    }

    private fun cut(forS: Double, vararg links: String) = during(forS, {
        world.cuts.addAll(links)
    }) { world.cuts.removeAll(links.toSet()) }

    private fun during(forS: Double, begin: () -> Unit, end: () -> Unit) {
        begin()
        world.clock.after(forS, end)
    }

    private companion object {
        /** Until a node of many restarts is back and a held-up write has come. */
        const val CALM_S = 35.0
    }
}

package plankwall.lab

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import plankwall.model.Priority
import plankwall.model.Shape

/** A day drawn by [seed] on which troubles meet in pairs, three times, while users withdraw every second job and ask for all. */
class MeetingDay(private val seed: Long, private val nodes: Int) {
    /** [unserved]: jobs that nobody withdrew and that were not done at the end, when all had been well for long. */
    class Result(val seed: Long, val nodes: Int, val troubles: List<String>, val broken: List<String>, val unserved: List<String>, val withdrawn: Int)

    private enum class Kind { LEADER_REFUSED, OUTAGE, LEADER_ALONE, LATE_WRITES, LATE_REPORTS, DEAF, CRASH, ALL_CRASH, FROZEN, CUT_ZONE, PEERS_APART, SLOW_STORE }

    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val world = World(seed, nodes)
    private val troubles = ArrayList<String>()
    private val kept = ArrayList<String>()
    private var withdrawn = 0

    fun play(endS: Double = 460.0): Result {
        world.cloud.capacity = 40
        for (n in 1..4) world.clock.after(1.0 + n * 0.1) { world.submit(World.job(n, Shape.SERVICE, tasks = 8, priority = Priority.PRODUCTION, spread = n % 2 == 0)) }
        for (n in 10 until 60) job(n, 5.0 + (n - 10) * 6.0)
        for (meeting in 0 until 3) {
            val at = 50.0 + meeting * 85.0 + random.nextDouble() * 10.0
            val first = begin(Kind.entries[random.nextInt(Kind.entries.size)], at)
            begin(Kind.entries[random.nextInt(Kind.entries.size)], at + random.nextDouble() * minOf(first, 8.0))
        }
        world.clock.runUntil(endS)
        val unserved = kept.filter { world.stageOf(it) != "done" }
        return Result(seed, nodes, troubles, world.checker.broken.toList(), unserved, withdrawn)
    }

    /** Two or three tasks each; every second is withdrawn, some while it waits, some long after its start. */
    private fun job(n: Int, at: Double) {
        val spec = World.job(n, if (n % 3 == 0) Shape.GANG else Shape.ARRAY, tasks = 2 + n % 2, runS = if (n % 4 < 2) 120.0 else 20.0, oneZone = n % 6 == 0)
        if (n % 2 == 0) withdrawn++ else kept.add(spec.id)
        world.clock.after(at) { world.submit(spec, if (n % 2 == 0) 4.0 + random.nextDouble() * 60.0 else null) }
    }

    private fun leader(): World.Node = world.nodes.firstOrNull { it.leading } ?: world.nodes[random.nextInt(nodes)]

    /** For how long it lasts. */
    private fun begin(kind: Kind, at: Double): Double {
        val forS = when (kind) {
            Kind.CRASH, Kind.ALL_CRASH -> 0.3 + random.nextDouble() * 10.0
            Kind.OUTAGE -> 10.0 + random.nextDouble() * 45.0
            else -> 8.0 + random.nextDouble() * 37.0
        }
        troubles.add("%s at %.1f s for %.1f s".format(kind, at, forS))
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
            Kind.DEAF -> world.cloud.workers.filter { random.nextInt(2) == 0 }.map { it.id }.let { ids -> during(forS, { world.deaf.addAll(ids) }) { world.deaf.removeAll(ids.toSet()) } }
            Kind.FROZEN -> leader().freeze(forS)
            Kind.CRASH -> leader().let { if (it.up) it.crash(forS) }
            Kind.ALL_CRASH -> world.nodes.forEach { if (it.up) it.crash(forS + random.nextDouble()) }
        }
    }

    private fun cut(forS: Double, vararg links: String) = during(forS, { world.cuts.addAll(links) }) { world.cuts.removeAll(links.toSet()) }

    private fun during(forS: Double, begin: () -> Unit, end: () -> Unit) {
        begin()
        world.clock.after(forS, end)
    }
}

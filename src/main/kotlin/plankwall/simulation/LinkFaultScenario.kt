package plankwall.simulation

import org.HdrHistogram.Histogram
import org.apache.commons.rng.simple.RandomSource
import org.slf4j.LoggerFactory
import plankwall.model.Priority
import plankwall.model.Shape

/**
 * A run with link faults drawn by [seed], on a cluster of [nodes] controllers and some [machines] machines, nearly all
 * of them at work on replicas of live services.
 */
class LinkFaultScenario(private val seed: Long, private val nodes: Int, private val machines: Int) {
    /**
     * [tasksKilledByLease]: tasks killed by their worker as its lease expired; [avoidableKills]: of these, where the
     * worker did reach a node, after its last answer and within its lease, that led or could reach one that did.
     * [servedMs]: from the start of each trouble to the next answer that each worker took.
     */
    class Result(
        val seed: Long,
        val nodes: Int,
        val faults: List<LinkFaults>,
        val violations: List<String>,
        val tasksKilledByLease: Int,
        val avoidableKills: Int,
        val leaderChanges: Int,
        val starts: Int,
        val servedMs: Histogram,
    )

    private val log = LoggerFactory.getLogger("simulation")
    private val couldServe = HashMap<String, Double>()
    private val served = Histogram(HIGHEST_MS, 3)
    private val lastServed = HashMap<String, Double>()
    private var avoidableKills = 0
    private var leaderChanges = 0

    fun play(endS: Double = 260.0): Result {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
        val cluster = SimulatedCluster(seed, nodes)
        cluster.cloud.capacity = machines + machines / 5
        val drawn = LinkFaults.draw(random, nodes, endS - 30.0)
        work(cluster)
        drawn.forEach { it.schedule(cluster) }
        drawn.forEach { t -> cluster.clock.after(t.at) { since(cluster, cluster.clock.now) } }
        cluster.onHeartbeatServed = { worker, _ -> onServed(worker.id, cluster.clock.now) }
        cluster.onHeartbeatReceived =
            { worker, node -> if (couldServe(cluster, worker, node)) couldServe[worker.id] = cluster.clock.now }
        cluster.onTasksKilledByLease = { worker, tasks ->
            val could = couldServe[worker.id] ?: Double.NEGATIVE_INFINITY
            val since = maxOf(lastServed[worker.id] ?: 0.0, cluster.clock.now - cluster.settings.workers.leaseS)
            if (could > since) {
                avoidableKills += tasks
                log.info(
                    "at {} s {} tasks of {} are killed though a node could have served it at {} s, last served at {} s",
                    cluster.clock.now,
                    tasks,
                    worker.id,
                    could,
                    lastServed[worker.id],
                )
            }
        }
        var leader: SimulatedController? = null
        cluster.clock.every(0.1) {
            val now = cluster.nodes.firstOrNull { it.leading }
            if (now != null && now !== leader) leaderChanges++
            if (now != null) leader = now
        }
        cluster.clock.runUntil(endS)
        return Result(
            seed = seed,
            nodes = nodes,
            faults = drawn,
            violations = cluster.checker.violations.toList(),
            tasksKilledByLease = cluster.tasksKilledByLease,
            avoidableKills = avoidableKills,
            leaderChanges = leaderChanges,
            starts = cluster.checker.starts,
            servedMs = served,
        )
    }

    private fun work(cluster: SimulatedCluster) {
        val replicas = machines * TASKS_ON_MACHINE
        for (n in 1..replicas / SERVICE) {
            cluster.clock.after(1.0 + n * 0.05) {
                cluster.submit(
                    SimulatedCluster.job(
                        n,
                        Shape.SERVICE,
                        tasks = SERVICE,
                        priority = Priority.PRODUCTION,
                        spread = n % 2 == 0,
                    ),
                )
            }
        }
        for (n in 0 until 20) {
            cluster.clock.after(40.0 + 9 * n) {
                cluster.submit(
                    SimulatedCluster.job(
                        FIRST_JOB + n,
                        if (n % 3 == 0) Shape.GANG else Shape.ARRAY,
                        tasks = 4,
                        runS = 25.0,
                    ),
                    if (n % 5 == 4) 12.0 else null,
                )
            }
        }
    }

    private val waitingSince = ArrayList<Pair<Double, HashSet<String>>>()

    private fun since(cluster: SimulatedCluster, now: Double) {
        waitingSince.add(now to cluster.cloud.workers.map { it.id }.toHashSet())
    }

    private fun onServed(worker: String, now: Double) {
        for ((at, left) in waitingSince) {
            if (left.remove(worker)) {
                served.recordValue(
                    ((now - at) * 1000).toLong().coerceIn(
                        0,
                        HIGHEST_MS - 1,
                    ),
                )
            }
        }
        lastServed[worker] = now
    }

    private fun couldServe(cluster: SimulatedCluster, worker: SimulatedWorker, node: SimulatedController): Boolean =
        !node.frozen &&
            cluster.network.isOpen(node.name, worker.id, worker.group.zone) &&
            cluster.nodes.any { it.leading && !it.frozen && (it === node || open(cluster, node.name, it.name)) }

    private fun open(cluster: SimulatedCluster, a: String, b: String) =
        cluster.network.isOpen(a, b) && cluster.network.isOpen(b, a)

    private companion object {
        const val TASKS_ON_MACHINE = 4
        const val SERVICE = 12
        const val FIRST_JOB = 500_000
        const val HIGHEST_MS = 600_000L
    }
}

package plankwall.simulation

import org.HdrHistogram.Histogram
import org.apache.commons.rng.simple.RandomSource
import org.slf4j.LoggerFactory
import plankwall.model.Priority
import plankwall.model.Shape

/**
 * A simulated run with link faults drawn by [seed], on a cluster of [nodeCount] controllers and about [machines]
 * machines, nearly all of which run replicas of services.
 */
class LinkFaultScenario(private val seed: Long, private val nodeCount: Int, private val machines: Int) {
    /**
     * The outcome of a run. [tasksKilledByLease] counts the tasks that their worker killed because its lease expired.
     * [avoidableKills] counts those among them whose worker had reached a node, after its last answer and within its
     * lease, that was the leader or could reach the leader. [servedMs] holds the times from the start of each fault to
     * the next answer that each worker got.
     */
    class Result(
        val seed: Long,
        val nodeCount: Int,
        val faults: List<LinkFaults>,
        val violations: List<String>,
        val tasksKilledByLease: Int,
        val avoidableKills: Int,
        val leaderChanges: Int,
        val starts: Int,
        val servedMs: Histogram,
    )

    private val log = LoggerFactory.getLogger("simulation")

    /** The time at which each worker last reached a node that could have served it, in seconds, by worker id. */
    private val lastServableAt = HashMap<String, Double>()

    /** The times from the start of each fault to the next answer that each worker got, in milliseconds. */
    private val recordedServedMs = Histogram(MAX_SERVED_MS, 3)

    /** The time at which each worker was last served, in seconds, by worker id. */
    private val lastServedAt = HashMap<String, Double>()
    private var avoidableKills = 0
    private var leaderChanges = 0

    /** Plays the run until [endS] seconds of virtual time and returns its outcome. */
    fun play(endS: Double = 260.0): Result {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
        val cluster = SimulatedCluster(seed, nodeCount)
        cluster.cloud.capacity = machines + machines / 5
        val linkFaults = LinkFaults.draw(random, nodeCount, endS - 30.0)
        submitJobs(cluster)
        linkFaults.forEach { it.schedule(cluster) }
        linkFaults.forEach { fault ->
            cluster.clock.after(fault.startS) { recordWaitingWorkers(cluster, cluster.clock.now) }
        }
        cluster.onHeartbeatServed = { worker, _ -> onServed(worker.id, cluster.clock.now) }
        cluster.onHeartbeatReceived =
            { worker, node -> if (canServe(cluster, worker, node)) lastServableAt[worker.id] = cluster.clock.now }
        cluster.onTasksKilledByLease = { worker, tasks ->
            val servableAt = lastServableAt[worker.id] ?: Double.NEGATIVE_INFINITY
            val unservedSince =
                maxOf(lastServedAt[worker.id] ?: 0.0, cluster.clock.now - cluster.settings.workers.leaseS)
            if (servableAt > unservedSince) {
                avoidableKills += tasks
                log.info(
                    "at {} s {} tasks of {} are killed though a node could have served it at {} s, last served at {} s",
                    cluster.clock.now,
                    tasks,
                    worker.id,
                    servableAt,
                    lastServedAt[worker.id],
                )
            }
        }
        var leader: SimulatedController? = null
        cluster.clock.every(0.1) {
            val electedLeader = cluster.nodes.firstOrNull { it.isLeader }
            if (electedLeader != null && electedLeader !== leader) leaderChanges++
            if (electedLeader != null) leader = electedLeader
        }
        cluster.clock.runUntil(endS)
        return Result(
            seed = seed,
            nodeCount = nodeCount,
            faults = linkFaults,
            violations = cluster.checker.violations.toList(),
            tasksKilledByLease = cluster.tasksKilledByLease,
            avoidableKills = avoidableKills,
            leaderChanges = leaderChanges,
            starts = cluster.checker.starts,
            servedMs = recordedServedMs,
        )
    }

    /** Fills the machines with replicas of services, and submits 20 smaller jobs over time, some of them cancelled. */
    private fun submitJobs(cluster: SimulatedCluster) {
        val replicas = machines * TASKS_PER_MACHINE
        for (number in 1..replicas / REPLICAS_PER_SERVICE) {
            cluster.clock.after(1.0 + number * 0.05) {
                cluster.submit(
                    SimulatedCluster.job(
                        number,
                        Shape.SERVICE,
                        tasks = REPLICAS_PER_SERVICE,
                        priority = Priority.PRODUCTION,
                        spread = number % 2 == 0,
                    ),
                )
            }
        }
        for (number in 0 until 20) {
            cluster.clock.after(40.0 + 9 * number) {
                cluster.submit(
                    SimulatedCluster.job(
                        FIRST_BATCH_JOB_NUMBER + number,
                        if (number % 3 == 0) Shape.GANG else Shape.ARRAY,
                        tasks = 4,
                        runS = 25.0,
                    ),
                    if (number % 5 == 4) 12.0 else null,
                )
            }
        }
    }

    /** For each fault, its start and the ids of the workers that have not been served since. */
    private val workersUnservedSince = ArrayList<Pair<Double, HashSet<String>>>()

    private fun recordWaitingWorkers(cluster: SimulatedCluster, now: Double) {
        workersUnservedSince.add(now to cluster.cloud.workers.map { it.id }.toHashSet())
    }

    private fun onServed(worker: String, now: Double) {
        for ((startedAt, waitingWorkers) in workersUnservedSince) {
            if (waitingWorkers.remove(worker)) {
                recordedServedMs.recordValue(
                    ((now - startedAt) * 1000).toLong().coerceIn(
                        0,
                        MAX_SERVED_MS - 1,
                    ),
                )
            }
        }
        lastServedAt[worker] = now
    }

    /** Whether [node] can answer [worker], as the leader or through an open link to the leader. */
    private fun canServe(cluster: SimulatedCluster, worker: SimulatedWorker, node: SimulatedController): Boolean =
        !node.isFrozen &&
            cluster.network.isOpen(node.name, worker.id, worker.group.zone) &&
            cluster.nodes.any {
                it.isLeader && !it.isFrozen && (it === node || isOpenBothWays(cluster, node.name, it.name))
            }

    private fun isOpenBothWays(cluster: SimulatedCluster, a: String, b: String) =
        cluster.network.isOpen(a, b) && cluster.network.isOpen(b, a)

    private companion object {
        const val TASKS_PER_MACHINE = 4
        const val REPLICAS_PER_SERVICE = 12
        const val FIRST_BATCH_JOB_NUMBER = 500_000
        const val MAX_SERVED_MS = 600_000L
    }
}

package plankwall.loadtest

import com.fasterxml.jackson.databind.JsonNode
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import plankwall.io.HttpClient
import plankwall.io.HttpOutcome
import plankwall.model.Address
import plankwall.model.JobSpec
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.simulation.SimulatedWorker
import plankwall.wire.JobCodec

/**
 * The simulated users of a load test. They submit, poll and cancel jobs as PROTOCOL describes, through a simulated load
 * balancer that avoids a controller for some time after a request without an answer.
 */
class LoadTestUsers(private val cluster: LoadTestCluster, private val apiAddresses: List<Address>) {
    /** A job that a user has submitted and that has not ended as far as the user knows. */
    private class OpenJob(val spec: JobSpec, val submittedAtS: Double) {
        val startedTasks = HashSet<Int>()
        var hasEnded = false
    }

    private val plan = cluster.plan
    private val clients = apiAddresses.map {
        HttpClient(
            cluster.selector,
            it,
            maxConnections = CONNECTIONS_PER_NODE,
            maxCallsInProgress = MAX_WAITING_REQUESTS,
        )
    }
    private val openJobs = HashMap<String, OpenJob>()
    private var nextJobNumber = 1

    /** The time from which the load balancer may use each controller again, in seconds on the cluster's clock. */
    private val avoidUntilS = DoubleArray(apiAddresses.size)

    /** The number of tasks of all services that [submitServices] has scheduled. */
    var serviceTasks = 0
        private set

    /** The number of service tasks that have started at least once. */
    var serviceTasksStarted = 0
        private set

    /** The number of jobs that no controller accepted before their users stopped retrying. */
    var givenUp = 0
        private set

    /** Whether new jobs are submitted; [startArrivals] sets it. */
    var arrivalsEnabled = false

    init {
        cluster.onTaskStarted = ::recordTaskStart
    }

    /** Records the start latency of the job once all its tasks have started at least once. */
    private fun recordTaskStart(id: String, task: Int) {
        val job = openJobs[id] ?: return
        if (!job.startedTasks.add(task)) return
        if (job.spec.shape == Shape.SERVICE) serviceTasksStarted++
        if (job.startedTasks.size < job.spec.tasks) return
        val latencies = cluster.meters.latencies
        val histogram = when {
            job.spec.shape == Shape.GANG -> latencies.gangStart
            job.spec.jobClass == URGENT -> latencies.urgentStart
            job.spec.shape == Shape.ARRAY -> latencies.arrayStart
            else -> return
        }
        histogram.recordSeconds(cluster.clock.now - job.submittedAtS)
    }

    private fun newSpec(
        jobClass: String,
        shape: Shape,
        tasks: Int,
        runS: Double,
        priority: Priority,
        gpus: Long,
    ): JobSpec {
        val number = nextJobNumber++
        return JobSpec(
            "job-%06d".format(number),
            jobClass, "team-${number % plan.teams + 1}", shape, priority, tasks, Resources(2_000, gpus, 8_000),
            "image-${number % IMAGE_COUNT}", 1.0, null, null, false, shape == Shape.SERVICE && plan.zones > 1, false,
            runS, 0.0, 0.0, null,
        )
    }

    /** Schedules the submission of the services of the plan, spread evenly over [periodS] seconds. */
    fun submitServices(periodS: Double) {
        val jobs = plan.work.running / plan.work.replicas
        repeat(jobs) { jobIndex ->
            serviceTasks += plan.work.replicas
            val gpus = if (jobIndex % SERVICES_PER_ACCELERATED_SERVICE == 0) 1_000L else 0L
            cluster.clock.after(periodS * jobIndex / jobs) {
                submit(newSpec(LIVE, Shape.SERVICE, plan.work.replicas, 0.0, Priority.PRODUCTION, gpus))
            }
        }
    }

    /** Submits arrays, urgent jobs and gangs at the mean rates of the plan for as long as [arrivalsEnabled] is set. */
    fun startArrivals() {
        arrivalsEnabled = true
        val work = plan.work
        scheduleArrivals(work.startsPerS / work.arrayTasks) { submitArray() }
        scheduleArrivals(work.urgentPerS) { submit(newSpec(URGENT, Shape.ARRAY, 1, work.arrayRunS, Priority.HIGH, 0)) }
        if (work.gangTasks > 0) {
            scheduleArrivals(work.gangsPerMin / SECONDS_PER_MINUTE) {
                submit(newSpec(GANG, Shape.GANG, work.gangTasks, work.arrayRunS, Priority.HIGH, 0))
            }
        }
    }

    private fun submitArray() {
        val spec = newSpec(BATCH, Shape.ARRAY, plan.work.arrayTasks, plan.work.arrayRunS, Priority.LOW, 0)
        submit(spec)
        if (cluster.random.nextDouble() < plan.work.cancelShare) {
            cluster.clock.after(1.0 + cluster.random.nextDouble() * plan.work.arrayRunS) { cancel(spec.id) }
        }
    }

    /**
     * Calls [onArrival] at random times with a mean rate of [ratePerS] per second for as long as [arrivalsEnabled] is
     * set.
     */
    private fun scheduleArrivals(ratePerS: Double, onArrival: () -> Unit) {
        if (ratePerS <= 0) return
        // The arrivals are independent of each other, so the gaps between them are exponentially distributed.
        val gapS = -Math.log(1.0 - cluster.random.nextDouble()) / ratePerS
        cluster.clock.after(gapS) {
            if (!arrivalsEnabled) return@after
            onArrival()
            scheduleArrivals(ratePerS, onArrival)
        }
    }

    private fun submit(spec: JobSpec) {
        cluster.registerJob(spec)
        openJobs[spec.id] = OpenJob(spec, cluster.clock.now)
        cluster.scope.launch { submitUntilAccepted(spec) }
    }

    private suspend fun submitUntilAccepted(spec: JobSpec) {
        val startedAtS = cluster.clock.now
        val body = JobCodec.description(spec)
        while (cluster.clock.now - startedAtS < GIVE_UP_AFTER_S) {
            val askedAtS = cluster.clock.now
            val node = pickNode() ?: continue
            cluster.meters.nodes[node].submissions++
            val outcome = clients[node].call("POST", "/api/jobs", body, CHANGE_TIMEOUT_MS)
            cluster.catchUpClock()
            val status = recordOutcome("submission", node, outcome)
            val answer = outcome.json()
            cluster.checker.submissionAnswered(
                spec,
                status,
                cluster.clock.now,
                answer?.get("stage")?.asText(),
                askedAtS,
            )
            if (status == 200 || status == 201) {
                cluster.meters.latencies.submission.recordSeconds(cluster.clock.now - startedAtS)
                pollUntilEnded(spec.id)
                return
            }
            delay(RETRY_DELAY_MS)
        }
        givenUp++
        openJobs.remove(spec.id)
    }

    /**
     * Counts the outcome as a refusal unless it is a success, and makes the load balancer avoid [node] if there was no
     * answer. Returns the status, or 0 if there was no answer.
     */
    private fun recordOutcome(requestName: String, node: Int, outcome: HttpOutcome): Int {
        if (outcome is HttpOutcome.Answered) {
            if (outcome.status >= 300) cluster.meters.recordRefusal("$requestName ${outcome.status}")
            return outcome.status
        }
        cluster.meters.recordRefusal("$requestName without an answer")
        avoidUntilS[node] = cluster.clock.now + NODE_AVOIDANCE_S
        return 0
    }

    /** Returns a random controller that the load balancer does not avoid; null, after a pause, if it avoids all. */
    private suspend fun pickNode(): Int? {
        val healthy = apiAddresses.indices.filter { avoidUntilS[it] <= cluster.clock.now }
        if (healthy.isNotEmpty()) return healthy[cluster.random.nextInt(healthy.size)]
        delay(RETRY_DELAY_MS)
        return null
    }

    private suspend fun pollUntilEnded(id: String) {
        val job = openJobs.getValue(id)
        delay((plan.work.pollEveryS * 1000 * cluster.random.nextDouble()).toLong())
        while (!job.hasEnded) {
            val node = pickNode() ?: continue
            val askedAtS = cluster.clock.now
            cluster.meters.nodes[node].polls++
            val outcome = clients[node].call("GET", "/api/jobs/$id", null, POLL_TIMEOUT_MS)
            cluster.catchUpClock()
            val status = recordOutcome("poll", node, outcome)
            val stage = if (status == 200) outcome.json()?.get("stage")?.asText() else null
            cluster.checker.statusAnswered(id, status, stage, cluster.clock.now, askedAtS)
            cluster.checker.pollEnded(id, status == 200 || status == 404, cluster.clock.now)
            if (status == 200) cluster.meters.latencies.poll.recordSeconds(cluster.clock.now - askedAtS)
            if (stage == "done" || stage == "withdrawn") closeJob(job)
            delay((plan.work.pollEveryS * 1000).toLong())
        }
    }

    private fun closeJob(job: OpenJob) {
        job.hasEnded = true
        openJobs.remove(job.spec.id)
    }

    private fun cancel(id: String) {
        cluster.checker.cancelRequested(id)
        cluster.scope.launch { cancelUntilAnswered(id) }
    }

    private suspend fun cancelUntilAnswered(id: String) {
        val startedAtS = cluster.clock.now
        while (cluster.clock.now - startedAtS < GIVE_UP_AFTER_S) {
            val node = pickNode() ?: continue
            val askedAtS = cluster.clock.now
            cluster.meters.nodes[node].cancellations++
            val outcome = clients[node].call("POST", "/api/jobs/$id/withdraw", NO_BODY, CHANGE_TIMEOUT_MS)
            cluster.catchUpClock()
            val status = recordOutcome("cancellation", node, outcome)
            val stage = outcome.json()?.get("stage")?.asText()
            if (status == 200 && stage != null) {
                cluster.checker.cancelAnswered(id, stage, cluster.clock.now, askedAtS)
                cluster.meters.latencies.cancellation.recordSeconds(cluster.clock.now - startedAtS)
                return
            }
            delay(RETRY_DELAY_MS)
        }
    }

    private fun HttpOutcome.json(): JsonNode? = (this as? HttpOutcome.Answered)?.takeIf {
        it.body.isNotEmpty()
    }?.let { SimulatedWorker.json.readTree(it.body) }

    companion object {
        /** The class of the service jobs. */
        const val LIVE = "live"

        /** The class of the array jobs. */
        const val BATCH = "batch"

        /** The class of the urgent jobs of one task. */
        const val URGENT = "urgent"

        /** The class of the gang jobs. */
        const val GANG = "gang"
        private val NO_BODY = ByteArray(0)

        /** The number of services of which one requests an accelerator for each replica. */
        private const val SERVICES_PER_ACCELERATED_SERVICE = 3
        private const val IMAGE_COUNT = 20

        /** The limits of connections to one controller, and of requests that wait for one of them. */
        private const val CONNECTIONS_PER_NODE = 24
        private const val MAX_WAITING_REQUESTS = 4_000
        private const val SECONDS_PER_MINUTE = 60.0

        /**
         * The users' timeouts for submissions and cancellations and for polls, and their retry limits, from PROTOCOL.
         */
        private const val CHANGE_TIMEOUT_MS = 5_000L
        private const val POLL_TIMEOUT_MS = 2_000L
        private const val RETRY_DELAY_MS = 1_000L
        private const val GIVE_UP_AFTER_S = 60.0

        /** The time for which the load balancer avoids a controller after a request without an answer, in seconds. */
        private const val NODE_AVOIDANCE_S = 3.0
    }
}

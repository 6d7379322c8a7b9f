package plankwall.loadtest

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import plankwall.model.Address
import plankwall.model.JobSpec
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape

/**
 * The simulated users of a load test. They submit, poll and cancel jobs as PROTOCOL describes.
 */
class LoadTestUsers(private val cluster: LoadTestCluster, apiAddresses: List<Address>) {
    /** A job that a user has submitted and that has not ended as far as the user knows. */
    private class OpenJob(val spec: JobSpec, val submittedAtS: Double) {
        val startedTasks = HashSet<Int>()
        var hasEnded = false
    }

    private val plan = cluster.plan
    private val requests = UserRequests(cluster, apiAddresses)
    private val repeatingUsers = RepeatingUsers(cluster, requests)
    private val pipelineUsers = PipelineUsers(cluster, ::newDependentSpec, ::submit, ::cancel)
    private val openJobs = HashMap<String, OpenJob>()
    private val acceptedJobs = ArrayList<String>()
    private var nextJobNumber = 1

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

    /** The number of jobs that were accepted. */
    val jobCount: Int get() = acceptedJobs.size

    /** The number of requests that the users sent. */
    val requestCount: Long get() = requests.count

    init {
        cluster.onTaskStarted = ::recordTaskStart
        cluster.onJobCompleted = ::onJobCompleted
    }

    /**
     * Lets users ask for the job [id], all tasks of which have completed, and some cancel it at this moment. The user
     * of a job that was accepted without an answer does not know of it yet.
     */
    private fun onJobCompleted(id: String) {
        if (!cluster.checker.isAccepted(id)) return
        if (plan.work.repeatRequests) repeatingUsers.query(id)
        if (cluster.random.nextDouble() < plan.work.cancelAtEndShare) {
            cluster.clock.after(cluster.random.nextDouble() * MAX_CANCEL_AT_END_DELAY_S) { cancel(id) }
        }
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
        dependencies: List<String> = emptyList(),
    ): JobSpec {
        val number = nextJobNumber++
        return JobSpec(
            "job-%06d".format(number),
            jobClass, "team-${number % plan.teams + 1}", shape, priority, tasks, Resources(2_000, gpus, 8_000),
            "image-${number % IMAGE_COUNT}", 1.0, null, null, false, shape == Shape.SERVICE && plan.zones > 1, false,
            runS, 0.0, 0.0, null, dependencies,
        )
    }

    private fun newDependentSpec(dependencies: List<String>): JobSpec =
        newSpec(BATCH, Shape.ARRAY, PIPELINE_TASKS, PIPELINE_RUN_S, Priority.LOW, 0, dependencies)

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
        scheduleArrivals(work.pipelinesPerS) { pipelineUsers.submitPipeline() }
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

    private fun submit(spec: JobSpec, onAccepted: () -> Unit = {}) {
        cluster.registerJob(spec)
        openJobs[spec.id] = OpenJob(spec, cluster.clock.now)
        cluster.scope.launch { submitUntilAccepted(spec, onAccepted) }
    }

    private suspend fun submitUntilAccepted(spec: JobSpec, onAccepted: () -> Unit) {
        val startedAtS = cluster.clock.now
        while (cluster.clock.now - startedAtS < UserRequests.GIVE_UP_AFTER_S) {
            val node = requests.pickNode() ?: continue
            if (requests.submit(spec, node).isAccepted) {
                cluster.meters.latencies.submission.recordSeconds(cluster.clock.now - startedAtS)
                acceptedJobs.add(spec.id)
                if (plan.work.repeatRequests) repeatingUsers.request(spec, cancel = false)
                onAccepted()
                pollUntilEnded(spec.id)
                return
            }
            delay(UserRequests.RETRY_DELAY_MS)
        }
        givenUp++
        openJobs.remove(spec.id)
    }

    private suspend fun pollUntilEnded(id: String) {
        val job = openJobs.getValue(id)
        delay((plan.work.pollEveryS * 1000 * cluster.random.nextDouble()).toLong())
        while (!job.hasEnded) {
            val node = requests.pickNode() ?: continue
            val answer = requests.query(id, node)
            cluster.checker.pollEnded(id, answer.status == 200 || answer.status == 404, cluster.clock.now)
            if (answer.isFinal) closeJob(job)
            delay((plan.work.pollEveryS * 1000).toLong())
        }
        if (plan.work.repeatRequests) repeatingUsers.query(id)
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
        while (cluster.clock.now - startedAtS < UserRequests.GIVE_UP_AFTER_S) {
            val node = requests.pickNode() ?: continue
            if (requests.cancel(id, node).isFinal) {
                cluster.meters.latencies.cancellation.recordSeconds(cluster.clock.now - startedAtS)
                val spec = cluster.specOf(id)?.takeIf { cluster.checker.isAccepted(id) }
                if (plan.work.repeatRequests && spec != null) repeatingUsers.request(spec, cancel = true)
                return
            }
            delay(UserRequests.RETRY_DELAY_MS)
        }
    }

    /** Asks every controller once for every accepted job. */
    suspend fun queryAllJobs() = coroutineScope {
        requests.nodes.forEach { node -> launch { acceptedJobs.toList().forEach { queryUntilAnswered(it, node) } } }
    }

    /** Asks the controller at index [node] for the job [id] until it answers, a limited number of times. */
    private suspend fun queryUntilAnswered(id: String, node: Int) {
        repeat(FINAL_QUERY_ATTEMPTS) {
            if (requests.query(id, node).status in ANSWERED_STATUSES) return
            delay(FINAL_QUERY_PAUSE_MS)
        }
        cluster.checker.violations.add("forgotten: ${plan.nodeName(node)} does not answer for $id after all faults")
    }

    companion object {
        /** The class of the service jobs. */
        const val LIVE = "live"

        /** The class of the array jobs. */
        const val BATCH = "batch"

        /** The class of the urgent jobs of one task. */
        const val URGENT = "urgent"

        /** The class of the gang jobs. */
        const val GANG = "gang"

        /** The number of services of which one requests an accelerator for each replica. */
        private const val SERVICES_PER_ACCELERATED_SERVICE = 3
        private const val IMAGE_COUNT = 20
        private const val SECONDS_PER_MINUTE = 60.0

        /** The size and the run time of the jobs of a pipeline. */
        private const val PIPELINE_TASKS = 2
        private const val PIPELINE_RUN_S = 2.0
        private const val MAX_CANCEL_AT_END_DELAY_S = 0.6
        private const val FINAL_QUERY_ATTEMPTS = 20
        private const val FINAL_QUERY_PAUSE_MS = 500L
        private val ANSWERED_STATUSES = setOf(200, 404)
    }
}

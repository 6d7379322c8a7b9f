package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.model.Resources

/**
 * Measures the rate at which work arrives, in the resources that its tasks need. The rate is the median over many short
 * intervals (buckets), so that neither one large submission nor a burst of hundreds is taken for a trend.
 */
class ArrivalRate {
    private val buckets = ArrayDeque<Bucket>()

    /** The highest [Job.demandIndex] recorded so far. */
    private var newestIndex = -1

    /** An interval that began at [openedAt]; [need] is the sum of what the jobs that arrived in it need. */
    private class Bucket(val openedAt: Double, var need: Resources)

    /**
     * Records those of [jobs] that became demand since the last call. [now] is in seconds of the monotonic clock. Jobs
     * that become demand later have a higher [Job.demandIndex].
     */
    fun record(now: Double, jobs: List<Job>) {
        if (buckets.isEmpty() || now >= buckets.last().openedAt + BUCKET_S) buckets.addLast(Bucket(now, Resources.NONE))
        while (buckets.size > MAX_BUCKETS) buckets.removeFirst()
        val newestBefore = newestIndex
        for (job in jobs) {
            if (job.demandIndex <= newestBefore) continue
            newestIndex = maxOf(newestIndex, job.demandIndex)
            buckets.last().need += job.spec.need * job.spec.tasks
        }
    }

    /** Returns the resources of the work expected within [seconds]: none until there are enough full buckets. */
    fun expectedWithin(seconds: Double): Resources {
        val fullBuckets = buckets.dropLast(1)
        if (fullBuckets.size < MIN_BUCKETS) return Resources.NONE
        fun median(resource: (Resources) -> Long): Long =
            (fullBuckets.map { resource(it.need) }.sorted()[fullBuckets.size / 2] * seconds / BUCKET_S).toLong()
        return Resources(median { it.cpus }, median { it.gpus }, median { it.memory })
    }

    private companion object {
        const val BUCKET_S = 5.0
        const val MAX_BUCKETS = 25
        const val MIN_BUCKETS = 4
    }
}

package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.model.Resources

/**
 * How much work arrives per second, in the resources that it asks for: the median of many short buckets, so that
 * neither one large submission nor a burst of hundreds is taken for a trend.
 */
class ArrivalRate {
    private val buckets = ArrayDeque<Bucket>()
    private var lastIndex = -1

    private class Bucket(val from: Double, var need: Resources)

    /** Records those of [jobs] that are new. Their indices rise in the order in which they became demand. */
    fun record(now: Double, jobs: List<Job>) {
        if (buckets.isEmpty() || now >= buckets.last().from + BUCKET_S) buckets.addLast(Bucket(now, Resources.NONE))
        while (buckets.size > MAX_BUCKETS) buckets.removeFirst()
        val newestBefore = lastIndex
        for (job in jobs) {
            if (job.demandIx <= newestBefore) continue
            lastIndex = maxOf(lastIndex, job.demandIx)
            buckets.last().need += job.spec.need * job.spec.tasks
        }
    }

    /** What should arrive within [seconds]; nothing before there are enough full buckets. */
    fun expectedWithin(seconds: Double): Resources {
        val full = buckets.dropLast(1)
        if (full.size < MIN_BUCKETS) return Resources.NONE
        fun median(resource: (Resources) -> Long): Long =
            (full.map { resource(it.need) }.sorted()[full.size / 2] * seconds / BUCKET_S).toLong()
        return Resources(median { it.cpus }, median { it.gpus }, median { it.memory })
    }

    private companion object {
        const val BUCKET_S = 5.0
        const val MAX_BUCKETS = 25
        const val MIN_BUCKETS = 4
    }
}

package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.model.Resources

/**
 * How much work arrives per second, in the resources that it asks for: the middle one of many short buckets, so that
 * neither one great submission nor a morning's burst of hundreds is taken for a trend.
 */
class ArrivalRate {
    private val buckets = ArrayDeque<Bucket>()
    private var seenIx = -1

    private class Bucket(val from: Double, var need: Resources)

    /** Takes note of those of [jobs] that are new. Their indices rise in the order in which they became demand. */
    fun record(now: Double, jobs: List<Job>) {
        if (buckets.isEmpty() || now >= buckets.last().from + BUCKET_S) buckets.addLast(Bucket(now, Resources.NONE))
        while (buckets.size > BUCKETS) buckets.removeFirst()
        val newest = seenIx
        for (job in jobs) {
            if (job.demandIx <= newest) continue
            seenIx = maxOf(seenIx, job.demandIx)
            buckets.last().need += job.spec.need * job.spec.tasks
        }
    }

    /** What should arrive within [leadS]. */
    fun expectedWithin(leadS: Double): Resources {
        val full = buckets.dropLast(1)
        if (full.size < MIN_BUCKETS) return Resources.NONE
        fun part(of: (Resources) -> Long): Long =
            (full.map { of(it.need) }.sorted()[full.size / 2] * leadS / BUCKET_S).toLong()
        return Resources(part { it.cpus }, part { it.gpus }, part { it.memory })
    }

    private companion object {
        const val BUCKET_S = 5.0
        const val BUCKETS = 25
        const val MIN_BUCKETS = 4
    }
}

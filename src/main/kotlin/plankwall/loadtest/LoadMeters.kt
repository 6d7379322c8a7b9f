package plankwall.loadtest

import org.HdrHistogram.Histogram

/**
 * The numbers of requests and bytes that one controller sent or received, counted by the simulated other end of each
 * connection.
 */
class NodeMeter {
    var heartbeats = 0L
    var polls = 0L
    var submissions = 0L
    var cancellations = 0L
    var stateRequests = 0L

    /** The number of requests that the state service refused, because of its rate limits or an outage. */
    var stateRefused = 0L

    /** The number of writes in the transactions that the controller sent to the state service. */
    var puts = 0L
    var cloudRequests = 0L

    /** The number of bytes of peer frames that the controller sent to other controllers. */
    var frameBytes = 0L

    /** Returns a copy with the present counts. */
    fun copyCounts() = NodeMeter().also {
        it.heartbeats = heartbeats
        it.polls = polls
        it.submissions = submissions
        it.cancellations = cancellations
        it.stateRequests = stateRequests
        it.stateRefused = stateRefused
        it.puts = puts
        it.cloudRequests = cloudRequests
        it.frameBytes = frameBytes
    }
}

/** The latency histograms of one phase, in milliseconds. */
class Latencies {
    /** From the sending of a heartbeat until its answer, with any status. */
    val heartbeat = histogram()

    /** From the first attempt until a controller accepted the job, retries included. */
    val submission = histogram()

    /** From the first attempt until a controller confirmed the cancellation, retries included. */
    val cancellation = histogram()

    /** From the submission of a job until all its tasks have started; the same for urgent and gang jobs. */
    val arrayStart = histogram()
    val urgentStart = histogram()
    val gangStart = histogram()

    /** From the sending of a poll until its answer with status 200. */
    val poll = histogram()

    companion object {
        /** The largest latency that the histograms hold; larger ones are recorded as this. */
        const val MAX_MS = 600_000L

        private fun histogram() = Histogram(MAX_MS, 3)
    }
}

/** Records a latency given in seconds in a histogram of [Latencies], whose unit is the millisecond. */
fun Histogram.recordSeconds(seconds: Double) = recordValue((seconds * 1000).toLong().coerceIn(0, Latencies.MAX_MS))

/**
 * All counts and latencies that the simulation records. The counts cover the whole load test.
 *
 * @param nodeCount the number of controllers
 */
class LoadMeters(nodeCount: Int) {
    /** The meters of the controllers, by their index. */
    val nodes = List(nodeCount) { NodeMeter() }

    /** The latencies of the present phase; replaced at the start of each phase. */
    var latencies = Latencies()

    /** The number of the users' failed requests, by request and status. */
    val refusals = HashMap<String, Long>()

    /** The number of heartbeats that were answered with status 200. */
    var heartbeatsServed = 0L

    /** The number of heartbeats that were answered with status 200 within one second. */
    var heartbeatsWithin1S = 0L

    /** The number of heartbeats without an answer. An answer with another status than 200 is not counted anywhere. */
    var heartbeatsFailed = 0L

    /** The number of worker leases that ran out. */
    var leasesExpired = 0L

    /** The number of task starts. */
    var starts = 0L

    /** The number of task starts in each second of the cluster's clock. */
    private val startsBySecond = HashMap<Long, Int>()

    /** Counts a task start at the time [nowS], in seconds on the cluster's clock. */
    fun recordStart(nowS: Double) {
        starts++
        startsBySecond.merge(nowS.toLong(), 1, Int::plus)
    }

    /** Counts a failed request of a user; [reason] names the request and the status. */
    fun recordRefusal(reason: String) {
        refusals.merge(reason, 1, Long::plus)
    }

    /**
     * Returns the largest number of task starts per second in any [seconds] successive seconds between [fromS] and
     * [toS].
     */
    fun busiestStartsPerS(fromS: Double, toS: Double, seconds: Int): Double =
        (fromS.toLong()..(toS.toLong() - seconds)).maxOfOrNull { firstSecond ->
            (firstSecond until firstSecond + seconds).sumOf {
                startsBySecond[it]
                    ?: 0
            } /
                seconds.toDouble()
        }
            ?: 0.0
}

package plankwall.loadtest

import org.HdrHistogram.Histogram

/** What went to one controller or came from it, counted by the stand-ins at the other end. */
class NodeMeter {
    var heartbeats = 0L
    var polls = 0L
    var submissions = 0L
    var cancellations = 0L
    var stateRequests = 0L
    var stateRefused = 0L
    var puts = 0L
    var cloudRequests = 0L
    var frameBytes = 0L

    fun copyOf() = NodeMeter().also {
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

/** Latencies of one phase, in milliseconds. */
class Latencies {
    val heartbeat = histogram()
    val submission = histogram()
    val cancellation = histogram()
    val arrayStart = histogram()
    val urgentStart = histogram()
    val gangStart = histogram()
    val poll = histogram()

    companion object {
        const val MAX_MS = 600_000L

        private fun histogram() = Histogram(MAX_MS, 3)
    }
}

fun Histogram.recordSeconds(seconds: Double) = recordValue((seconds * 1000).toLong().coerceIn(0, Latencies.MAX_MS))

/** Everything that the stand-ins count. [latencies] is replaced at the start of each phase. */
class LoadMeters(nodes: Int) {
    val nodes = List(nodes) { NodeMeter() }
    var latencies = Latencies()
    val refusals = HashMap<String, Long>()
    var heartbeatsServed = 0L
    var heartbeatsWithin1S = 0L
    var heartbeatsFailed = 0L
    var leasesExpired = 0L
    var starts = 0L
    private val startsBySecond = HashMap<Long, Int>()

    fun started(now: Double) {
        starts++
        startsBySecond.merge(now.toLong(), 1, Int::plus)
    }

    fun refused(what: String) {
        refusals.merge(what, 1, Long::plus)
    }

    /** The most starts in any [seconds] seconds in a row between [from] and [to], a second. */
    fun busiest(from: Double, to: Double, seconds: Int): Double =
        (from.toLong()..(to.toLong() - seconds)).maxOfOrNull { first ->
            (first until first + seconds).sumOf {
                startsBySecond[it]
                    ?: 0
            } /
                seconds.toDouble()
        }
            ?: 0.0
}

package plankwall.load

import org.HdrHistogram.Histogram
import plankwall.gateway.Callers
import plankwall.simulation.SimulatedCluster

/**
 * Measures the virtual time from the answer to a publication of rights until the last of seven nodes applies it. Run by
 * hand.
 */
object RevocationReach {
    @JvmStatic
    fun main(args: Array<String>) {
        val delaysMs = Histogram(60_000, 3)
        for (seed in 0L until 20) {
            val cluster = SimulatedCluster(seed, 7, gatewaySettings = { Callers.settings(it) })
            val callers = Callers(cluster)
            cluster.clock.runUntil(5.0)
            for (version in 1L..25) {
                cluster.clock.runUntil(cluster.clock.now + cluster.random.nextDouble())
                val request = callers.publish("root", version, Callers.rights(moreText = "# $version"))
                while (request.status == 0) cluster.clock.runUntil(cluster.clock.now + 0.001)
                check(request.status == 200) { request.body }
                val answeredAt = cluster.clock.now
                while (cluster.nodes.any { it.accessGateway?.version != version + 1 }) {
                    cluster.clock.runUntil(cluster.clock.now + 0.001)
                }
                delaysMs.recordValue(((cluster.clock.now - answeredAt) * 1000).toLong())
            }
        }
        println(
            "ms from the answer until the last of 7 nodes: ${delaysMs.totalCount} publications, " +
                listOf(50.0, 90.0, 99.0, 100.0).joinToString(", ") {
                    "p${it.toInt()} ${delaysMs.getValueAtPercentile(it)}"
                },
        )
    }
}

package plankwall.load

import org.HdrHistogram.Histogram
import plankwall.gateway.Callers
import plankwall.simulation.SimulatedCluster

/** How long after a publication was confirmed the last of seven nodes goes by it; by hand, in virtual time. */
object RevocationReach {
    @JvmStatic
    fun main(args: Array<String>) {
        val reach = Histogram(60_000, 3)
        for (seed in 0L until 20) {
            val cluster = SimulatedCluster(seed, 7, gatewaySettings = { Callers.settings(it) })
            val callers = Callers(cluster)
            cluster.clock.runUntil(5.0)
            for (n in 1L..25) {
                cluster.clock.runUntil(cluster.clock.now + cluster.random.nextDouble())
                val asked = callers.publish("root", n, Callers.rights(moreText = "# $n"))
                while (asked.status == 0) cluster.clock.runUntil(cluster.clock.now + 0.001)
                check(asked.status == 200) { asked.body }
                val told = cluster.clock.now
                while (cluster.nodes.any { it.accessGateway?.version != n + 1 }) {
                    cluster.clock.runUntil(cluster.clock.now + 0.001)
                }
                reach.recordValue(((cluster.clock.now - told) * 1000).toLong())
            }
        }
        println(
            "ms from the answer until the last of 7 nodes: ${reach.totalCount} publications, " +
                listOf(50.0, 90.0, 99.0, 100.0).joinToString(", ") {
                    "p${it.toInt()} ${reach.getValueAtPercentile(it)}"
                },
        )
    }
}

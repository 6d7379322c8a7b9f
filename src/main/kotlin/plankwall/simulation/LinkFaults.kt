package plankwall.simulation

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.sampling.ListSampler

/**
 * A fault of links, of a controller or of the store, which begins at [startS] and lasts for [durationS] seconds of
 * virtual time.
 */
class LinkFaults(
    val name: String,
    val startS: Double,
    val durationS: Double,
    private val onBegin: SimulatedCluster.() -> Unit,
    private val onEnd: SimulatedCluster.() -> Unit,
) {
    /** Schedules the start and the end of the fault on the clock of [cluster]. */
    fun schedule(cluster: SimulatedCluster) {
        cluster.clock.after(startS) { cluster.onBegin() }
        cluster.clock.after(startS + durationS) { cluster.onEnd() }
    }

    override fun toString(): String = "$name at %.1f s for %.1f s".format(startS, durationS)

    /** Draws faults at random. */
    companion object {
        private const val EARLIEST_S = 50.0
        private const val FAULT_COUNT = 6

        /**
         * Draws faults, some of which overlap, from [random] for a cluster of [nodes] nodes; all end before [endS]
         * seconds.
         */
        fun draw(random: UniformRandomProvider, nodes: Int, endS: Double): List<LinkFaults> = List(FAULT_COUNT) {
            val startS = EARLIEST_S + random.nextDouble() * (endS - EARLIEST_S - 45.0)
            val durationS = 5.0 + random.nextDouble() * 35.0
            val cutKind = LinkCut.entries[random.nextInt(LinkCut.entries.size)]
            val affectedCount = 1 + random.nextInt(nodes)
            // The leader comes first in selectNodes: faults that miss the leader show little.
            val nodeOrder = (0 until nodes).toMutableList().also { ListSampler.shuffle(random, it) }
            when (random.nextInt(10)) {
                0 -> cutLinks("$affectedCount nodes cut from the store, $cutKind", startS, durationS, cutKind) {
                    selectNodes(nodeOrder, affectedCount).map { it to "state" }
                }
                1 -> cutLinks("$affectedCount nodes cut from the workers, $cutKind", startS, durationS, cutKind) {
                    selectNodes(nodeOrder, affectedCount).map { it to "workers" }
                }
                2 -> cutLinks("all nodes but one cut from the store, $cutKind", startS, durationS, cutKind) {
                    selectNodes(nodeOrder, nodes - 1).map {
                        it to
                            "state"
                    }
                }
                3 -> cutLinks("all nodes but one cut from the workers, $cutKind", startS, durationS, cutKind) {
                    selectNodes(nodeOrder, nodes - 1).map {
                        it to
                            "workers"
                    }
                }
                4 -> cutOneWay(startS, durationS, cutKind, random.nextBoolean()) {
                    selectNodes(nodeOrder, affectedCount).map {
                        it to
                            if (affectedCount % 2 == 0) "state" else "workers"
                    }
                }
                5 -> cutLinks("nodes cut from each other, $cutKind", startS, durationS, cutKind) { allNodePairs(nodes) }
                6 -> cutLinks("half cut from the workers, half from the store, $cutKind", startS, durationS, cutKind) {
                    val withoutWorkers = selectNodes(nodeOrder, (nodes + 1) / 2)
                    allNodeNames().map { it to if (it in withoutWorkers) "workers" else "state" }
                }
                7 -> flapLinks(startS, durationS, cutKind) { selectNodes(nodeOrder, 1).map { it to "workers" } }
                8 -> cutRandomLinks(random, startS, durationS, nodes)
                else -> otherFault(random, startS, durationS, nodeOrder)
            }
        }

        private fun SimulatedCluster.allNodeNames(): List<String> = nodes.map { it.name }

        /** Returns the names of [count] nodes, first the leader at that moment, then in the order of [nodeOrder]. */
        private fun SimulatedCluster.selectNodes(nodeOrder: List<Int>, count: Int): List<String> =
            (nodes.filter { it.isLeader }.map { it.name } + nodeOrder.map { "n$it" }).distinct().take(count)

        private fun allNodePairs(nodes: Int): List<Pair<String, String>> =
            (0 until nodes).flatMap { a -> (a + 1 until nodes).map { b -> "n$a" to "n$b" } }

        /** Cuts both directions of the links that [selectLinks] returns when the fault begins. */
        private fun cutLinks(
            name: String,
            startS: Double,
            durationS: Double,
            cutKind: LinkCut,
            selectLinks: SimulatedCluster.() -> List<Pair<String, String>>,
        ): LinkFaults {
            var cutPairs = emptyList<Pair<String, String>>()
            return LinkFaults(name, startS, durationS, {
                cutPairs = selectLinks()
                cutPairs.forEach { (a, b) -> network.cutBoth(a, b, cutKind) }
            }, { cutPairs.forEach { (a, b) -> network.healBoth(a, b) } })
        }

        /** Cuts one direction of the links that [selectLinks] returns when the fault begins. */
        private fun cutOneWay(
            startS: Double,
            durationS: Double,
            cutKind: LinkCut,
            out: Boolean,
            selectLinks: SimulatedCluster.() -> List<Pair<String, String>>,
        ): LinkFaults {
            var cutPairs = emptyList<Pair<String, String>>()
            return LinkFaults("one direction cut, ${if (out) "out" else "in"}, $cutKind", startS, durationS, {
                cutPairs = selectLinks().map { (a, b) -> if (out) a to b else b to a }
                cutPairs.forEach { (a, b) -> network.cut(a, b, cutKind) }
            }, { cutPairs.forEach { (a, b) -> network.heal(a, b) } })
        }

        /** Cuts links for 5 s out of every 10 s. */
        private fun flapLinks(
            startS: Double,
            durationS: Double,
            cutKind: LinkCut,
            selectLinks: SimulatedCluster.() -> List<Pair<String, String>>,
        ): LinkFaults {
            var cutPairs = emptyList<Pair<String, String>>()
            return LinkFaults("flapping link, $cutKind", startS, durationS, {
                cutPairs = selectLinks()
                generateSequence(0.0) { it + 10.0 }.takeWhile { it < durationS }.forEach { offsetS ->
                    clock.after(offsetS) { cutPairs.forEach { (a, b) -> network.cutBoth(a, b, cutKind) } }
                    clock.after(offsetS + 5.0) { cutPairs.forEach { (a, b) -> network.healBoth(a, b) } }
                }
            }, { clock.after(5.0) { cutPairs.forEach { (a, b) -> network.healBoth(a, b) } } })
        }

        /** Cuts each link of a node in each direction with a probability of 0.15, in a way drawn for each cut. */
        private fun cutRandomLinks(
            random: UniformRandomProvider,
            startS: Double,
            durationS: Double,
            nodes: Int,
        ): LinkFaults {
            val hosts = (0 until nodes).map { "n$it" } + listOf("state", "cloud", "zone:a", "zone:b")
            val cutPairs = (0 until nodes)
                .flatMap { n -> hosts.flatMap { host -> listOf("n$n" to host, host to "n$n") } }
                .filter { it.first != it.second && random.nextDouble() < 0.15 }.map {
                    it to
                        LinkCut.entries[random.nextInt(LinkCut.entries.size)]
                }
            return LinkFaults("random link cuts, ${cutPairs.size}", startS, durationS, {
                cutPairs.forEach { (link, cutKind) -> network.cut(link.first, link.second, cutKind) }
            }) {
                cutPairs.forEach { (link, _) -> network.heal(link.first, link.second) }
            }
        }

        /** Draws a fault of a controller or of the store instead of a link. */
        private fun otherFault(
            random: UniformRandomProvider,
            startS: Double,
            durationS: Double,
            nodeOrder: List<Int>,
        ): LinkFaults = when (random.nextInt(4)) {
            0 -> LinkFaults("crash of one node", startS, durationS, {
                nodes[nodeOrder.first()].let { if (it.isUp) it.crash(8.0) }
            }, {})
            1 -> LinkFaults("leader frozen", startS, durationS / 2, {
                nodes.filter { it.isLeader }.forEach { it.freeze(durationS / 2) }
            }, {})
            2 -> LinkFaults("outage of the store", startS, durationS / 2, { state.outage = true }, {
                state.outage = false
            })
            else -> LinkFaults("late writes", startS, durationS, { faults.lateWrites = 0.1 }, {
                faults.lateWrites = 0.0
            })
        }
    }
}

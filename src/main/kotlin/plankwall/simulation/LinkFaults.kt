package plankwall.simulation

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.sampling.ListSampler

/** One thing that goes wrong with links, or beside them, from [at] for [forS] seconds of virtual time. */
class LinkFaults(
    val name: String,
    val at: Double,
    val forS: Double,
    private val begin: SimulatedCluster.() -> Unit,
    private val end: SimulatedCluster.() -> Unit,
) {
    fun schedule(cluster: SimulatedCluster) {
        cluster.clock.after(at) { cluster.begin() }
        cluster.clock.after(at + forS) { cluster.end() }
    }

    override fun toString(): String = "$name at %.1f s for %.1f s".format(at, forS)

    companion object {
        private const val EARLIEST_S = 50.0
        private const val EPISODES = 6

        /**
         * Troubles that overlap now and then, drawn from [random], for a site of [nodes] nodes; over by [end] seconds.
         */
        fun draw(random: UniformRandomProvider, nodes: Int, end: Double): List<LinkFaults> = List(EPISODES) {
            val at = EARLIEST_S + random.nextDouble() * (end - EARLIEST_S - 45.0)
            val forS = 5.0 + random.nextDouble() * 35.0
            val how = LinkCut.entries[random.nextInt(LinkCut.entries.size)]
            val some = 1 + random.nextInt(nodes)
            // Who leads counts first: troubles that miss the leader show little.
            val picks = (0 until nodes).toMutableList().also { ListSampler.shuffle(random, it) }
            when (random.nextInt(10)) {
                0 -> links("$some without store, $how", at, forS, how) { chosen(picks, some).map { it to "state" } }
                1 -> links("$some without workers, $how", at, forS, how) { chosen(picks, some).map { it to "workers" } }
                2 -> links("all but one without store, $how", at, forS, how) {
                    chosen(picks, nodes - 1).map {
                        it to
                            "state"
                    }
                }
                3 -> links("all but one without workers, $how", at, forS, how) {
                    chosen(picks, nodes - 1).map {
                        it to
                            "workers"
                    }
                }
                4 -> oneWay(at, forS, how, random.nextBoolean()) {
                    chosen(picks, some).map {
                        it to
                            if (some % 2 == 0) "state" else "workers"
                    }
                }
                5 -> links("peers apart, $how", at, forS, how) { pairs(nodes) }
                6 -> links("halves: store here, workers there, $how", at, forS, how) {
                    val split = chosen(picks, (nodes + 1) / 2)
                    nodes().map { it to if (it in split) "workers" else "state" }
                }
                7 -> flapping(at, forS, how) { chosen(picks, 1).map { it to "workers" } }
                8 -> matrix(random, at, forS, nodes)
                else -> besides(random, at, forS, picks)
            }
        }

        private fun SimulatedCluster.nodes(): List<String> = nodes.map { it.name }

        /** [n] nodes, the leader of the moment first. */
        private fun SimulatedCluster.chosen(picks: List<Int>, n: Int): List<String> =
            (nodes.filter { it.leading }.map { it.name } + picks.map { "n$it" }).distinct().take(n)

        private fun pairs(nodes: Int): List<Pair<String, String>> =
            (0 until nodes).flatMap { a -> (a + 1 until nodes).map { b -> "n$a" to "n$b" } }

        private fun links(
            name: String,
            at: Double,
            forS: Double,
            how: LinkCut,
            which: SimulatedCluster.() -> List<Pair<String, String>>,
        ): LinkFaults {
            var cut = emptyList<Pair<String, String>>()
            return LinkFaults(name, at, forS, {
                cut = which()
                cut.forEach { (a, b) -> network.cutBoth(a, b, how) }
            }, { cut.forEach { (a, b) -> network.healBoth(a, b) } })
        }

        private fun oneWay(
            at: Double,
            forS: Double,
            how: LinkCut,
            out: Boolean,
            which: SimulatedCluster.() -> List<Pair<String, String>>,
        ): LinkFaults {
            var cut = emptyList<Pair<String, String>>()
            return LinkFaults("one way ${if (out) "out" else "in"}, $how", at, forS, {
                cut = which().map { (a, b) -> if (out) a to b else b to a }
                cut.forEach { (a, b) -> network.cut(a, b, how) }
            }, { cut.forEach { (a, b) -> network.heal(a, b) } })
        }

        private fun flapping(
            at: Double,
            forS: Double,
            how: LinkCut,
            which: SimulatedCluster.() -> List<Pair<String, String>>,
        ): LinkFaults {
            var cut = emptyList<Pair<String, String>>()
            return LinkFaults("up and down, $how", at, forS, {
                cut = which()
                generateSequence(0.0) { it + 10.0 }.takeWhile { it < forS }.forEach { t ->
                    clock.after(t) { cut.forEach { (a, b) -> network.cutBoth(a, b, how) } }
                    clock.after(t + 5.0) { cut.forEach { (a, b) -> network.healBoth(a, b) } }
                }
            }, { clock.after(5.0) { cut.forEach { (a, b) -> network.healBoth(a, b) } } })
        }

        /** Each link of each node by itself, in a way and a direction of its own. */
        private fun matrix(random: UniformRandomProvider, at: Double, forS: Double, nodes: Int): LinkFaults {
            val hosts = (0 until nodes).map { "n$it" } + listOf("state", "cloud", "zone:a", "zone:b")
            val cut = (0 until nodes).flatMap { n -> hosts.flatMap { h -> listOf("n$n" to h, h to "n$n") } }
                .filter { it.first != it.second && random.nextDouble() < 0.15 }.map {
                    it to
                        LinkCut.entries[random.nextInt(LinkCut.entries.size)]
                }
            return LinkFaults("matrix of ${cut.size}", at, forS, {
                cut.forEach { (l, how) -> network.cut(l.first, l.second, how) }
            }) {
                cut.forEach { (l, _) -> network.heal(l.first, l.second) }
            }
        }

        private fun besides(random: UniformRandomProvider, at: Double, forS: Double, picks: List<Int>): LinkFaults =
            when (random.nextInt(4)) {
                0 -> LinkFaults("a crash", at, forS, { nodes[picks.first()].let { if (it.up) it.crash(8.0) } }, {})
                1 -> LinkFaults("a leader frozen", at, forS / 2, {
                    nodes.filter { it.leading }.forEach { it.freeze(forS / 2) }
                }, {})
                2 -> LinkFaults("an outage", at, forS / 2, { state.outage = true }, { state.outage = false })
                else -> LinkFaults("late writes", at, forS, { faults.lateWrites = 0.1 }, { faults.lateWrites = 0.0 })
            }
    }
}

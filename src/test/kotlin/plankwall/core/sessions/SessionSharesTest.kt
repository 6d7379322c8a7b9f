package plankwall.core.sessions

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.wire.SessionPlan
import plankwall.wire.SessionShare

/**
 * Tests which node serves which worker: the assignment is the same on every node, stable, prefers nodes of the worker's
 * own zone, and stays within the nodes' capacity.
 */
class SessionSharesTest {
    private val machines = List(6_000) { "i-%06d".format(it) }

    private fun planOf(weights: Map<String, Int>) =
        SessionPlan(7, mapOf("a" to weights.map { SessionShare(it.key, it.value) }))

    /** Returns the node that each machine is assigned to, for nodes of these [weights]. */
    private fun assignments(weights: Map<String, Int>): Map<String, String> = planOf(weights).let { plan ->
        machines.associateWith { SessionAssignment.nodeFor(plan, it, "a")!! }
    }

    @Test
    fun `workers are spread over the nodes in proportion to their weights`() {
        val counts = assignments(mapOf("n1" to 100, "n2" to 100, "n3" to 200)).values.groupingBy { it }.eachCount()
        assertTrue(
            counts.getValue("n1") in 1_400..1_600 &&
                counts.getValue("n2") in 1_400..1_600 &&
                counts.getValue("n3") in 2_850..3_150,
            "$counts",
        )
    }

    @Test
    fun `a node that joins or leaves moves only the workers that it gets or had`() {
        val withFourNodes = assignments(mapOf("n1" to 9, "n2" to 9, "n3" to 9, "n4" to 9))
        val withThreeNodes = assignments(mapOf("n1" to 9, "n2" to 9, "n3" to 9))
        machines.filter { withFourNodes[it] != "n4" }
            .forEach { assertEquals(withFourNodes[it], withThreeNodes[it], it) }
        val moved = machines.filter { withFourNodes[it] == "n4" }.groupingBy { withThreeNodes.getValue(it) }.eachCount()
        assertEquals(setOf("n1", "n2", "n3"), moved.keys)
    }

    @Test
    fun `a worker of a zone that the plan does not name is assigned to no node, so the leader serves it`() =
        assertNull(SessionAssignment.nodeFor(planOf(mapOf("n1" to 1)), "i-000001", "b"))

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, workers by zone, nodes as name:zone:capacity, shares by zone as node:weight
        "'zones are served by their own nodes', 'a:80 b:80', 'n1:a:100 n2:b:100', 'a=n1:100 b=n2:100'",
        "'a zone without a node is shared by all in proportion to the capacity that they have left', 'a:40 c:60', 'n1:a:100 n2:b:100', 'a=n1:100 c=n1:40,n2:80'",
        "'a zone beyond the capacity of its nodes is shared by all', 'a:90 b:10', 'n1:a:100 n2:b:100', 'b=n2:100 a=n1:80,n2:70'",
        "'two nodes of a zone share it in proportion to their capacity', 'a:100', 'n1:a:100 n2:a:50', 'a=n1:100,n2:50'",
        "'a full node gets no workers of other zones', 'a:80 c:10', 'n1:a:100 n2:b:100', 'a=n1:100 c=n2:80'",
        "'workers beyond the capacity of all nodes are still assigned to one', 'a:80 b:80 c:500', 'n1:a:100 n2:b:100', 'a=n1:100 b=n2:100 c=n1:100,n2:100'",
        "'there are no shares without nodes', 'a:10', '', ''",
    )
    fun `a zone is shared by its own nodes if they have the capacity, otherwise by all nodes`(
        name: String,
        demand: String,
        nodes: String,
        expected: String,
    ) {
        val workers = demand.split(' ').associate { it.substringBefore(':') to it.substringAfter(':').toInt() }
        val sessionNodes = nodes.split(' ').filter {
            it.isNotEmpty()
        }.map { node -> node.split(':').let { SessionNode(it[0], it[1], it[2].toInt()) } }
        val shares = SessionShares.computeByZone(workers, sessionNodes)
        assertEquals(
            expected,
            shares.entries.joinToString(" ") { (zone, zoneShares) ->
                "$zone=${zoneShares.joinToString(",") { "${it.node}:${it.weight}" }}"
            },
            name,
        )
    }
}

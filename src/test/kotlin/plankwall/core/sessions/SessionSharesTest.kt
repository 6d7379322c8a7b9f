package plankwall.core.sessions

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.wire.SessionPlan
import plankwall.wire.SessionShare

/** Which node serves which worker: the same on every node, stable, own zone first, within the nodes' capacity. */
class SessionSharesTest {
    private val machines = List(6_000) { "i-%06d".format(it) }

    private fun plan(nodes: Map<String, Int>) =
        SessionPlan(7, mapOf("a" to nodes.map { SessionShare(it.key, it.value) }))

    private fun assignments(nodes: Map<String, Int>): Map<String, String> = plan(nodes).let { plan ->
        machines.associateWith { SessionAssignment.nodeFor(plan, it, "a")!! }
    }

    @Test
    fun `workers are spread by weight`() {
        val counts = assignments(mapOf("n1" to 100, "n2" to 100, "n3" to 200)).values.groupingBy { it }.eachCount()
        assertTrue(
            counts.getValue("n1") in 1_400..1_600 &&
                counts.getValue("n2") in 1_400..1_600 &&
                counts.getValue("n3") in 2_850..3_150,
            "$counts",
        )
    }

    @Test
    fun `a node that joins or leaves moves only what it gets or had`() {
        val four = assignments(mapOf("n1" to 9, "n2" to 9, "n3" to 9, "n4" to 9))
        val three = assignments(mapOf("n1" to 9, "n2" to 9, "n3" to 9))
        machines.filter { four[it] != "n4" }.forEach { assertEquals(four[it], three[it], it) }
        val moved = machines.filter { four[it] == "n4" }.groupingBy { three.getValue(it) }.eachCount()
        assertEquals(setOf("n1", "n2", "n3"), moved.keys)
    }

    @Test
    fun `a zone that the plan does not name comes to the leader`() =
        assertNull(SessionAssignment.nodeFor(plan(mapOf("n1" to 1)), "i-000001", "b"))

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, workers by zone, nodes as name:zone:capacity, shares by zone
        "'own zone first', 'a:80 b:80', 'n1:a:100 n2:b:100', 'a=n1:100 b=n2:100'",
        "'a zone without a node goes to all, by the capacity they have left', 'a:40 c:60', 'n1:a:100 n2:b:100', 'a=n1:100 c=n1:40,n2:80'",
        "'a zone beyond the capacity of its nodes goes to all', 'a:90 b:10', 'n1:a:100 n2:b:100', 'b=n2:100 a=n1:80,n2:70'",
        "'two nodes of a zone by their capacity', 'a:100', 'n1:a:100 n2:a:50', 'a=n1:100,n2:50'",
        "'a full node gets nothing of other zones', 'a:80 c:10', 'n1:a:100 n2:b:100', 'a=n1:100 c=n2:80'",
        "'what exceeds all capacity still has a node to ask', 'a:80 b:80 c:500', 'n1:a:100 n2:b:100', 'a=n1:100 b=n2:100 c=n1:100,n2:100'",
        "'no node to serve', 'a:10', '', ''",
    )
    fun shares(name: String, demand: String, nodes: String, expected: String) {
        val workers = demand.split(' ').associate { it.substringBefore(':') to it.substringAfter(':').toInt() }
        val given = nodes.split(' ').filter {
            it.isNotEmpty()
        }.map { node -> node.split(':').let { SessionNode(it[0], it[1], it[2].toInt()) } }
        val shares = SessionShares.computeByZone(workers, given)
        assertEquals(
            expected,
            shares.entries.joinToString(" ") { (zone, s) ->
                "$zone=${s.joinToString(",") { "${it.node}:${it.weight}" }}"
            },
            name,
        )
    }
}

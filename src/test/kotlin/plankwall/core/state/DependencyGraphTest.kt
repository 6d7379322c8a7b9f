package plankwall.core.state

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** What follows from how jobs end, on graphs written as `job:those it needs`. */
class DependencyGraphTest {
    private val graph = DependencyGraph()

    private fun words(text: String?): List<String> = text.orEmpty().split(' ').filter { it.isNotEmpty() }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
        // graph, what happens, ready, withdrawn
        "'b:a', '', '', ''",
        "'b:a', '+a', 'b', ''",
        "'b:a c:b', '+a', 'b', ''",
        "'b:a c:b', '+a +b', 'b c', ''",
        "'b:a c:b', '-a', '', 'b c'",
        "'b:a c:b', '+a -b', 'b', 'c'",
        "'c:a,b', '+a', '', ''",
        "'c:a,b', '+b +a', 'c', ''",
        "'c:a,b', '+a -b', '', 'c'",
        "'c:a,b', '-b +a', '', 'c'",
        "'b:a c:a d:b,c', '+a +b +c', 'b c d', ''",
        "'b:a c:a d:b,c', '-a', '', 'b c d'",
        "'c:b b:a', '-a', '', 'b c'",
        "'b:a', '-a +a', '', 'b'",
    )
    fun `ends spread`(jobs: String, events: String, ready: String, cancelled: String) {
        val told = ArrayList<String>()
        words(jobs).forEach { told += graph.add(it.substringBefore(':'), it.substringAfter(':').split(',')) }
        val all = words(jobs).map { it.substringBefore(':') }
        val becameReady = ArrayList<String>()
        for (e in words(events)) {
            if (e[0] ==
                '+'
            ) {
                becameReady += graph.done(e.drop(1))
            } else {
                told += graph.cancelled(e.drop(1))
            }
        }
        assertEquals(words(ready), becameReady.sorted(), "became ready")
        assertEquals(words(cancelled), told.sorted(), "told as withdrawn")
        assertEquals(words(cancelled), all.filter { graph.isCancelled(it) && "-$it" !in words(events) }.sorted())
    }

    @Test
    fun `a job that comes after the end of one it names, and whose dependents came before it`() {
        graph.add("c", listOf("b"))
        graph.cancelled("a")
        assertEquals(listOf("b", "c"), graph.add("b", listOf("a")))
        assertEquals(emptyList<String>(), graph.add("b", listOf("a")), "once")
    }

    @Test
    fun `what nobody knows the end of is asked for, through live jobs too`() {
        graph.add("b", listOf("a"))
        graph.add("c", listOf("b", "x"))
        assertEquals(setOf("a", "x"), graph.unsettled("c") { it in setOf("a", "x") })
        graph.done("x")
        graph.over("x")
        assertEquals(setOf("a"), graph.unsettled("c") { it == "a" })
        assertEquals(emptySet<String>(), graph.unsettled("a") { true })
    }

    @Test
    fun `a chain of a hundred thousand and a job with as many dependents`() {
        for (n in 1..100_000) graph.add("c$n", listOf("c${n - 1}"))
        for (n in 1..100_000) graph.add("w$n", listOf("c50000"))
        assertEquals(setOf("c0"), graph.unsettled("c100000") { it == "c0" })
        assertEquals(150_000, graph.cancelled("c50000").size)
        assertFalse(graph.isCancelled("c49999"))
        assertTrue(graph.isCancelled("c100000"))
    }
}

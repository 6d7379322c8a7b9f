package plankwall.core.state

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Tests what follows from the ends of jobs, on graphs that are written as `job:dependency,dependency` for each job. */
class DependencyGraphTest {
    private val graph = DependencyGraph()

    private fun splitWords(text: String?): List<String> = text.orEmpty().split(' ').filter { it.isNotEmpty() }

    @ParameterizedTest(name = "graph {0}, ends {1}")
    @CsvSource(
        // graph, ends of jobs in order (+: done, -: cancelled), jobs that become ready, jobs that are cancelled thereby
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
    fun `the end of a job makes its dependents ready or cancels them`(
        jobs: String,
        events: String,
        ready: String,
        cancelled: String,
    ) {
        val cancelledBy = ArrayList<String>()
        splitWords(jobs).forEach {
            cancelledBy += graph.add(it.substringBefore(':'), it.substringAfter(':').split(','))
        }
        val allJobs = splitWords(jobs).map { it.substringBefore(':') }
        val becameReady = ArrayList<String>()
        for (event in splitWords(events)) {
            if (event.startsWith('+')) {
                becameReady += graph.markDone(event.drop(1))
            } else {
                cancelledBy += graph.markCancelled(event.drop(1))
            }
        }
        assertEquals(splitWords(ready), becameReady.sorted(), "became ready")
        assertEquals(splitWords(cancelled), cancelledBy.sorted(), "reported as cancelled")
        assertEquals(
            splitWords(cancelled),
            allJobs.filter {
                graph.isCancelled(it) && "-$it" !in splitWords(events)
            }.sorted(),
        )
    }

    @Test
    fun `a job added after a dependency was cancelled is cancelled with its earlier dependents`() {
        graph.add("c", listOf("b"))
        graph.markCancelled("a")
        assertEquals(listOf("b", "c"), graph.add("b", listOf("a")))
        assertEquals(emptyList<String>(), graph.add("b", listOf("a")), "once")
    }

    @Test
    fun `dependencies of unknown outcome are found through live jobs too`() {
        graph.add("b", listOf("a"))
        graph.add("c", listOf("b", "x"))
        assertEquals(setOf("a", "x"), graph.unresolved("c") { it in setOf("a", "x") })
        graph.markDone("x")
        graph.forget("x")
        assertEquals(setOf("a"), graph.unresolved("c") { it == "a" })
        assertEquals(emptySet<String>(), graph.unresolved("a") { true })
    }

    @Test
    fun `a cancellation reaches all dependents in a chain of a hundred thousand and of a job with as many`() {
        for (n in 1..100_000) graph.add("c$n", listOf("c${n - 1}"))
        for (n in 1..100_000) graph.add("w$n", listOf("c50000"))
        assertEquals(setOf("c0"), graph.unresolved("c100000") { it == "c0" })
        assertEquals(150_000, graph.markCancelled("c50000").size)
        assertFalse(graph.isCancelled("c49999"))
        assertTrue(graph.isCancelled("c100000"))
    }
}

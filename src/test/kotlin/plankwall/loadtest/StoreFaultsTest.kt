package plankwall.loadtest

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.Random

/** Tests which calls of the state service the faults of a load test affect. */
class StoreFaultsTest {
    private val faults = StoreFaults(Random(1))

    private fun draw(node: Int, isTransaction: Boolean = false, isWatch: Boolean = false): StoreCallFate =
        faults.draw(node, isTransaction, isWatch)

    @Test
    fun `without a fault every call is executed and answered`() {
        repeat(100) { assertEquals(StoreCallFate.NORMAL, draw(it % 3, isTransaction = it % 2 == 0)) }
    }

    @Test
    fun `each fault affects only the controllers and the kinds of calls that it is for`() {
        faults.refusedNodes.add(1)
        assertEquals(listOf(StoreCallFate.NORMAL, StoreCallFate.REFUSED), listOf(draw(0), draw(1)))
        faults.slowShare = 1.0
        assertEquals(StoreCallFate.SLOW, draw(0))
        assertEquals(StoreCallFate.NORMAL, draw(0, isWatch = true))
        faults.lostAnswerShare = 1.0
        assertEquals(StoreCallFate.ANSWER_LOST, draw(0, isTransaction = true))
        faults.lateWriteShare = 1.0
        assertEquals(StoreCallFate.EXECUTED_LATE, draw(0, isTransaction = true))
        assertEquals(StoreCallFate.REFUSED, draw(1, isTransaction = true))
        assertEquals(
            mapOf(StoreCallFate.NORMAL to 2, StoreCallFate.REFUSED to 2),
            faults.counts.filterValues {
                it == 2
            },
        )
    }
}

package plankwall.core.queue

import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class DeadlineFeasibilityTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, work of each, due of each, busy before, chosen
        "'room for all', 10 10 10, 100 100 100, 0, 0 1 2",
        "'by due, not by order given', 10 10, 100 50, 0, 1 0",
        "'the largest is left out for two smaller ones', 90 20 30, 100 100 100, 0, 1 2",
        "'a small one that is late already does not push out anybody', 5 20, -1 100, 0, 1",
        "'what runs already comes first', 40 30 20, 60 60 60, 25, 2",
        "'one by one is better than one large', 60 50 50 50, 60 160 160 160, 0, 1 2 3",
        "'nothing waits', '', '', 50, ''",
    )
    fun `serves as many as possible in time`(
        name: String,
        works: String,
        dues: String,
        loadS: Double,
        expected: String,
    ) {
        fun numbers(text: String) = text.split(' ').filter { it.isNotEmpty() }.map { it.toDouble() }
        val lots = numbers(works).zip(numbers(dues)).mapIndexed { i, (work, due) -> PendingWork(i, work, due) }
        assertEquals(expected, DeadlineFeasibility.selectFeasible(lots, loadS).joinToString(" ") { it.job.toString() })
    }

    /** Every subset of up to nine jobs, in the best order there is for it, against the choice made. */
    @Test
    fun `agrees with exhaustive search`() {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(26L)
        repeat(2_000) { round ->
            val lots =
                List(1 + random.nextInt(9)) {
                    PendingWork(it, 1.0 + random.nextInt(30), (random.nextInt(100) - 5).toDouble())
                }
            val loadS = random.nextInt(20).toDouble()
            val byDue = lots.sortedBy { it.dueS }
            val most = (0 until (1 shl lots.size)).filter { subset ->
                var sum = loadS
                byDue.filter { subset and (1 shl it.job) != 0 }.all {
                    sum += it.workS
                    sum <= it.dueS
                }
            }.maxOf { Integer.bitCount(it) }
            assertEquals(most, DeadlineFeasibility.selectFeasible(lots, loadS).size, "round $round")
        }
    }

    /** New work that never ends leaves those behind their eighth, and they take no more, however unevenly it comes. */
    @Test
    fun `what is out of reach gets its part and no more`() {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(27L)
        val overdueShare = OverdueShare()
        val given = doubleArrayOf(0.0, 0.0)
        repeat(5_000) {
            val behind = overdueShare.isDue
            val workS = random.nextDouble() * 3
            overdueShare.onPlaced(if (behind) Feasibility.OUT_OF_REACH else Feasibility.LATE, workS, anyOverdue = true)
            given[if (behind) 1 else 0] += workS
        }
        assertEquals(OverdueShare.OVERDUE_PART, given[1] / given.sum(), 0.01)
        overdueShare.onPlaced(Feasibility.IN_TIME, 100.0, anyOverdue = false)
        assertEquals(false, overdueShare.isDue, "nothing is owed to nobody")
    }
}

package plankwall.core.queue

import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Tests which jobs are selected to end in time, and the part of the capacity that jobs out of reach get. */
class DeadlineFeasibilityTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, seconds of work of each job, seconds until each is due, seconds for which the pool is busy before,
        // selected jobs
        "'all jobs fit', 10 10 10, 100 100 100, 0, 0 1 2",
        "'jobs are served by due time, not in the given order', 10 10, 100 50, 0, 1 0",
        "'the largest job is left out for two smaller ones', 90 20 30, 100 100 100, 0, 1 2",
        "'a small job that is already late displaces no other', 5 20, -1 100, 0, 1",
        "'work that runs already comes first, and only the smallest job fits after it', 40 30 20, 60 60 60, 25, 2",
        "'three smaller jobs go before one large one', 60 50 50 50, 60 160 160 160, 0, 1 2 3",
        "'no job waits', '', '', 50, ''",
    )
    fun `as many jobs as possible are selected to end in time`(
        name: String,
        workTimes: String,
        dueTimes: String,
        busyS: Double,
        expected: String,
    ) {
        fun parseNumbers(text: String) = text.split(' ').filter { it.isNotEmpty() }.map { it.toDouble() }
        val pendingWorks = parseNumbers(workTimes).zip(parseNumbers(dueTimes)).mapIndexed { index, (workS, dueS) ->
            PendingWork(index, workS, dueS)
        }
        assertEquals(
            expected,
            DeadlineFeasibility.selectFeasible(pendingWorks, busyS).joinToString(" ") {
                it.job.toString()
            },
        )
    }

    /**
     * Compares the selection with every subset of up to nine jobs. Each subset is tried in the order of its due times,
     * which is the best order for it.
     */
    @Test
    fun `the selection is as large as the largest subset that exhaustive search finds to end in time`() {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(26L)
        repeat(2_000) { round ->
            val pendingWorks =
                List(1 + random.nextInt(9)) {
                    PendingWork(it, 1.0 + random.nextInt(30), (random.nextInt(100) - 5).toDouble())
                }
            val busyS = random.nextInt(20).toDouble()
            val byDue = pendingWorks.sortedBy { it.dueS }
            val mostInTime = (0 until (1 shl pendingWorks.size)).filter { subset ->
                var endS = busyS
                byDue.filter { subset and (1 shl it.job) != 0 }.all {
                    endS += it.workS
                    endS <= it.dueS
                }
            }.maxOf { Integer.bitCount(it) }
            assertEquals(mostInTime, DeadlineFeasibility.selectFeasible(pendingWorks, busyS).size, "round $round")
        }
    }

    /**
     * Guards against jobs out of reach that never run, or run too much: while other jobs never stop arriving they get
     * an eighth of the capacity and no more, however unevenly the work is sized.
     */
    @Test
    fun `jobs out of reach get their part of the capacity and no more while other jobs keep arriving`() {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(27L)
        val overdueShare = OverdueShare()
        val givenS = doubleArrayOf(0.0, 0.0)
        repeat(5_000) {
            val servesOverdue = overdueShare.isDue
            val workS = random.nextDouble() * 3
            overdueShare.onPlaced(
                if (servesOverdue) Feasibility.OUT_OF_REACH else Feasibility.LATE,
                workS,
                anyOverdue = true,
            )
            givenS[if (servesOverdue) 1 else 0] += workS
        }
        assertEquals(OverdueShare.OVERDUE_PART, givenS[1] / givenS.sum(), 0.01)
        overdueShare.onPlaced(Feasibility.IN_TIME, 100.0, anyOverdue = false)
        assertEquals(false, overdueShare.isDue, "nothing is owed where no job is out of reach")
    }
}

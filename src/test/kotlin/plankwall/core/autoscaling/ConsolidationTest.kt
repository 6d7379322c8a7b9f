package plankwall.core.autoscaling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.fixtures.CoreParts
import plankwall.model.Resources
import plankwall.simulation.SimulatedCluster

/** What the fleet could do without, and how much work is to be expected. */
class ConsolidationTest {
    private val core = CoreParts()
    private var jobs = 0

    private fun job(tasks: Int) = core.learn(SimulatedCluster.job(++jobs, tasks = tasks))

    @ParameterizedTest(name = "{0}: {1} accelerators in use, {2} more needed")
    @CsvSource(
        // Hundreds of machines with a task or two on each were kept for ever, none of them empty.
        "'a task on each of four', '1 1 1 1', 0, '0 1 2'",
        "'some room is to be kept', '1 1 1 1', 5, '0'",
        "'more room is to be kept', '1 1 1 1', 9, ''",
        "'the emptiest first', '4 1 3 0', 0, '1 3'",
        "'all full', '4 4 4 4', 0, ''",
        "'not quite a machine to spare', '3 3 3 4', 0, ''",
    )
    fun `the emptiest machines are surplus as long as the others could do their work`(
        name: String,
        used: String,
        needed: Long,
        surplus: String,
    ) {
        val machines = used.split(' ').mapIndexed { i, n ->
            val m = core.machine("i-$i")
            val job = job(maxOf(1, n.toInt()))
            repeat(n.toInt()) { core.schedulerState.place(job, it, m, it.toLong()) }
            m
        }
        Consolidation(core.fleet).refresh(machines, Resources(0, needed * 1000, 0))
        assertEquals(surplus, machines.indices.filter { machines[it].surplus }.joinToString(" "), name)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "'steady', '2 2 2 2 2 2', 2",
        "'a burst at the start is no trend', '90 60 2 2 2 2 2', 2",
        "'nor is one great job', '2 2 2 80 2 2 2', 2",
        "'too little seen', '9 9', 0",
    )
    fun `expects what usually comes`(name: String, perBucket: String, expected: Long) {
        val rate = ArrivalRate()
        (perBucket.split(' ') + "0").forEachIndexed { i, tasks ->
            rate.record(i * 5.0, if (tasks == "0") emptyList() else listOf(job(tasks.toInt())))
        }
        assertEquals(expected, rate.expectedWithin(5.0).gpus / 1000, name)
    }
}

package plankwall.core.autoscaling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.fixtures.CoreParts
import plankwall.model.Resources
import plankwall.simulation.SimulatedCluster

/** Tests which machines count as surplus, and how much work is expected to arrive. */
class ConsolidationTest {
    private val core = CoreParts()
    private var jobCount = 0

    private fun learnJob(tasks: Int) = core.learn(SimulatedCluster.job(++jobCount, tasks = tasks))

    @ParameterizedTest(name = "{0}: {1} accelerators in use, {2} to keep free")
    @CsvSource(
        // name, accelerators in use on each machine, accelerators to keep free, surplus machines
        // Guards against a fleet that never shrinks: hundreds of machines with a task or two on each were kept for
        // ever, since none of them was empty.
        "'three of four machines with one task each are surplus', '1 1 1 1', 0, '0 1 2'",
        "'fewer machines are surplus when some capacity is to be kept', '1 1 1 1', 5, '0'",
        "'no machine is surplus when much capacity is to be kept', '1 1 1 1', 9, ''",
        "'the emptiest machines are surplus first', '4 1 3 0', 0, '1 3'",
        "'no machine is surplus when all are full', '4 4 4 4', 0, ''",
        "'no machine is surplus when less than a machine is free', '3 3 3 4', 0, ''",
    )
    fun `the emptiest machines are surplus as long as their tasks would fit on the others`(
        name: String,
        usedByMachine: String,
        toKeep: Long,
        expectedSurplus: String,
    ) {
        val machines = usedByMachine.split(' ').mapIndexed { index, used ->
            val machine = core.machine("i-$index")
            val job = learnJob(maxOf(1, used.toInt()))
            repeat(used.toInt()) { core.schedulerState.place(job, it, machine, it.toLong()) }
            machine
        }
        Consolidation(core.fleet).refresh(machines, Resources(0, toKeep * 1000, 0))
        assertEquals(expectedSurplus, machines.indices.filter { machines[it].surplus }.joinToString(" "), name)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, tasks that arrived in each interval, tasks expected in the next
        "'a steady rate is expected to go on', '2 2 2 2 2 2', 2",
        "'a burst at the start is not expected again', '90 60 2 2 2 2 2', 2",
        "'one large job is not expected again', '2 2 2 80 2 2 2', 2",
        "'nothing is expected after too few intervals', '9 9', 0",
    )
    fun `the expected work is what usually arrives in an interval`(
        name: String,
        tasksByBucket: String,
        expected: Long,
    ) {
        val rate = ArrivalRate()
        (tasksByBucket.split(' ') + "0").forEachIndexed { index, tasks ->
            rate.record(index * 5.0, if (tasks == "0") emptyList() else listOf(learnJob(tasks.toInt())))
        }
        assertEquals(expected, rate.expectedWithin(5.0).gpus / 1000, name)
    }
}

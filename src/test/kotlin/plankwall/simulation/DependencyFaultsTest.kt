package plankwall.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import plankwall.fixtures.DependencyFixture

/** Tests of dependent jobs while controllers fail, the state service is unavailable or jobs are cancelled. */
class DependencyFaultsTest : DependencyFixture() {
    @ParameterizedTest(name = "fault is {0} at {1} s")
    @CsvSource(
        "none, 10", "leader crash, 22", "leader crash, 27", "leader crash, 34", "all crash, 24", "all crash, 33",
        "outage, 20", "outage, 26",
        "late writes, 25", "lost answers, 25",
    )
    fun `all jobs of a pipeline are done in dependency order despite a fault`(fault: String, faultAtS: Double) {
        val cluster = SimulatedCluster(faultAtS.toLong())
        cluster.pipeline(2.0)
        cluster.pipeline(4.0, first = 11, lateLast = 70.0)
        faultInjections.getValue(fault)(cluster, faultAtS)
        cluster.clock.runUntil(200.0)
        assertEquals(List(4) { "done" }, cluster.stages(1..4))
        assertEquals(
            List(4) {
                "done"
            },
            cluster.stages(11..14),
            "the last job was submitted after the others had ended",
        )
        cluster.assertSound()
    }

    @ParameterizedTest(name = "job {0} is cancelled at {1} s, fault is {2}")
    @CsvSource(
        "1, 5, none", "1, 20, leader crash", "1, 20, outage", "1, 18, all crash", "2, 5, leader crash",
        "2, 28, leader crash", "2, 28, outage",
        "3, 8, all crash", "4, 30, none", "4, 30, leader crash", "1, 20, late writes", "2, 25, lost answers",
    )
    fun `cancelling a job also cancels the jobs that depend on it and no others`(
        cancelledJob: Int,
        cancelAtS: Double,
        fault: String,
    ) {
        val cluster = SimulatedCluster(cancelledJob * 100L + cancelAtS.toLong())
        cluster.pipeline(2.0)
        cluster.clock.after(cancelAtS) { cluster.cancel("job-%06d".format(cancelledJob)) }
        faultInjections.getValue(fault)(cluster, cancelAtS + 0.05)
        // Job 5 is submitted at the moment of the cancellation, job 6 a minute later.
        cluster.clock.after(cancelAtS) {
            cluster.submit(SimulatedCluster.job(5, tasks = 1, after = listOf(cancelledJob)))
        }
        cluster.clock.after(cancelAtS + 60.0) { cluster.submit(SimulatedCluster.job(6, tasks = 1, after = listOf(5))) }
        cluster.clock.runUntil(cancelAtS + 130.0)
        val finalStages = cluster.stages(1..6)
        val dependenciesByJob = mapOf(
            1 to emptyList(),
            2 to listOf(1),
            3 to listOf(1),
            4 to listOf(2, 3),
            5 to listOf(cancelledJob),
            6 to listOf(5),
        )
        for ((job, dependencies) in dependenciesByJob) {
            val expected = if (dependencies.any { finalStages[it - 1] == "withdrawn" } ||
                (job == cancelledJob && finalStages[job - 1] != "done")
            ) {
                "withdrawn"
            } else {
                "done"
            }
            assertEquals(expected, finalStages[job - 1], "job $job of $finalStages")
        }
        cluster.assertSound()
    }

    @Test
    fun `a job that completes while it is cancelled ends in the same stage as its dependent job`() {
        val outcomes = HashSet<String?>()
        for (step in 0 until 24) {
            val cluster = SimulatedCluster(500L + step, nodeCount = 1)
            cluster.clock.after(2.0) {
                cluster.submit(SimulatedCluster.job(1, tasks = 1, runS = 8.0))
                cluster.submit(SimulatedCluster.job(2, tasks = 1, runS = 2.0, after = listOf(1)))
            }
            while (cluster.checker.starts == 0) cluster.clock.runUntil(cluster.clock.now + 0.01)
            cluster.clock.after(7.8 + 0.05 * step) { cluster.cancel("job-000001") }
            cluster.clock.runUntil(cluster.clock.now + 60.0)
            val (firstStage, secondStage) = cluster.stages(1..2)
            assertEquals(firstStage, secondStage)
            outcomes.add(firstStage)
            cluster.assertSound()
        }
        assertEquals(setOf<String?>("done", "withdrawn"), outcomes, "not both outcomes of the race occurred")
    }

    @Test
    fun `a new leader reads how dependencies ended before it starts jobs that depend on them`() {
        val cluster = SimulatedCluster(31)
        cluster.clock.after(2.0) {
            cluster.submit(SimulatedCluster.job(1, tasks = 1, runS = 5.0))
            cluster.submit(SimulatedCluster.job(2, tasks = 1, runS = 60.0))
            cluster.submit(SimulatedCluster.job(3, tasks = 2, runS = 5.0, after = listOf(1, 2)))
        }
        cluster.clock.runUntil(40.0)
        assertEquals(listOf("done", "running", "pending"), cluster.stages(1..3))
        cluster.nodes.forEach { it.crash(5.0) }
        cluster.clock.runUntil(140.0)
        assertEquals(List(3) { "done" }, cluster.stages(1..3))
        cluster.assertSound()
    }

    @ParameterizedTest
    @ValueSource(longs = [81, 82, 83])
    fun `pipelines end as expected in a rolling restart under load with shrinking store limits`(seed: Long) {
        val cluster = SimulatedCluster(seed, stateNext = smaller)
        for (n in 100..140) {
            cluster.clock.after(1.0 + (n - 100)) {
                cluster.submit(
                    SimulatedCluster.job(
                        n,
                        tasks = 4,
                        runS = 25.0,
                        spot = n % 2 == 0,
                    ),
                )
            }
        }
        cluster.pipeline(20.0)
        cluster.pipeline(40.0, first = 11)
        cluster.pipeline(62.0, first = 21)
        for (n in 0..2) cluster.clock.after(30.0 + 15.0 * n) { cluster.nodes[n].crash(6.0) }
        cluster.clock.after(65.0) { cluster.state.limits = smaller }
        cluster.clock.after(80.0) { cluster.cancel("job-000022") }
        cluster.clock.runUntil(260.0)
        assertEquals(List(4) { "done" }, cluster.stages(1..4))
        assertEquals(listOf("done", "withdrawn", "done", "withdrawn"), cluster.stages(21..24))
        assertEquals(
            emptyMap<String, Int>(),
            cluster.state.rejectionCounts,
            "requests beyond the announced limits were rejected",
        )
        cluster.assertSound()
    }
}

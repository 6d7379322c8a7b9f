package plankwall.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import plankwall.model.GroupKey
import plankwall.model.JobSpec

/** Tests that [RuleChecker] reports violations: each of its rules is broken on purpose, once or in several ways. */
class RuleCheckerTest {
    private val cluster = SimulatedCluster(1)
    private val workerInZoneA = SimulatedWorker(cluster, "i-000001", GroupKey("box", "a", false))
    private val workerInZoneB = SimulatedWorker(cluster, "i-000002", GroupKey("box", "b", false))
    private val spotWorker = SimulatedWorker(cluster, "i-000003", GroupKey("box", "a", true))

    private fun RuleChecker.start(spec: JobSpec, task: Int, worker: SimulatedWorker) =
        taskStarted("${spec.id}/$task", spec, worker, 10.0)

    private val violatingEvents: Map<String, RuleChecker.() -> Unit> = mapOf(
        "ran_twice" to {
            SimulatedCluster.job(1).let {
                start(it, 0, workerInZoneA)
                start(it, 0, workerInZoneB)
            }
        },
        "quota" to
            {
                SimulatedCluster.job(1, tasks = 17, team = "red").let { spec ->
                    repeat(17) { start(spec, it, workerInZoneA) }
                }
            },
        "wrong_place" to { start(SimulatedCluster.job(1, spot = false), 0, spotWorker) },
        "ran_cancelled" to {
            start(SimulatedCluster.job(1), 0, workerInZoneA)
            cancelRequested("job-000001")
            cancelAnswered("job-000001", "withdrawn", 10.0)
            checkCancelled(10.1 + cluster.settings.workers.cancelS)
        },
        "forgotten" to {
            submissionAnswered(SimulatedCluster.job(1), 201)
            statusAnswered("job-000001", 404, null, 20.0)
        },
        "invented" to { statusAnswered("job-000009", 200, "pending", 20.0) },
        "not_done" to
            {
                submissionAnswered(SimulatedCluster.job(1), 201)
                taskCompleted("job-000001/0")
                statusAnswered("job-000001", 200, "done", 20.0)
            },
        "went_back" to {
            submissionAnswered(SimulatedCluster.job(1, tasks = 1), 201)
            taskCompleted("job-000001/0")
            statusAnswered("job-000001", 200, "done", 20.0)
            statusAnswered("job-000001", 200, "running", 25.0)
        },
        "too_early" to {
            submissionAnswered(SimulatedCluster.job(1, tasks = 2), 201)
            taskCompleted("job-000001/0")
            start(SimulatedCluster.job(2, after = listOf(1)), 0, workerInZoneA)
        },
        "forgotten in calm" to {
            submissionAnswered(SimulatedCluster.job(1), 201)
            faultsOverAt = 50.0
            // As no poll of any job is answered, unanswered polls count only from the last fault on, and break the rule
            // 75 s later.
            (0..26).forEach { pollEnded("job-000001", false, 20.0 + it * 4.0) }
            check(violations.isEmpty())
            pollEnded("job-000001", false, 130.0)
        },
        "forgotten on repeating" to {
            submissionAnswered(SimulatedCluster.job(1), 201, 5.0)
            submissionAnswered(SimulatedCluster.job(1), 404, 9.0, null, 8.0)
        },
        "forgotten as invalid" to {
            submissionAnswered(SimulatedCluster.job(1), 201, 5.0)
            submissionAnswered(SimulatedCluster.job(1), 400, 9.0, null, 8.0)
        },
        "went_back on repeating" to {
            submissionAnswered(SimulatedCluster.job(1, tasks = 1), 201, 5.0, "pending")
            taskCompleted("job-000001/0")
            statusAnswered("job-000001", 200, "done", 20.0)
            // A request sent before the first answer `done` may still get the earlier stage.
            submissionAnswered(SimulatedCluster.job(1, tasks = 1), 200, 20.01, "pending", 19.99)
            check(violations.isEmpty())
            submissionAnswered(SimulatedCluster.job(1, tasks = 1), 200, 20.02, "pending", 20.01)
        },
        "went_back on cancelling" to {
            submissionAnswered(SimulatedCluster.job(1, tasks = 1), 201, 5.0)
            taskCompleted("job-000001/0")
            statusAnswered("job-000001", 200, "done", 20.0)
            cancelRequested("job-000001")
            cancelAnswered("job-000001", "withdrawn", 21.0, 19.0)
        },
        "stalled" to {
            submissionAnswered(SimulatedCluster.job(1), 201)
            submissionAnswered(SimulatedCluster.job(2, tasks = 4), 201)
            faultsOverAt = 10.0
            // Job 1 may wait while the only machine is full. Job 2 does not wait, since all of its tasks run.
            repeat(4) { start(SimulatedCluster.job(2, tasks = 4), it, workerInZoneA) }
            (0..20).forEach {
                checkStalled(mapOf(workerInZoneA to SimulatedCluster.CATALOG.types.first().capacity), 20.0 + it * 5.0)
            }
            check(violations.isEmpty())
            taskStopped("job-000002/0", workerInZoneA, 121.0)
            taskCompleted("job-000002/0")
            (0..19).forEach {
                checkStalled(mapOf(workerInZoneA to SimulatedCluster.CATALOG.types.first().capacity), 125.0 + it * 5.0)
            }
        },
        "orphaned" to {
            submissionAnswered(SimulatedCluster.job(1), 201)
            submissionAnswered(SimulatedCluster.job(2, after = listOf(1)), 201)
            submissionAnswered(SimulatedCluster.job(3, after = listOf(2)), 201)
            cancelRequested("job-000001")
            cancelAnswered("job-000001", "withdrawn", 10.0)
            statusAnswered("job-000003", 200, "pending", 9.9 + cluster.settings.workers.cancelS)
            statusAnswered("job-000003", 200, "pending", 10.1 + cluster.settings.workers.cancelS)
        },
    )

    @ParameterizedTest
    @ValueSource(
        strings = [
            "ran_twice", "quota", "wrong_place", "ran_cancelled", "forgotten", "invented", "not_done", "went_back",
            "too_early", "orphaned",
            "forgotten in calm", "forgotten on repeating", "forgotten as invalid", "went_back on repeating",
            "went_back on cancelling", "stalled",
        ],
    )
    fun `a violation of a rule is recorded under the name of the rule`(rule: String) {
        val checker = RuleChecker(cluster.settings)
        violatingEvents.getValue(rule)(checker)
        assertEquals(listOf(rule.substringBefore(' ')), checker.violations.map { it.substringBefore(':') }.distinct())
    }

    @Test
    fun `a start command after a confirmed cancellation is counted`() {
        val checker = RuleChecker(cluster.settings)
        checker.cancelRequested("job-000001")
        checker.startCommanded("job-000001", 9.0)
        checker.cancelAnswered("job-000001", "withdrawn", 10.0)
        checker.startCommanded("job-000001", 10.5)
        assertEquals(1, checker.startsAfterCancel)
    }

    @ParameterizedTest
    @ValueSource(strings = ["zone", "spread"])
    fun `tasks placed against the zone or spread constraint of their job are a violation`(constraint: String) {
        val checker = RuleChecker(cluster.settings)
        val spec = SimulatedCluster.job(1, tasks = 2, oneZone = constraint == "zone", spread = constraint == "spread")
        checker.start(spec, 0, workerInZoneA)
        checker.start(spec, 1, if (constraint == "zone") workerInZoneB else workerInZoneA)
        assertEquals(listOf("wrong_place"), checker.violations.map { it.substringBefore(':') })
    }

    @Test
    fun `an older answer to an overlapping request is listed and breaks no rule`() {
        val checker = RuleChecker(cluster.settings)
        checker.submissionAnswered(SimulatedCluster.job(1), 201)
        checker.cancelRequested("job-000001")
        checker.cancelAnswered("job-000001", "withdrawn", 20.0)
        checker.statusAnswered("job-000001", 200, "running", 20.4, askedAt = 19.9)
        assertEquals(1, checker.answersOvertaken.size)
        assertEquals(emptyList<String>(), checker.violations)
    }
}

package plankwall.loadtest

import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Tests the reading of load test plans, and that a plan which can't be run is refused before anything is started. */
class LoadTestPlanTest {
    private fun read(yaml: String) = LoadTestPlanFile.read(YAMLMapper().readTree(yaml))

    @Test
    fun `a plan is read, and a setting that it leaves out has its default`() {
        val plan =
            read(
                "{workers: 40, phases: {fault_s: 20}, work: {running: 24}, faults: [{at_s: 3, kind: peers_apart, target: region-1, for_s: 5}]}",
            )
        assertEquals(
            listOf(40, 24, LoadTestPlan().controllers),
            listOf(plan.workers, plan.work.running, plan.controllers),
        )
        assertEquals(FaultKind.PEERS_APART, plan.faults.single().kind)
        assertEquals(20.0, plan.phases.faultS)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "{workers: 0} | workers: 0",
            "{workers: many} | workers: many",
            "{worker: 10} | worker: unknown",
            "{phases: {idle_s: -1}} | phases.idle_s: -1",
            "{work: {cancel_share: 2}} | work.cancel_share: 2",
            "{phases: 3} | phases: must be a map",
            "{faults: [{kind: fire}]} | faults.kind: fire",
            "{faults: [{at_s: 1}]} | faults.kind: missing",
            "{faults: [{kind: state_slow, share: 2}]} | faults.share: 2",
            "{work: {repeat_requests: 3}} | work.repeat_requests: 3",
        ],
    )
    fun `a plan with an unknown key or an invalid value is refused with its key`(
        yaml: String,
        expectedProblem: String,
    ) {
        val message = assertThrows(InvalidLoadTestPlanException::class.java) { read(yaml) }.message.orEmpty()
        assertTrue(message.startsWith(expectedProblem), message)
    }

    @ParameterizedTest(name = "{0} workers, {1} controllers, {2} files, {3} MB, fits: {4}")
    @CsvSource(
        "500, 3, 20000, 24000, true",
        "6500, 15, 20000, 24000, true",
        "9000, 15, 20000, 24000, false",
        "500, 3, 2000, 24000, false",
        "500, 3, 20000, 2000, false",
        "500, 60, 20000, 24000, false",
    )
    fun `a plan that needs more open files, memory or processes than the machine has is refused`(
        workers: Int,
        controllers: Int,
        files: Long,
        memoryMb: Long,
        expectedFits: Boolean,
    ) {
        val plan = LoadTestPlan(workers = workers, controllers = controllers)
        val check = { LoadTestLimits.check(plan, files, memoryMb) }
        if (expectedFits) {
            check()
        } else {
            assertThrows(InvalidLoadTestPlanException::class.java) { check() }
        }
    }

    @Test
    fun `zones are assigned to regions in turn, and each team's maximum exceeds its guaranteed CPUs`() {
        val plan = LoadTestPlan(workers = 100, zones = 5, regions = 2, teams = 7)
        assertEquals(
            listOf("region-1", "region-2", "region-1", "region-2", "region-1"),
            plan.zoneNames.map(plan::regionOf),
        )
        val sharedSettings = LoadTestRun.sharedSettings(plan)
        assertEquals(7, sharedSettings.teams.size)
        assertTrue(sharedSettings.teams.all { it.cpusMax > it.cpus && it.cpus > 0 })
    }
}

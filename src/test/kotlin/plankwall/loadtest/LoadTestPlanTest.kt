package plankwall.loadtest

import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** What a scale run is told, and what it refuses before it starts anything. */
class LoadTestPlanTest {
    private fun read(yaml: String) = LoadTestPlanFile.read(YAMLMapper().readTree(yaml))

    @Test
    fun `a plan is read, and what it does not say is the default`() {
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
        ],
    )
    fun `a plan that can't be used is refused by its key`(yaml: String, reason: String) {
        val message = assertThrows(InvalidLoadTestPlanException::class.java) { read(yaml) }.message.orEmpty()
        assertTrue(message.startsWith(reason), message)
    }

    @ParameterizedTest(name = "{0} workers, {1} controllers, {2} files, {3} MB")
    @CsvSource(
        "500, 3, 20000, 24000, true",
        "6500, 15, 20000, 24000, true",
        "9000, 15, 20000, 24000, false",
        "500, 3, 2000, 24000, false",
        "500, 3, 20000, 2000, false",
        "500, 60, 20000, 24000, false",
    )
    fun `what does not fit this machine is refused`(
        workers: Int,
        controllers: Int,
        files: Long,
        memoryMb: Long,
        fits: Boolean,
    ) {
        val plan = LoadTestPlan(workers = workers, controllers = controllers)
        val check = { LoadTestLimits.check(plan, files, memoryMb) }
        if (fits) {
            check()
        } else {
            assertThrows(InvalidLoadTestPlanException::class.java) { check() }
        }
    }

    @Test
    fun `zones belong to regions in turn, and quotas leave room for the work`() {
        val plan = LoadTestPlan(workers = 100, zones = 5, regions = 2, teams = 7)
        assertEquals(
            listOf("region-1", "region-2", "region-1", "region-2", "region-1"),
            plan.zoneNames.map(plan::regionOf),
        )
        val shared = LoadTestRun.sharedSettings(plan)
        assertEquals(7, shared.teams.size)
        assertTrue(shared.teams.all { it.cpusMax > it.cpus && it.cpus > 0 })
    }
}

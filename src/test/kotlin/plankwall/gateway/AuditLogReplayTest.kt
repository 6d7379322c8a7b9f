package plankwall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import plankwall.audit.AuditLogVerifier
import plankwall.core.statemachine.Credentials
import plankwall.identity.PublicKey
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster
import plankwall.simulation.SimulatedWorker
import plankwall.wire.AuditSegment
import plankwall.wire.JobRecord
import plankwall.wire.Stored

/**
 * 20,000 requests, allowed and denied, over seven nodes on a bad day; then the trail against what callers were told.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class AuditLogReplayTest {
    private val world =
        SimulatedCluster(2026, 7, gatewaySettings = {
            Callers.settings(it, Callers.rights(red = RED), checkpointIntervalS = 15.0)
        })
    private val callers = Callers(world)

    init {
        world.clock.runUntil(5.0)
        for (n in 0 until REQUESTS) world.clock.after(n / 100.0) { request(n) }
        // Two outages, lost answers, late transactions, crashes of one node or of all.
        for ((from, to) in listOf(40.0 to 47.0, 120.0 to 132.0)) {
            world.clock.after(from) { world.state.outage = true }
            world.clock.after(to) { world.state.outage = false }
        }
        world.clock.after(60.0) { world.faults.answerLoss = 0.05 }
        world.clock.after(100.0) { world.faults.answerLoss = 0.0 }
        world.clock.after(70.0) { world.faults.lateWrites = 0.05 }
        world.clock.after(160.0) { world.faults.lateWrites = 0.0 }
        for (k in 0 until 20) world.clock.after(15.0 + k * 9.0) { world.nodes[k % 7].takeIf { it.isUp }?.crash(4.0) }
        world.clock.after(110.0) { world.nodes.filter { it.isUp }.forEach { it.crash(6.0) } }
        world.clock.after(150.0) {
            callers.publish("root", 1, Callers.rights(red = RED, more = "rule calm: deny submit to ben;"))
        }
        world.clock.after(170.0) { callers.publish("root", 2, Callers.rights(red = RED)) }
        world.clock.runUntil(REQUESTS / 100.0 + 80.0)
    }

    private fun request(n: Int) {
        val id = "job-%06d".format(world.random.nextInt(400))
        val who = listOf("ada", "ben", "cas", "eve")[world.random.nextInt(4)]
        when (world.random.nextInt(10)) {
            in 0..3 -> callers.submit(who, job(n + 1000))
            in 4..5 -> callers.submit(who, job(id.takeLast(6).toInt()))
            in 6..7 -> callers.show(who, id)
            8 -> callers.cancel(who, id)
            else -> callers.show(who, id, spoil = {
                Credentials(
                    it.method,
                    it.path,
                    it.body,
                    if (n % 2 == 0) {
                        null
                    } else {
                        it.authorization?.dropLast(3)
                    },
                    it.address,
                )
            })
        }
    }

    /** The number decides the team, so that one id is one job whoever submits it. */
    private fun job(n: Int) = SimulatedCluster.job(
        n,
        if (n % 200 == 0) {
            Shape.SERVICE
        } else {
            Shape.ARRAY
        },
        tasks = 1,
        runS = 2.0,
        team = if (n % 3 == 0) "blue" else "red",
    )

    private val stored: Map<String, Stored> by lazy {
        world.state.keys.associateWith { checkNotNull(world.state.value(it)) }
    }

    @Test
    fun `each decision stands in the trail exactly once, and none that was not made`() {
        val told = callers.asked.groupingBy { it.status }.eachCount()
        assertEquals(emptyList<String>(), AuditLogChecker(stored).check(callers.asked).take(10), "$told")
        for (status in listOf(
            0,
            200,
            201,
            401,
            403,
            503,
        )) {
            assertTrue((told[status] ?: 0) > 100, "status $status was met: $told")
        }
        assertEquals(REQUESTS + 2, callers.asked.size)
        assertEquals(emptyList<String>(), world.checker.violations)
    }

    @Test
    fun `the chains hold together and are sealed to within the last seal's time`() {
        val outcome = AuditLogVerifier { node, _ ->
            PublicKey.of("k1", Callers.KEYS.getValue(node).x)
        }.verify(AuditLogChecker(stored).copy)
        assertEquals(emptyList<String>(), outcome.failures.map { it.toString() })
        assertEquals(outcome.entryCount, outcome.sealedCounts.values.sum())
        assertTrue(outcome.entryCount > 10_000, "${outcome.entryCount}")
    }

    /**
     * Faults planted into what is stored or was told: an entry lost, doubled, moved, turned, or made up; a job
     * likewise.
     */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "lost", "twice", "another's", "turned", "made up", "job without entry", "entry without job",
            "told otherwise", "denial lost", "withdrawn by nobody",
        ],
    )
    fun `the checker finds what is planted`(fault: String) {
        val values = LinkedHashMap(stored)
        val asked = ArrayList(callers.asked)
        fun edit(pick: (com.fasterxml.jackson.databind.JsonNode) -> Boolean, change: (String) -> List<String>) {
            val (key, line) = values.filterValues { it is AuditSegment }.firstNotNullOf { (key, s) ->
                (s as AuditSegment).lines.firstOrNull { pick(SimulatedWorker.json.readTree(it)) }?.let { key to it }
            }
            val segment = values.getValue(key) as AuditSegment
            values[key] = segment.copy(lines = segment.lines.flatMap { if (it == line) change(it) else listOf(it) })
        }
        val answered = callers.asked.filter { it.status == 200 }.map { it.id }.toSet()
        when (fault) {
            "lost" -> edit({ it.path("q").asText() in answered }) { emptyList() }
            "twice" -> edit({ it.path("q").asText() in answered }) { listOf(it, it) }
            "another's" -> edit({
                it.path("q").asText() in answered && it.path("w").asText() == "ada"
            }) { listOf(it.replace("\"w\":\"ada\"", "\"w\":\"ben\"")) }
            "turned" -> edit({ it.path("q").asText() in answered }) { listOf(it.replace("\"ok\":1", "\"ok\":0")) }
            "made up" -> edit({
                it.path("q").asText() in answered
            }) { listOf(it, it.replace("\"q\":\"", "\"q\":\"x").replace("\"i\":\"", "\"i\":\"x")) }
            "job without entry" -> values["f/job-999999"] = values.getValue(values.keys.first { it.startsWith("f/") })
            "entry without job" -> values.remove(values.keys.first { it.startsWith("f/") })
            "told otherwise" -> asked.first { it.status == 403 }.let { a ->
                asked[asked.indexOf(a)] =
                    Callers.Asked(a.id, a.who, a.action, a.subject, a.at).also { it.status = 200 }
            }
            "denial lost" -> edit({ it.path("o").asInt() == 401 }) { emptyList() }
            else -> values["j/job-999999"] = JobRecord(SimulatedCluster.job(999999), 1, 5, 28)
        }
        assertTrue(AuditLogChecker(values).check(asked).isNotEmpty())
    }

    private companion object {
        const val REQUESTS = 20_000
        const val RED = "allow submit, resubmit, show, withdraw where team is red on revoke withdraw;"
    }
}

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
 * Sends 20,000 requests, allowed and denied, to seven controllers during outages, crashes and lost answers. Then
 * compares the audit log with the answers that the callers got.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class AuditLogReplayTest {
    private val cluster =
        SimulatedCluster(2026, 7, gatewaySettings = {
            Callers.settings(it, Callers.rights(redRules = RED_RULES), checkpointIntervalS = 15.0)
        })
    private val callers = Callers(cluster)

    init {
        cluster.clock.runUntil(5.0)
        for (n in 0 until REQUESTS) cluster.clock.after(n / 100.0) { sendRandomRequest(n) }
        // Two outages of the state service, lost answers, late transactions, crashes of one node or of all.
        for ((start, end) in listOf(40.0 to 47.0, 120.0 to 132.0)) {
            cluster.clock.after(start) { cluster.state.outage = true }
            cluster.clock.after(end) { cluster.state.outage = false }
        }
        cluster.clock.after(60.0) { cluster.faults.answerLoss = 0.05 }
        cluster.clock.after(100.0) { cluster.faults.answerLoss = 0.0 }
        cluster.clock.after(70.0) { cluster.faults.lateWrites = 0.05 }
        cluster.clock.after(160.0) { cluster.faults.lateWrites = 0.0 }
        for (n in 0 until 20) {
            cluster.clock.after(15.0 + n * 9.0) {
                cluster.nodes[n % 7].takeIf { it.isUp }?.crash(4.0)
            }
        }
        cluster.clock.after(110.0) { cluster.nodes.filter { it.isUp }.forEach { it.crash(6.0) } }
        cluster.clock.after(150.0) {
            callers.publish(
                "root",
                1,
                Callers.rights(redRules = RED_RULES, moreText = "rule calm: deny submit to ben;"),
            )
        }
        cluster.clock.after(170.0) { callers.publish("root", 2, Callers.rights(redRules = RED_RULES)) }
        cluster.clock.runUntil(REQUESTS / 100.0 + 80.0)
    }

    /** Sends request number [n]: a random action of a random caller, one in ten with a missing or truncated token. */
    private fun sendRandomRequest(n: Int) {
        val jobId = "job-%06d".format(cluster.random.nextInt(400))
        val principal = listOf("ada", "ben", "cas", "eve")[cluster.random.nextInt(4)]
        when (cluster.random.nextInt(10)) {
            in 0..3 -> callers.submit(principal, job(n + 1000))
            in 4..5 -> callers.submit(principal, job(jobId.takeLast(6).toInt()))
            in 6..7 -> callers.show(principal, jobId)
            8 -> callers.cancel(principal, jobId)
            else -> callers.show(principal, jobId, alterCredentials = {
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

    /** Returns the job with this number. The number determines the team, so that the same id is always the same job. */
    private fun job(number: Int) = SimulatedCluster.job(
        number,
        if (number % 200 == 0) {
            Shape.SERVICE
        } else {
            Shape.ARRAY
        },
        tasks = 1,
        runS = 2.0,
        team = if (number % 3 == 0) "blue" else "red",
    )

    /** All values in the state service after the last request, by key. */
    private val stored: Map<String, Stored> by lazy {
        cluster.state.keys.associateWith { checkNotNull(cluster.state.value(it)) }
    }

    @Test
    fun `the audit log holds each decision exactly once and no decision that was not made`() {
        val statusCounts = callers.sentRequests.groupingBy { it.status }.eachCount()
        assertEquals(emptyList<String>(), AuditLogChecker(stored).check(callers.sentRequests).take(10), "$statusCounts")
        for (status in listOf(
            0,
            200,
            201,
            401,
            403,
            503,
        )) {
            assertTrue((statusCounts[status] ?: 0) > 100, "too few answers with status $status: $statusCounts")
        }
        assertEquals(REQUESTS + 2, callers.sentRequests.size)
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @Test
    fun `the chains of the audit log are intact and their last entries are sealed`() {
        val outcome = AuditLogVerifier { node, _ ->
            PublicKey.of("k1", Callers.KEYS.getValue(node).x)
        }.verify(AuditLogChecker(stored).copy)
        assertEquals(emptyList<String>(), outcome.failures.map { it.toString() })
        assertEquals(outcome.entryCount, outcome.sealedCounts.values.sum())
        assertTrue(outcome.entryCount > 10_000, "${outcome.entryCount}")
    }

    /** Plants one fault into the stored values or the recorded answers. [fault] names it and selects it below. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "lost", "twice", "another's", "turned", "made up", "job without entry", "entry without job",
            "told otherwise", "denial lost", "withdrawn by nobody",
        ],
    )
    fun `the checker reports a lost, duplicated, changed or invented entry, answer or job`(fault: String) {
        val values = LinkedHashMap(stored)
        val requests = ArrayList(callers.sentRequests)

        /** Replaces the first line that [isWanted] accepts by the lines that [change] returns. */
        fun editLine(isWanted: (com.fasterxml.jackson.databind.JsonNode) -> Boolean, change: (String) -> List<String>) {
            val (key, line) = values.filterValues { it is AuditSegment }.firstNotNullOf { (key, segment) ->
                (segment as AuditSegment).lines
                    .firstOrNull { isWanted(SimulatedWorker.json.readTree(it)) }?.let { key to it }
            }
            val segment = values.getValue(key) as AuditSegment
            values[key] = segment.copy(lines = segment.lines.flatMap { if (it == line) change(it) else listOf(it) })
        }
        val answeredIds = callers.sentRequests.filter { it.status == 200 }.map { it.id }.toSet()
        when (fault) {
            "lost" -> editLine({ it.path("q").asText() in answeredIds }) { emptyList() }
            "twice" -> editLine({ it.path("q").asText() in answeredIds }) { listOf(it, it) }
            "another's" -> editLine({
                it.path("q").asText() in answeredIds && it.path("w").asText() == "ada"
            }) { listOf(it.replace("\"w\":\"ada\"", "\"w\":\"ben\"")) }
            "turned" -> editLine({
                it.path("q").asText() in answeredIds
            }) { listOf(it.replace("\"ok\":1", "\"ok\":0")) }
            "made up" -> editLine({
                it.path("q").asText() in answeredIds
            }) { listOf(it, it.replace("\"q\":\"", "\"q\":\"x").replace("\"i\":\"", "\"i\":\"x")) }
            "job without entry" -> values["f/job-999999"] = values.getValue(values.keys.first { it.startsWith("f/") })
            "entry without job" -> values.remove(values.keys.first { it.startsWith("f/") })
            "told otherwise" -> requests.first { it.status == 403 }.let { denied ->
                requests[requests.indexOf(denied)] =
                    Callers.SentRequest(denied.id, denied.principal, denied.action, denied.subject, denied.sentAt)
                        .also { it.status = 200 }
            }
            "denial lost" -> editLine({ it.path("o").asInt() == 401 }) { emptyList() }
            else -> values["j/job-999999"] = JobRecord(SimulatedCluster.job(999999), 1, 5, 28)
        }
        assertTrue(AuditLogChecker(values).check(requests).isNotEmpty())
    }

    private companion object {
        const val REQUESTS = 20_000
        const val RED_RULES = "allow submit, resubmit, show, withdraw where team is red on revoke withdraw;"
    }
}

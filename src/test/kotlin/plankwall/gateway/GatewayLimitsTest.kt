package plankwall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Credentials
import plankwall.identity.ReplayGuard
import plankwall.model.StateLimits
import plankwall.model.Tuning
import plankwall.simulation.SimulatedCluster
import java.util.Random

/**
 * Tests the limits of the gateway: on denied requests, on remembered tokens, on values and transactions of the state
 * service, and on the addresses from which workers may report.
 */
class GatewayLimitsTest {
    /**
     * Returns gateway settings for [node] that allow 2 denials a second with bursts of 20. [moreText]: further
     * statements of the policy. [listed]: whether a worker must report from the address that the cloud lists.
     */
    private fun limited(node: String, moreText: String = "", listed: Boolean = false) = GatewaySettings(
        Callers.AUDIENCE,
        Callers.rights(moreText = moreText),
        Callers.KEYS.getValue(node),
        denialsPerS = 2.0,
        denialBurst = 20.0,
        workersAtListedAddress = listed,
    )

    @Test
    fun `a caller over the denial limit is refused unchecked and counted, with few writes and no effect on others`() {
        val cluster = SimulatedCluster(11, 3, gatewaySettings = { limited(it) })
        val callers = Callers(cluster)
        cluster.clock.runUntil(5.0)
        val changesBefore = cluster.state.changes
        for (n in 0 until 2000) {
            cluster.clock.after(n / 100.0) {
                callers.submit("cas", SimulatedCluster.job(5000 + n, team = "red"), cluster.nodes[0])
            }
        }
        val allowedRequests = ArrayList<Callers.SentRequest>()
        for (n in 0 until 20) {
            cluster.clock.after(n.toDouble()) {
                allowedRequests.add(
                    callers.submit(
                        "ada",
                        SimulatedCluster.job(n + 1, tasks = 1, team = "red", runS = 300.0),
                        cluster.nodes[0],
                    ),
                )
            }
        }
        cluster.clock.runUntil(40.0)
        val statusCounts = callers.sentRequests.filter { it.principal == "cas" }.groupingBy { it.status }.eachCount()
        assertEquals(List(20) { 201 }, allowedRequests.map { it.status })
        assertEquals(setOf(403, 429), statusCounts.keys)
        assertTrue(statusCounts.getValue(403) in 40..70, "20 at once, then 2 a second: $statusCounts")
        val auditLog = AuditLogChecker.of(cluster.state)
        assertEquals(emptyList<String>(), auditLog.check(callers.sentRequests))
        val shed = auditLog.entries.filter {
            it.get("a").asText() == "shed"
        }.sumOf { it.get("x").asText().substringBefore(' ').toInt() }
        assertEquals(statusCounts.getValue(429), shed)
        assertTrue(
            cluster.state.changes - changesBefore < 400,
            "${cluster.state.changes - changesBefore} changes, most of which the leader should need for the 20 jobs",
        )
    }

    @Test
    fun `requests with invalid tokens are limited by network, and another network is not affected`() {
        val cluster = SimulatedCluster(12, 1, gatewaySettings = { limited(it) })
        val callers = Callers(cluster)
        cluster.clock.runUntil(5.0)
        fun show(address: String, header: String?) = callers.show("root", "job-000001", cluster.nodes[0]) {
            Credentials(
                it.method,
                it.path,
                it.body,
                header ?: it.authorization,
                address,
            )
        }
        val forged = List(200) { show("2001:db8::${it.toString(16)}", "Bearer x$it") }
        val sameNetwork = show("2001:db8::ffff", null)
        val otherNetwork = show("2001:db9::1", null)
        cluster.clock.runUntil(6.5)
        assertEquals(mapOf(401 to 20, 429 to 180), forged.groupingBy { it.status }.eachCount())
        assertEquals(listOf(429, 404), listOf(sameNetwork.status, otherNetwork.status))
    }

    @Test
    fun `a used token is refused until it expires, and a new one is refused while the guard is full`() {
        val guard = ReplayGuard(3)
        assertEquals(
            listOf("FIRST", "FIRST", "AGAIN", "FIRST", "NO_ROOM"),
            listOf("a", "b", "a", "c", "d").map {
                guard.use("ada", it, 1000, 0).name
            },
        )
        assertEquals(listOf("AGAIN", "FIRST"), listOf(999L, 1000L).map { guard.use("ada", "a", 2000, it).name })
        assertEquals("FIRST", guard.use("ben", "a", 2000, 1000).name, "token ids of different principals are different")
    }

    @ParameterizedTest(name = "heartbeat from {0} that claims {1}, listed at {2}, accepted: {3}")
    @CsvSource(
        "10.1.0.5, 10.1.0.5:9000, 10.1.0.5:9000, true",
        "10.1.0.5, 10.1.0.5:9000, '', true",
        "10.1.0.5, 10.1.0.6:9000, 10.1.0.5:9000, false",
        "10.1.0.6, 10.1.0.5:9000, 10.1.0.5:9000, false",
        "10.2.0.5, 10.2.0.5:9000, 10.2.0.5:9000, false",
        "127.0.0.1, 10.1.0.5:9000, 10.1.0.5:9000, false",
    )
    fun `a heartbeat is accepted only from the workers' network and the address that the cloud lists`(
        sender: String,
        claimed: String,
        listed: String,
        expectedAccepted: Boolean,
    ) {
        val cluster =
            SimulatedCluster(13, 1, gatewaySettings = {
                limited(it, """workers network "10.1.0.0/16";""", listed = true)
            })
        cluster.clock.runUntil(3.0)
        assertEquals(
            expectedAccepted,
            cluster.nodes[0].accessGateway?.heartbeatRefusal(sender, claimed, listed.ifEmpty { null }) == null,
        )
    }

    @Test
    fun `rights longer than a stored value, the audit log and its seals stay within lowered state service limits`() {
        val loweredLimits = StateLimits(250.0, 70.0, 2.0, 10)
        val cluster =
            SimulatedCluster(14, 3, stateNext = loweredLimits, gatewaySettings = {
                Callers.settings(it, checkpointIntervalS = 5.0)
            })
        val callers = Callers(cluster)
        cluster.clock.runUntil(5.0)
        cluster.state.limits = loweredLimits
        val longRights = Callers.rights(
            moreText = (0 until 300).joinToString("\n") {
                "rule r$it: deny withdraw to cas where class is \"klasse-$it-ä\";"
            },
        )
        callers.publish("root", 1, longRights)
        for (n in 0 until 60) {
            cluster.clock.after(n * 0.1) {
                callers.submit("ada", SimulatedCluster.job(n + 1, tasks = 1, runS = 2.0, team = "red"))
            }
        }
        cluster.clock.runUntil(60.0)
        assertEquals(listOf(2L, 2L, 2L), cluster.nodes.map { it.accessGateway?.version })
        assertEquals(emptyMap<String, Int>(), cluster.state.rejectionCounts)
        assertEquals(emptyList<String>(), AuditLogChecker.of(cluster.state).check(callers.sentRequests))
    }

    @Test
    fun `the limiter forgets the least recently used name and not one that keeps being refused`() {
        val ctx = Context(SimulatedCluster.settings("n0", 1), Tuning(), 1, Random(1)).apply { time.advance(1000.0, 0) }
        val limiter = DenialLimiter(ctx.time, 1.0, 2.0)
        repeat(3) { limiter.recordDenial("eve") }
        for (n in 0 until 5000) {
            assertTrue(limiter.isExhausted("eve"), "$n")
            limiter.recordDenial("x$n")
        }
        assertEquals(mapOf("eve" to 5000), limiter.takeShedCounts())
        assertNull(limiter.takeShedCounts()["eve"])
    }

    @Test
    fun `at most one of two concurrent publications succeeds, and rights without an administrator are refused`() {
        val cluster = SimulatedCluster(15, 3, gatewaySettings = { Callers.settings(it) })
        val callers = Callers(cluster)
        cluster.clock.runUntil(5.0)
        val initialPolicyText = Callers.rights(moreText = "# one\n" + "# filling\n".repeat(900))
        val secondRights = Callers.rights(moreText = "# two\n" + "# stuffing\n".repeat(900))
        val concurrent =
            listOf(
                callers.publish("root", 1, initialPolicyText, cluster.nodes[0]),
                callers.publish("root", 1, secondRights, cluster.nodes[1]),
            )
        cluster.clock.runUntil(7.0)
        assertTrue(concurrent.count { it.status == 200 } <= 1, "${concurrent.map { it.status }}")
        val later = callers.publish("root", 1, initialPolicyText, cluster.nodes[2]).also { cluster.clock.runUntil(9.0) }
        // These rights would leave no principal who may administer rights.
        val out = callers.publish(
            "root",
            cluster.nodes[0].accessGateway?.version ?: 0,
            Callers.rights().replace("grant keeper to root;", ""),
        ).also {
            cluster.clock.runUntil(11.0)
        }
        val unauthorized = callers.publish("ada", 1, initialPolicyText).also { cluster.clock.runUntil(13.0) }
        assertEquals(
            listOf(
                if (concurrent.any {
                        it.status == 200
                    }
                ) {
                    409
                } else {
                    200
                },
                400,
                403,
            ),
            listOf(later.status, out.status, unauthorized.status),
        )
        assertTrue("could not administer" in out.body, out.body)
        cluster.clock.runUntil(40.0)
        assertEquals(emptyList<String>(), AuditLogChecker.of(cluster.state).check(callers.sentRequests))
    }
}

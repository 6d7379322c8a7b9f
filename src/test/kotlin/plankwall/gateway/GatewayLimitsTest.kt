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
 * What bounds the gate: floods, room for used tokens, the state service's limits, and the doors that are not users'.
 */
class GatewayLimitsTest {
    private fun limited(node: String, more: String = "", listed: Boolean = false) = GatewaySettings(
        Callers.AUDIENCE,
        Callers.rights(more = more),
        Callers.KEYS.getValue(node),
        denialsPerS = 2.0,
        denialBurst = 20.0,
        workersAtListedAddress = listed,
    )

    @Test
    fun `a flood of denials is turned away unjudged, costs few changes, is counted, and hurts nobody else`() {
        val world = SimulatedCluster(11, 3, gatewaySettings = { limited(it) })
        val callers = Callers(world)
        world.clock.runUntil(5.0)
        val before = world.state.changes
        for (n in 0 until 2000) {
            world.clock.after(n / 100.0) {
                callers.submit("cas", SimulatedCluster.job(5000 + n, team = "red"), world.nodes[0])
            }
        }
        val good = ArrayList<Callers.Asked>()
        for (n in 0 until 20) {
            world.clock.after(n.toDouble()) {
                good.add(
                    callers.submit(
                        "ada",
                        SimulatedCluster.job(n + 1, tasks = 1, team = "red", runS = 300.0),
                        world.nodes[0],
                    ),
                )
            }
        }
        world.clock.runUntil(40.0)
        val told = callers.asked.filter { it.who == "cas" }.groupingBy { it.status }.eachCount()
        assertEquals(List(20) { 201 }, good.map { it.status })
        assertEquals(setOf(403, 429), told.keys)
        assertTrue(told.getValue(403) in 40..70, "20 at once, then two a second: $told")
        val auditLog = AuditLogChecker.of(world.state)
        assertEquals(emptyList<String>(), auditLog.check(callers.asked))
        val shed = auditLog.entries.filter {
            it.get("a").asText() == "shed"
        }.sumOf { it.get("x").asText().substringBefore(' ').toInt() }
        assertEquals(told.getValue(429), shed)
        assertTrue(
            world.state.changes - before < 400,
            "${world.state.changes - before} changes, most of them the leader's for 20 jobs",
        )
    }

    @Test
    fun `proofs that prove nothing are limited by their network, and others' go on`() {
        val world = SimulatedCluster(12, 1, gatewaySettings = { limited(it) })
        val callers = Callers(world)
        world.clock.runUntil(5.0)
        fun look(from: String, header: String?) = callers.show("root", "job-000001", world.nodes[0]) {
            Credentials(
                it.method,
                it.path,
                it.body,
                header ?: it.authorization,
                from,
            )
        }
        val forged = List(200) { look("2001:db8::${it.toString(16)}", "Bearer x$it") }
        val near = look("2001:db8::ffff", null)
        val far = look("2001:db9::1", null)
        world.clock.runUntil(6.5)
        assertEquals(mapOf(401 to 20, 429 to 180), forged.groupingBy { it.status }.eachCount())
        assertEquals(listOf(429, 404), listOf(near.status, far.status))
    }

    @Test
    fun `used tokens are remembered until they expire, and no more are taken than can be`() {
        val guard = ReplayGuard(3)
        assertEquals(
            listOf("FIRST", "FIRST", "AGAIN", "FIRST", "NO_ROOM"),
            listOf("a", "b", "a", "c", "d").map {
                guard.use("ada", it, 1000, 0).name
            },
        )
        assertEquals(listOf("AGAIN", "FIRST"), listOf(999L, 1000L).map { guard.use("ada", "a", 2000, it).name })
        assertEquals("FIRST", guard.use("ben", "a", 2000, 1000).name, "another's id is another")
    }

    @ParameterizedTest(name = "report from {0} that claims {1}, listed at {2}: {3}")
    @CsvSource(
        "10.1.0.5, 10.1.0.5:9000, 10.1.0.5:9000, true",
        "10.1.0.5, 10.1.0.5:9000, '', true",
        "10.1.0.5, 10.1.0.6:9000, 10.1.0.5:9000, false",
        "10.1.0.6, 10.1.0.5:9000, 10.1.0.5:9000, false",
        "10.2.0.5, 10.2.0.5:9000, 10.2.0.5:9000, false",
        "127.0.0.1, 10.1.0.5:9000, 10.1.0.5:9000, false",
    )
    fun `a worker is heard from its network and from where the cloud lists its machine`(
        from: String,
        claimed: String,
        listed: String,
        heard: Boolean,
    ) {
        val world =
            SimulatedCluster(13, 1, gatewaySettings = {
                limited(it, """workers network "10.1.0.0/16";""", listed = true)
            })
        world.clock.runUntil(3.0)
        assertEquals(
            heard,
            world.nodes[0].accessGateway?.heartbeatRefusal(from, claimed, listed.ifEmpty { null }) == null,
        )
    }

    @Test
    fun `rights longer than a value, trail and seals keep within small limits`() {
        val smaller = StateLimits(250.0, 70.0, 2.0, 10)
        val world =
            SimulatedCluster(14, 3, stateNext = smaller, gatewaySettings = {
                Callers.settings(it, checkpointIntervalS = 5.0)
            })
        val callers = Callers(world)
        world.clock.runUntil(5.0)
        world.state.limits = smaller
        val long = Callers.rights(
            more = (0 until 300).joinToString("\n") {
                "rule r$it: deny withdraw to cas where class is \"klasse-$it-ä\";"
            },
        )
        callers.publish("root", 1, long)
        for (n in 0 until 60) {
            world.clock.after(n * 0.1) {
                callers.submit("ada", SimulatedCluster.job(n + 1, tasks = 1, runS = 2.0, team = "red"))
            }
        }
        world.clock.runUntil(60.0)
        assertEquals(listOf(2L, 2L, 2L), world.nodes.map { it.accessGateway?.version })
        assertEquals(emptyMap<String, Int>(), world.state.rejectionCounts)
        assertEquals(emptyList<String>(), AuditLogChecker.of(world.state).check(callers.asked))
    }

    @Test
    fun `a limit is forgotten for the one unseen for longest, never for the one that is over it now`() {
        val ctx = Context(SimulatedCluster.settings("n0", 1), Tuning(), 1, Random(1)).apply { time.advance(1000.0, 0) }
        val limits = DenialLimiter(ctx.time, 1.0, 2.0)
        repeat(3) { limits.recordDenial("eve") }
        for (n in 0 until 5000) {
            assertTrue(limits.isExhausted("eve"), "$n")
            limits.recordDenial("x$n")
        }
        assertEquals(mapOf("eve" to 5000), limits.takeShedCounts())
        assertNull(limits.takeShedCounts()["eve"])
    }

    @Test
    fun `two who publish at once do not mix, and who would lock himself out is told`() {
        val world = SimulatedCluster(15, 3, gatewaySettings = { Callers.settings(it) })
        val callers = Callers(world)
        world.clock.runUntil(5.0)
        val one = Callers.rights(more = "# one\n" + "# filling\n".repeat(900))
        val two = Callers.rights(more = "# two\n" + "# stuffing\n".repeat(900))
        val both =
            listOf(callers.publish("root", 1, one, world.nodes[0]), callers.publish("root", 1, two, world.nodes[1]))
        world.clock.runUntil(7.0)
        assertTrue(both.count { it.status == 200 } <= 1, "${both.map { it.status }}")
        val late = callers.publish("root", 1, one, world.nodes[2]).also { world.clock.runUntil(9.0) }
        val out = callers.publish(
            "root",
            world.nodes[0].accessGateway?.version ?: 0,
            Callers.rights().replace("grant keeper to root;", ""),
        ).also {
            world.clock.runUntil(11.0)
        }
        val ada = callers.publish("ada", 1, one).also { world.clock.runUntil(13.0) }
        assertEquals(
            listOf(
                if (both.any {
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
            listOf(late.status, out.status, ada.status),
        )
        assertTrue("could not administer" in out.body, out.body)
        world.clock.runUntil(40.0)
        assertEquals(emptyList<String>(), AuditLogChecker.of(world.state).check(callers.asked))
    }
}

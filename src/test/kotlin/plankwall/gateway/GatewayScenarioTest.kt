package plankwall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.audit.AuditLogVerifier
import plankwall.core.statemachine.Effect
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.model.StateLimits
import plankwall.simulation.SimulatedCluster
import plankwall.wire.StateOp
import plankwall.wire.Write

/** Whole sites in virtual time on which every request is tied to somebody. */
class GatewayScenarioTest {
    private fun site(
        seed: Long,
        nodes: Int = 3,
        rights: String = Callers.rights(),
        small: Boolean = false,
    ): Pair<SimulatedCluster, Callers> {
        val world =
            SimulatedCluster(
                seed,
                nodes,
                stateNext = if (small) {
                    StateLimits(
                        250.0,
                        70.0,
                        2.0,
                        10,
                    )
                } else {
                    null
                },
                gatewaySettings = {
                    Callers.settings(it, rights)
                },
            )
        world.clock.runUntil(3.0)
        return world to Callers(world)
    }

    private fun SimulatedCluster.assertSound(callers: Callers) {
        val checker = AuditLogChecker.of(state)
        assertEquals(emptyList<String>(), checker.check(callers.asked))
        val verified = AuditLogVerifier { node, _ ->
            plankwall.identity.PublicKey.of("k1", Callers.KEYS.getValue(node).x)
        }.verify(checker.copy)
        assertEquals(emptyList<String>(), verified.failures.map { it.toString() })
        assertEquals(emptyList<String>(), this.checker.violations)
    }

    private fun SimulatedCluster.until(asked: Callers.Asked): Int {
        val end = clock.now + 6.0
        while (asked.status == 0 && clock.now < end) clock.runUntil(clock.now + 0.02)
        return asked.status
    }

    @Test
    fun `each may do what his rights say, and no more`() {
        val (world, callers) = site(1)
        val red = SimulatedCluster.job(1, team = "red", runS = 500.0)
        val blue = SimulatedCluster.job(2, team = "blue", runS = 500.0)
        val table = listOf<Pair<() -> Callers.Asked, Int>>(
            { callers.submit("ada", red) } to 201,
            { callers.submit("ben", blue) } to 201,
            { callers.submit("ada", SimulatedCluster.job(3, team = "blue")) } to 403,
            { callers.submit("ada", SimulatedCluster.job(4, team = "red", priority = Priority.PRODUCTION)) } to 403,
            { callers.submit("eve", SimulatedCluster.job(5, team = "red")) } to 401,
            { callers.submit("cas", SimulatedCluster.job(6, team = "red")) } to 403,
            { callers.submit("ada", red) } to 200,
            // Another's retry of the same id learns nothing of it.
            { callers.submit("ben", SimulatedCluster.job(1, team = "blue")) } to 403,
            { callers.show("ada", red.id) } to 200,
            { callers.show("cas", blue.id) } to 200,
            { callers.show("ben", red.id) } to 403,
            // Nor does a look at what was never submitted; who may see all is told so.
            { callers.show("ben", "job-000099") } to 403,
            { callers.show("root", "job-000099") } to 404,
            { callers.cancel("cas", red.id) } to 403,
            { callers.cancel("ben", red.id) } to 403,
            // Waiting for a job tells when it ends.
            { callers.submit("ben", SimulatedCluster.job(7, team = "blue", after = listOf(1))) } to 403,
            { callers.submit("ben", SimulatedCluster.job(8, team = "blue", after = listOf(2))) } to 201,
            { callers.submit("ben", SimulatedCluster.job(9, team = "blue", after = listOf(98))) } to 403,
            { callers.cancel("ada", red.id) } to 200,
            { callers.cancel("ben", blue.id) } to 200,
        )
        for ((n, row) in table.withIndex()) {
            val asked = row.first()
            assertEquals(
                row.second,
                world.until(asked),
                "row $n: ${asked.who} ${asked.action} ${asked.subject}: ${asked.body}",
            )
            // What a job's end makes of it is read by its new record.
            world.clock.runUntil(world.clock.now + 0.3)
        }
        world.clock.runUntil(60.0)
        assertEquals("withdrawn", callers.show("ben", "job-000008").also { world.until(it) }.stage)
        assertEquals(403, world.until(callers.show("ada", blue.id)), "over, and still not hers")
        world.clock.runUntil(world.clock.now + 30.0)
        world.assertSound(callers)
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
        "as it was, 201", "no header, 401", "another request's body, 401", "another path, 401", "used already, 401",
        "wrong audience, 401",
        "expired, 401", "not yet valid, 401", "lives too long, 401", "wrong key, 401", "unbound, 401", "truncated, 401",
        "64 KiB, 401",
        "alg none, 401", "a header that names a user, 401",
    )
    fun `a proof that is none gets 401, from loopback as from anywhere`(spoilt: String, expected: Int) {
        val (world, callers) = site(2)
        val spec = SimulatedCluster.job(1, team = "red")
        val key = Callers.KEYS.getValue("ada")
        val bound = plankwall.identity.Tokens.fingerprintOf("POST", "/api/jobs", spec.id.encodeToByteArray())
        fun token(
            audience: String = Callers.AUDIENCE,
            at: Long = world.wallMs(),
            life: Int = 30,
            binds: String? = bound,
            by: plankwall.identity.SigningKey = key,
        ) = plankwall.identity.Tokens.authorization(
            plankwall.identity.Tokens.sign(by, audience, "spoilt", at, life, binds),
        )
        val asked = callers.submit("ada", spec, world.nodes[0]) { p ->
            val header = when (spoilt) {
                "as it was", "another request's body", "another path" -> p.authorization
                "no header" -> null
                "used already" -> p.authorization.also { first ->
                    callers.submit("ada", spec, world.nodes[0]) {
                        plankwall.core.statemachine.Credentials(it.method, it.path, it.body, first, it.address)
                    }
                }
                "wrong audience" -> token(audience = "elsewhere")
                "expired" -> token(at = world.wallMs() - 40_000)
                "not yet valid" -> token(at = world.wallMs() + 10_000)
                "lives too long" -> token(life = 3600)
                "wrong key" -> token(by = Callers.KEYS.getValue("eve"))
                "unbound" -> token(binds = null)
                "truncated" -> p.authorization?.dropLast(5)
                "64 KiB" -> "Bearer " + "e30.".repeat(16_000)
                "alg none" -> "Bearer eyJhbGciOiJub25lIn0." + p.authorization.orEmpty().split('.')[1] + "."
                else -> "ada"
            }
            val body = if (spoilt == "another request's body") "job-000002".encodeToByteArray() else p.body
            plankwall.core.statemachine.Credentials(
                p.method,
                if (spoilt == "another path") {
                    "/api/jobs?"
                } else {
                    p.path
                },
                body,
                header,
                "127.0.0.1",
            )
        }
        assertEquals(expected, world.until(asked), asked.body)
        assertTrue(expected == 201 || "error" in asked.body)
    }

    @Test
    fun `what was revoked is refused by every node within a second, and its jobs are seen to`() {
        val red = """allow submit, resubmit, show, withdraw where team is red on revoke withdraw;"""
        val (world, callers) = site(3, nodes = 7, rights = Callers.rights(red = red))
        val mine = SimulatedCluster.job(1, Shape.SERVICE, team = "red")
        val other = SimulatedCluster.job(2, Shape.SERVICE, team = "blue")
        assertEquals(201, world.until(callers.submit("ada", mine)))
        assertEquals(201, world.until(callers.submit("ben", other)))
        world.clock.runUntil(40.0)
        assertEquals("running", callers.show("ada", mine.id).also { world.until(it) }.stage)
        // ada may only look now, and ben, whose rule says nothing, not even that.
        val now = Callers.rights(red = "allow show where team is red;", more = "rule away: deny anything to ben;")
        assertEquals(200, world.until(callers.publish("root", 1, now)))
        world.clock.runUntil(world.clock.now + 1.0)
        for (node in world.nodes) {
            assertEquals(403, world.until(callers.submit("ada", SimulatedCluster.job(3, team = "red"), node)))
            assertEquals(403, world.until(callers.show("ben", other.id, node)))
        }
        world.clock.runUntil(world.clock.now + 20.0)
        assertEquals("withdrawn", callers.show("ada", mine.id).also { world.until(it) }.stage)
        assertEquals("running", callers.show("cas", other.id).also { world.until(it) }.stage, "his rule lets it finish")
        val links = AuditLogChecker.of(world.state).entries.filter { it.get("a").asText() == "revoke" }
        assertEquals(
            mapOf(mine.id to "withdraw", other.id to "finish"),
            links.associate {
                it.get("s").asText() to
                    it.get("x").asText()
            },
        )
        assertEquals(2, links.size)
        assertEquals(
            200,
            world.until(
                callers.keep(
                    "root",
                    "administer",
                    plankwall.core.statemachine.AdminRequest.Rollback(2, 1),
                    "POST",
                    "/api/rights",
                ),
            ),
        )
        world.clock.runUntil(world.clock.now + 1.0)
        assertEquals(
            201,
            world.until(callers.submit("ada", SimulatedCluster.job(9, team = "red"))),
            "as it was at first",
        )
        world.clock.runUntil(world.clock.now + 25.0)
        world.assertSound(callers)
    }

    /** The day on which a node dies at its n-th effect of one kind, for every n that there is. */
    @ParameterizedTest
    @CsvSource("submit", "withdraw", "publish", "revoke", "seal", "deny", "turn")
    fun `a crash at any step leaves entry and effect, or neither`(step: String) {
        var crashes = 0
        for (n in 0 until 40) {
            val red = """allow submit, resubmit, show, withdraw where team is red on revoke withdraw;"""
            val (world, callers) = site(100L + n, rights = Callers.rights(red = red), small = step == "turn")
            val spec = SimulatedCluster.job(1, Shape.SERVICE, team = "red")
            if (step != "submit") world.until(callers.submit("ada", spec))
            world.clock.runUntil(18.0)
            var left = n
            var crashed = false
            world.onEffect = { node, e ->
                if (!crashed && e is Effect.StateCall && concerns(step, e.op) && left-- == 0) {
                    crashed = true
                    crashes++
                    // Half of them after it was sent: it is executed, and nobody hears of it.
                    if (n % 2 == 1) world.clock.after(0.002) { world.state.run(e.op) {} }
                    node.crash(4.0)
                }
            }
            repeat(4) { k ->
                world.clock.after(k * 1.5) {
                    when (step) {
                        "submit" -> callers.submit("ada", spec)
                        "withdraw" -> callers.cancel("ada", spec.id)
                        "publish", "revoke" -> callers.publish(
                            "root",
                            1L,
                            Callers.rights(red = "allow show where team is red;"),
                        )
                        "deny" -> callers.submit("cas", SimulatedCluster.job(10 + k, team = "red"))
                        "turn" -> repeat(12) { callers.show("cas", spec.id) }
                        else -> callers.show("ada", spec.id)
                    }
                }
            }
            world.clock.runUntil(75.0)
            if (step == "revoke") {
                assertEquals("withdrawn", callers.show("root", spec.id).also { world.until(it) }.stage, "crash $n")
            }
            if (step == "publish") assertEquals(2L, world.nodes[0].accessGateway?.version, "crash $n")
            world.clock.runUntil(world.clock.now + 45.0)
            world.assertSound(callers)
            if (!crashed) break
        }
        assertTrue(crashes >= 2, "met $crashes steps")
    }

    @Test
    fun `a right that is revoked between check and store allows nothing any more`() {
        val outcomes = HashSet<Int>()
        for (n in 0 until 30) {
            val (world, callers) = site(300L + n)
            val at = world.clock.now + 1.0
            world.clock.after(1.0) {
                callers.publish("root", 1, Callers.rights(red = "allow show where team is red;"), world.nodes[0])
            }
            // The whole time from the publication's first write to the last node's hearing of it.
            val asked = List(6) { k ->
                SimulatedCluster.job(k + 1, team = "red", runS = 500.0) to world.nodes[1 + k % 2]
            }.mapIndexed { k, (spec, node) ->
                ArrayList<Callers.Asked>().also { into ->
                    world.clock.after(1.0 + n * 0.002 + k * 0.004) { into.add(callers.submit("ada", spec, node)) }
                }
            }
            world.clock.runUntil(at + 4.0)
            val published = world.state.version("access/head")
            for (a in asked.flatten()) {
                outcomes.add(a.status)
                val stored = world.state.firstVersion("j/${a.subject}")
                assertEquals(a.status == 201, stored > 0, "${a.subject} of run $n")
                assertTrue(stored < published, "${a.subject} of run $n was stored by rights that were replaced")
            }
            world.clock.runUntil(at + 40.0)
            world.assertSound(callers)
        }
        assertEquals(setOf(201, 403), outcomes, "both sides of the race were met")
    }

    @Test
    fun `beside a node of an older version, which knows no owners, nothing is lost and nothing is let through`() {
        var old = setOf("n0")
        val world = SimulatedCluster(31, 3, gatewaySettings = { if (it in old) null else Callers.settings(it) })
        val callers = Callers(world)
        world.clock.runUntil(3.0)
        // The older one leads, so it ends jobs without saying whose they were.
        while (!world.nodes[0].isLeader) {
            world.nodes.first { it.isLeader }.crash(3.0)
            world.clock.runUntil(world.clock.now + 6.0)
        }
        val short = SimulatedCluster.job(1, tasks = 1, team = "red", runS = 5.0)
        val long = SimulatedCluster.job(2, Shape.SERVICE, team = "red")
        assertEquals(201, world.until(callers.submit("ada", short, world.nodes[1])))
        assertEquals(201, world.until(callers.submit("ada", long, world.nodes[2])))
        world.clock.runUntil(world.clock.now + 40.0)
        assertEquals("done", callers.show("ada", short.id, world.nodes[1]).also { world.until(it) }.stage)
        assertEquals(403, world.until(callers.show("ben", short.id, world.nodes[1])))
        // Then it is replaced, and what was published meanwhile is seen to by whoever leads next.
        assertEquals(
            200,
            world.until(
                callers.publish(
                    "root",
                    1,
                    Callers.rights(
                        red = "allow show where team is red;",
                        more = "rule out: deny submit to ada on revoke withdraw;",
                    ),
                    world.nodes[1],
                ),
            ),
        )
        world.clock.runUntil(world.clock.now + 5.0)
        old = emptySet()
        world.nodes[0].crash(3.0)
        world.clock.runUntil(world.clock.now + 40.0)
        assertEquals("withdrawn", callers.show("ada", long.id).also { world.until(it) }.stage)
        world.assertSound(callers)
    }

    private fun concerns(step: String, op: StateOp): Boolean {
        val keys = (op as? StateOp.Txn)?.writes.orEmpty().filterIsInstance<Write.Put>().map { it.key }
        return when (step) {
            "publish" -> keys.any { it.startsWith("access/v/") || it == "access/head" }
            "revoke" -> keys.any { it == "access/applied" || it.startsWith("j/") } ||
                op is StateOp.Range &&
                op.prefix == "j/"
            "turn" -> keys.any { it.startsWith("trail/") && !it.endsWith("/0000000000") }
            "seal" -> keys.any { it.startsWith("seal/") } ||
                op is StateOp.Get &&
                (op.key.startsWith("seal/") || op.key.startsWith("trail/"))
            else -> keys.any { it.startsWith("trail/") }
        }
    }

    @Test
    fun `without the state service nobody may do anything, but look at what is his`() {
        val (world, callers) = site(5)
        val spec = SimulatedCluster.job(1, team = "red", tasks = 1, runS = 3.0)
        assertEquals(201, world.until(callers.submit("ada", spec, world.nodes[1])))
        world.clock.runUntil(40.0)
        assertEquals("done", callers.show("ada", spec.id, world.nodes[1]).also { world.until(it) }.stage)
        assertEquals("done", callers.show("cas", spec.id, world.nodes[1]).also { world.until(it) }.stage)
        world.state.outage = true
        world.clock.runUntil(50.0)
        assertEquals(
            "done",
            callers.show("ada", spec.id, world.nodes[1]).also {
                world.until(it)
            }.stage,
            "her own, which this node remembers",
        )
        assertEquals(
            503,
            world.until(callers.show("cas", spec.id, world.nodes[1])),
            "not hers, and the denial can't be recorded",
        )
        assertEquals(503, world.until(callers.submit("ada", SimulatedCluster.job(2, team = "red"), world.nodes[1])))
        assertEquals(503, world.until(callers.cancel("ada", spec.id, world.nodes[1])))
        world.state.outage = false
        world.clock.runUntil(60.0)
        assertEquals(201, world.until(callers.submit("ada", SimulatedCluster.job(3, team = "red"), world.nodes[1])))
        world.clock.runUntil(85.0)
        world.assertSound(callers)
    }
}

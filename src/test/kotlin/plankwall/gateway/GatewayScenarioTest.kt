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

/** Runs simulated clusters on which every request must be authenticated and authorized, and checks their audit log. */
class GatewayScenarioTest {
    /** Starts a cluster with the policy [rights]. [limitsWillShrink]: whether lower store limits are announced. */
    private fun startCluster(
        seed: Long,
        nodes: Int = 3,
        rights: String = Callers.rights(),
        limitsWillShrink: Boolean = false,
    ): Pair<SimulatedCluster, Callers> {
        val cluster =
            SimulatedCluster(
                seed,
                nodes,
                stateNext = if (limitsWillShrink) {
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
        cluster.clock.runUntil(3.0)
        return cluster to Callers(cluster)
    }

    /** Asserts that the audit log is intact and matches the answers to [callers], and that no invariant is violated. */
    private fun SimulatedCluster.assertSound(callers: Callers) {
        val checker = AuditLogChecker.of(state)
        assertEquals(emptyList<String>(), checker.check(callers.sentRequests))
        val verified = AuditLogVerifier { node, _ ->
            plankwall.identity.PublicKey.of("k1", Callers.KEYS.getValue(node).x)
        }.verify(checker.copy)
        assertEquals(emptyList<String>(), verified.failures.map { it.toString() })
        assertEquals(emptyList<String>(), this.checker.violations)
    }

    /** Runs the cluster until [request] is answered, 6 seconds at most. Returns its status; 0 if there is no answer. */
    private fun SimulatedCluster.awaitStatus(request: Callers.SentRequest): Int {
        val end = clock.now + 6.0
        while (request.status == 0 && clock.now < end) clock.runUntil(clock.now + 0.02)
        return request.status
    }

    @Test
    fun `each principal may do only what the rights allow`() {
        val (cluster, callers) = startCluster(1)
        val redJob = SimulatedCluster.job(1, team = "red", runS = 500.0)
        val blueJob = SimulatedCluster.job(2, team = "blue", runS = 500.0)
        val expectedStatuses = listOf<Pair<() -> Callers.SentRequest, Int>>(
            { callers.submit("ada", redJob) } to 201,
            { callers.submit("ben", blueJob) } to 201,
            { callers.submit("ada", SimulatedCluster.job(3, team = "blue")) } to 403,
            { callers.submit("ada", SimulatedCluster.job(4, team = "red", priority = Priority.PRODUCTION)) } to 403,
            { callers.submit("eve", SimulatedCluster.job(5, team = "red")) } to 401,
            { callers.submit("cas", SimulatedCluster.job(6, team = "red")) } to 403,
            { callers.submit("ada", redJob) } to 200,
            // Submitting the id of another owner's job reveals nothing about that job.
            { callers.submit("ben", SimulatedCluster.job(1, team = "blue")) } to 403,
            { callers.show("ada", redJob.id) } to 200,
            { callers.show("cas", blueJob.id) } to 200,
            { callers.show("ben", redJob.id) } to 403,
            // A job that does not exist is denied like a job of others; only a principal who may see all jobs gets 404.
            { callers.show("ben", "job-000099") } to 403,
            { callers.show("root", "job-000099") } to 404,
            { callers.cancel("cas", redJob.id) } to 403,
            { callers.cancel("ben", redJob.id) } to 403,
            // A dependency on a job reveals when that job ends, so it requires the right to see the job.
            { callers.submit("ben", SimulatedCluster.job(7, team = "blue", after = listOf(1))) } to 403,
            { callers.submit("ben", SimulatedCluster.job(8, team = "blue", after = listOf(2))) } to 201,
            { callers.submit("ben", SimulatedCluster.job(9, team = "blue", after = listOf(98))) } to 403,
            { callers.cancel("ada", redJob.id) } to 200,
            { callers.cancel("ben", blueJob.id) } to 200,
        )
        for ((index, row) in expectedStatuses.withIndex()) {
            val request = row.first()
            assertEquals(
                row.second,
                cluster.awaitStatus(request),
                "row $index: ${request.principal} ${request.action} ${request.subject}: ${request.body}",
            )
            // Lets the nodes learn the changed record of a job before the next request.
            cluster.clock.runUntil(cluster.clock.now + 0.3)
        }
        cluster.clock.runUntil(60.0)
        assertEquals("withdrawn", callers.show("ben", "job-000008").also { cluster.awaitStatus(it) }.stage)
        assertEquals(
            403,
            cluster.awaitStatus(callers.show("ada", blueJob.id)),
            "a finished job is still not visible to her",
        )
        cluster.clock.runUntil(cluster.clock.now + 30.0)
        cluster.assertSound(callers)
    }

    @ParameterizedTest(name = "{0}: status {1}")
    @CsvSource(
        "as it was, 201", "no header, 401", "another request's body, 401", "another path, 401", "used already, 401",
        "wrong audience, 401",
        "expired, 401", "not yet valid, 401", "lives too long, 401", "wrong key, 401", "unbound, 401", "truncated, 401",
        "64 KiB, 401",
        "alg none, 401", "a header that names a user, 401",
    )
    fun `a request whose token is missing, invalid, expired or used already gets 401, also from loopback`(
        tokenCase: String,
        expectedStatus: Int,
    ) {
        val (cluster, callers) = startCluster(2)
        val spec = SimulatedCluster.job(1, team = "red")
        val key = Callers.KEYS.getValue("ada")
        val fingerprint = plankwall.identity.Tokens.fingerprintOf("POST", "/api/jobs", spec.id.encodeToByteArray())
        fun token(
            audience: String = Callers.AUDIENCE,
            issuedMs: Long = cluster.wallMs(),
            lifetimeS: Int = 30,
            boundTo: String? = fingerprint,
            by: plankwall.identity.SigningKey = key,
        ) = plankwall.identity.Tokens.authorization(
            plankwall.identity.Tokens.sign(by, audience, "spoilt", issuedMs, lifetimeS, boundTo),
        )
        val request = callers.submit("ada", spec, cluster.nodes[0]) { original ->
            val header = when (tokenCase) {
                "as it was", "another request's body", "another path" -> original.authorization
                "no header" -> null
                "used already" -> original.authorization.also { first ->
                    callers.submit("ada", spec, cluster.nodes[0]) {
                        plankwall.core.statemachine.Credentials(it.method, it.path, it.body, first, it.address)
                    }
                }
                "wrong audience" -> token(audience = "elsewhere")
                "expired" -> token(issuedMs = cluster.wallMs() - 40_000)
                "not yet valid" -> token(issuedMs = cluster.wallMs() + 10_000)
                "lives too long" -> token(lifetimeS = 3600)
                "wrong key" -> token(by = Callers.KEYS.getValue("eve"))
                "unbound" -> token(boundTo = null)
                "truncated" -> original.authorization?.dropLast(5)
                "64 KiB" -> "Bearer " + "e30.".repeat(16_000)
                "alg none" -> "Bearer eyJhbGciOiJub25lIn0." + original.authorization.orEmpty().split('.')[1] + "."
                else -> "ada"
            }
            val body = if (tokenCase == "another request's body") "job-000002".encodeToByteArray() else original.body
            plankwall.core.statemachine.Credentials(
                original.method,
                if (tokenCase == "another path") {
                    "/api/jobs?"
                } else {
                    original.path
                },
                body,
                header,
                "127.0.0.1",
            )
        }
        assertEquals(expectedStatus, cluster.awaitStatus(request), request.body)
        assertTrue(expectedStatus == 201 || "error" in request.body)
    }

    @Test
    fun `a revoked right is refused by every node within a second, and jobs are cancelled where the rule says so`() {
        val redRules = """allow submit, resubmit, show, withdraw where team is red on revoke withdraw;"""
        val (cluster, callers) = startCluster(3, nodes = 7, rights = Callers.rights(redRules = redRules))
        val redJob = SimulatedCluster.job(1, Shape.SERVICE, team = "red")
        val blueJob = SimulatedCluster.job(2, Shape.SERVICE, team = "blue")
        assertEquals(201, cluster.awaitStatus(callers.submit("ada", redJob)))
        assertEquals(201, cluster.awaitStatus(callers.submit("ben", blueJob)))
        cluster.clock.runUntil(40.0)
        assertEquals("running", callers.show("ada", redJob.id).also { cluster.awaitStatus(it) }.stage)
        // Now ada may only look, and ben may do nothing. His old rule does not cancel jobs when it is revoked.
        val reducedRights = Callers.rights(
            redRules = "allow show where team is red;",
            moreText = "rule away: deny anything to ben;",
        )
        assertEquals(200, cluster.awaitStatus(callers.publish("root", 1, reducedRights)))
        cluster.clock.runUntil(cluster.clock.now + 1.0)
        for (node in cluster.nodes) {
            assertEquals(403, cluster.awaitStatus(callers.submit("ada", SimulatedCluster.job(3, team = "red"), node)))
            assertEquals(403, cluster.awaitStatus(callers.show("ben", blueJob.id, node)))
        }
        cluster.clock.runUntil(cluster.clock.now + 20.0)
        assertEquals("withdrawn", callers.show("ada", redJob.id).also { cluster.awaitStatus(it) }.stage)
        assertEquals(
            "running",
            callers.show("cas", blueJob.id).also { cluster.awaitStatus(it) }.stage,
            "ben's rule did not ask for cancellation on revocation",
        )
        val revocations = AuditLogChecker.of(cluster.state).entries.filter { it.get("a").asText() == "revoke" }
        assertEquals(
            mapOf(redJob.id to "withdraw", blueJob.id to "finish"),
            revocations.associate {
                it.get("s").asText() to
                    it.get("x").asText()
            },
        )
        assertEquals(2, revocations.size)
        assertEquals(
            200,
            cluster.awaitStatus(
                callers.sendAdminRequest(
                    "root",
                    "administer",
                    plankwall.core.statemachine.AdminRequest.Rollback(2, 1),
                    "POST",
                    "/api/rights",
                ),
            ),
        )
        cluster.clock.runUntil(cluster.clock.now + 1.0)
        assertEquals(
            201,
            cluster.awaitStatus(callers.submit("ada", SimulatedCluster.job(9, team = "red"))),
            "the first rights are in force again",
        )
        cluster.clock.runUntil(cluster.clock.now + 25.0)
        cluster.assertSound(callers)
    }

    /** Crashes the node that makes the n-th state service call of [step], in one run for every n there is. */
    @ParameterizedTest
    @CsvSource("submit", "withdraw", "publish", "revoke", "seal", "deny", "turn")
    fun `after a crash at any step both the audit log entry and its effect are stored or neither is`(step: String) {
        var crashes = 0
        for (n in 0 until 40) {
            val redRules = """allow submit, resubmit, show, withdraw where team is red on revoke withdraw;"""
            val (cluster, callers) =
                startCluster(100L + n, rights = Callers.rights(redRules = redRules), limitsWillShrink = step == "turn")
            val spec = SimulatedCluster.job(1, Shape.SERVICE, team = "red")
            if (step != "submit") cluster.awaitStatus(callers.submit("ada", spec))
            cluster.clock.runUntil(18.0)
            var callsBeforeCrash = n
            var crashed = false
            cluster.onEffect = { node, effect ->
                if (!crashed && effect is Effect.StateCall && belongsTo(step, effect.op) && callsBeforeCrash-- == 0) {
                    crashed = true
                    crashes++
                    // In every second run the call is sent before the crash: it is executed, but its result is lost.
                    if (n % 2 == 1) cluster.clock.after(0.002) { cluster.state.run(effect.op) {} }
                    node.crash(4.0)
                }
            }
            repeat(4) { round ->
                cluster.clock.after(round * 1.5) {
                    when (step) {
                        "submit" -> callers.submit("ada", spec)
                        "withdraw" -> callers.cancel("ada", spec.id)
                        "publish", "revoke" -> callers.publish(
                            "root",
                            1L,
                            Callers.rights(redRules = "allow show where team is red;"),
                        )
                        "deny" -> callers.submit("cas", SimulatedCluster.job(10 + round, team = "red"))
                        "turn" -> repeat(12) { callers.show("cas", spec.id) }
                        else -> callers.show("ada", spec.id)
                    }
                }
            }
            cluster.clock.runUntil(75.0)
            if (step == "revoke") {
                assertEquals(
                    "withdrawn",
                    callers.show("root", spec.id).also { cluster.awaitStatus(it) }.stage,
                    "crash $n",
                )
            }
            if (step == "publish") assertEquals(2L, cluster.nodes[0].accessGateway?.version, "crash $n")
            cluster.clock.runUntil(cluster.clock.now + 45.0)
            cluster.assertSound(callers)
            if (!crashed) break
        }
        assertTrue(crashes >= 2, "met $crashes steps")
    }

    @Test
    fun `a submission whose right is revoked between its check and its write is not stored`() {
        val outcomes = HashSet<Int>()
        for (n in 0 until 30) {
            val (cluster, callers) = startCluster(300L + n)
            val publishedAt = cluster.clock.now + 1.0
            cluster.clock.after(1.0) {
                callers.publish("root", 1, Callers.rights(redRules = "allow show where team is red;"), cluster.nodes[0])
            }
            // All runs together cover the time from the publication's first write until the last node knows of it.
            val submissions = List(6) { index ->
                SimulatedCluster.job(index + 1, team = "red", runS = 500.0) to cluster.nodes[1 + index % 2]
            }.mapIndexed { index, (spec, node) ->
                ArrayList<Callers.SentRequest>().also { sent ->
                    cluster.clock.after(1.0 + n * 0.002 + index * 0.004) { sent.add(callers.submit("ada", spec, node)) }
                }
            }
            cluster.clock.runUntil(publishedAt + 4.0)
            val publishedVersion = cluster.state.version("access/head")
            for (submission in submissions.flatten()) {
                outcomes.add(submission.status)
                val storedVersion = cluster.state.firstVersion("j/${submission.subject}")
                assertEquals(submission.status == 201, storedVersion > 0, "${submission.subject} of run $n")
                assertTrue(
                    storedVersion < publishedVersion,
                    "${submission.subject} of run $n was stored by rights that were replaced",
                )
            }
            cluster.clock.runUntil(publishedAt + 40.0)
            cluster.assertSound(callers)
        }
        assertEquals(setOf(201, 403), outcomes, "both outcomes of the race must occur")
    }

    @Test
    fun `beside an older node that knows no owners, access is checked and a revocation takes effect later`() {
        var nodesWithoutGateway = setOf("n0")
        val cluster = SimulatedCluster(31, 3, gatewaySettings = {
            if (it in nodesWithoutGateway) null else Callers.settings(it)
        })
        val callers = Callers(cluster)
        cluster.clock.runUntil(3.0)
        // Makes the older node the leader, so that it stores the end of jobs without their owners.
        while (!cluster.nodes[0].isLeader) {
            cluster.nodes.first { it.isLeader }.crash(3.0)
            cluster.clock.runUntil(cluster.clock.now + 6.0)
        }
        val shortJob = SimulatedCluster.job(1, tasks = 1, team = "red", runS = 5.0)
        val longJob = SimulatedCluster.job(2, Shape.SERVICE, team = "red")
        assertEquals(201, cluster.awaitStatus(callers.submit("ada", shortJob, cluster.nodes[1])))
        assertEquals(201, cluster.awaitStatus(callers.submit("ada", longJob, cluster.nodes[2])))
        cluster.clock.runUntil(cluster.clock.now + 40.0)
        assertEquals("done", callers.show("ada", shortJob.id, cluster.nodes[1]).also { cluster.awaitStatus(it) }.stage)
        assertEquals(403, cluster.awaitStatus(callers.show("ben", shortJob.id, cluster.nodes[1])))
        // The older node is upgraded; the next leader applies the rights that were published before.
        assertEquals(
            200,
            cluster.awaitStatus(
                callers.publish(
                    "root",
                    1,
                    Callers.rights(
                        redRules = "allow show where team is red;",
                        moreText = "rule out: deny submit to ada on revoke withdraw;",
                    ),
                    cluster.nodes[1],
                ),
            ),
        )
        cluster.clock.runUntil(cluster.clock.now + 5.0)
        nodesWithoutGateway = emptySet()
        cluster.nodes[0].crash(3.0)
        cluster.clock.runUntil(cluster.clock.now + 40.0)
        assertEquals("withdrawn", callers.show("ada", longJob.id).also { cluster.awaitStatus(it) }.stage)
        cluster.assertSound(callers)
    }

    /** Whether the state service operation [op] belongs to [step] of the crash test. */
    private fun belongsTo(step: String, op: StateOp): Boolean {
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
    fun `during an outage of the state service an owner may only look at a job that the node remembers`() {
        val (cluster, callers) = startCluster(5)
        val spec = SimulatedCluster.job(1, team = "red", tasks = 1, runS = 3.0)
        assertEquals(201, cluster.awaitStatus(callers.submit("ada", spec, cluster.nodes[1])))
        cluster.clock.runUntil(40.0)
        assertEquals("done", callers.show("ada", spec.id, cluster.nodes[1]).also { cluster.awaitStatus(it) }.stage)
        assertEquals("done", callers.show("cas", spec.id, cluster.nodes[1]).also { cluster.awaitStatus(it) }.stage)
        cluster.state.outage = true
        cluster.clock.runUntil(50.0)
        assertEquals(
            "done",
            callers.show("ada", spec.id, cluster.nodes[1]).also {
                cluster.awaitStatus(it)
            }.stage,
            "her own job, which this node remembers",
        )
        assertEquals(
            503,
            cluster.awaitStatus(callers.show("cas", spec.id, cluster.nodes[1])),
            "another owner's job, and the decision can't be recorded",
        )
        assertEquals(
            503,
            cluster.awaitStatus(callers.submit("ada", SimulatedCluster.job(2, team = "red"), cluster.nodes[1])),
        )
        assertEquals(503, cluster.awaitStatus(callers.cancel("ada", spec.id, cluster.nodes[1])))
        cluster.state.outage = false
        cluster.clock.runUntil(60.0)
        assertEquals(
            201,
            cluster.awaitStatus(callers.submit("ada", SimulatedCluster.job(3, team = "red"), cluster.nodes[1])),
        )
        cluster.clock.runUntil(85.0)
        cluster.assertSound(callers)
    }
}

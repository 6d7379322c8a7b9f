package plankwall.gateway

import plankwall.core.statemachine.AdminRequest
import plankwall.core.statemachine.Credentials
import plankwall.core.statemachine.Input
import plankwall.identity.SigningKey
import plankwall.identity.Tokens
import plankwall.model.JobSpec
import plankwall.simulation.SimulatedCluster
import plankwall.simulation.SimulatedController
import plankwall.simulation.SimulatedWorker
import plankwall.wire.AdminCodec

/** Sends requests as the principals of a simulated cluster, and records each request with the answer it got. */
class Callers(private val cluster: SimulatedCluster) {
    /** A request that [principal] sent at the virtual time [sentAt], and its answer. [subject]: the job, or empty. */
    class SentRequest(
        val id: String,
        val principal: String,
        val action: String,
        val subject: String,
        val sentAt: Double,
    ) {
        /** The HTTP status of the answer; 0 if there was none. */
        var status = 0
        var body = ""

        /** The authorization header that was sent, if any. */
        var authorization: String? = null

        /** The stage of the job that a successful answer shows. */
        val stage: String? get() = if (status in 200..201) {
            SimulatedWorker.json.readTree(body).get("stage")?.asText()
        } else {
            null
        }
    }

    val sentRequests = ArrayList<SentRequest>()
    private var nextId = 0

    /** Returns a signed authorization header of [principal], bound to the request's [method], [path] and [body]. */
    fun authorization(
        principal: String,
        method: String,
        path: String,
        body: ByteArray,
        id: String,
        key: SigningKey = KEYS.getValue(principal),
    ): String = Tokens.authorization(
        Tokens.sign(key, AUDIENCE, id, cluster.wallMs(), 30, Tokens.fingerprintOf(method, path, body)),
    )

    /**
     * Sends a request as [principal] to [node], or to a random one. [alterCredentials] may change the credentials
     * before they are sent. [input]: returns the controller's input for them.
     */
    fun sendRequest(
        principal: String,
        action: String,
        subject: String,
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
        node: SimulatedController? = null,
        address: String = "127.0.0.1",
        alterCredentials: (Credentials) -> Credentials = { it },
        input: (plankwall.core.statemachine.RequestId, Credentials) -> Input,
    ): SentRequest {
        val id = "q${nextId++}"
        val request = SentRequest(id, principal, action, subject, cluster.clock.now).also { sentRequests.add(it) }
        val recipient = node ?: cluster.nodes[cluster.random.nextInt(cluster.nodes.size)]
        val credentials =
            alterCredentials(Credentials(method, path, body, authorization(principal, method, path, body, id), address))
        request.authorization = credentials.authorization
        recipient.sendRequest({ input(it, credentials) }) { status, answer ->
            request.status = status
            request.body = answer.decodeToString()
        }
        return request
    }

    /** Submits [spec]. The cluster's checker then knows of the job. */
    fun submit(
        principal: String,
        spec: JobSpec,
        node: SimulatedController? = null,
        alterCredentials: (Credentials) -> Credentials = {
            it
        },
    ): SentRequest {
        cluster.expect(spec)
        return sendRequest(
            principal,
            "submit",
            spec.id,
            "POST",
            "/api/jobs",
            spec.id.encodeToByteArray(),
            node,
            alterCredentials = alterCredentials,
        ) {
                requestId,
                credentials,
            ->
            Input.Submit(requestId, spec, credentials)
        }
    }

    fun show(
        principal: String,
        job: String,
        node: SimulatedController? = null,
        alterCredentials: (Credentials) -> Credentials = {
            it
        },
    ): SentRequest = sendRequest(
        principal,
        "show",
        job,
        "GET",
        "/api/jobs/$job",
        node = node,
        alterCredentials = alterCredentials,
    ) { requestId, credentials ->
        Input.Show(requestId, job, credentials)
    }

    fun cancel(
        principal: String,
        job: String,
        node: SimulatedController? = null,
        alterCredentials: (Credentials) -> Credentials = {
            it
        },
    ): SentRequest = sendRequest(
        principal,
        "withdraw",
        job,
        "POST",
        "/api/jobs/$job/withdraw",
        node = node,
        alterCredentials = alterCredentials,
    ) {
            requestId,
            credentials,
        ->
        Input.Cancel(requestId, job, credentials)
    }

    /** Publishes the rights [text] as the successor of version [base]. */
    fun publish(principal: String, base: Long, text: String, node: SimulatedController? = null): SentRequest =
        sendAdminRequest(
            principal,
            "administer",
            AdminRequest.Publish(base, text),
            "POST",
            "/api/rights",
            AdminCodec.writePublication(base, text),
            node,
        )

    /** Sends the administrative [request], which acts on rights or on the audit log. */
    fun sendAdminRequest(
        principal: String,
        action: String,
        request: AdminRequest,
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
        node: SimulatedController? = null,
    ): SentRequest = sendRequest(principal, action, "", method, path, body, node) { requestId, credentials ->
        Input.Admin(requestId, request, credentials)
    }

    companion object {
        const val AUDIENCE = "test-site"

        /** The keys of all principals. They are generated once, since no test depends on the value of a key. */
        val KEYS: Map<String, SigningKey> = (
            listOf("ada", "ben", "cas", "root", "eve") + (0..6).map {
                "n$it"
            }
            ).associateWith { SigningKey.generate(it, "k1") }

        /** Returns the policy text that declares the person [name] with their key. [moreText]: further properties. */
        fun person(name: String, moreText: String = ""): String =
            """person $name { key k1 "${KEYS.getValue(name).x}"; $moreText }"""

        private val NODES = (0..6).joinToString("\n") { """node n$it { key k1 "${KEYS.getValue("n$it").x}"; }""" }

        /**
         * Returns a policy: ada may run the jobs of team red and ben his own of team blue, cas may only look at them,
         * and root administers rights and reads the audit log. eve has a key that the policy does not name. [people]:
         * the declarations of persons. [redRules]: the rules for team red. [moreText]: further statements.
         */
        fun rights(
            people: String = listOf("ada", "ben", "cas", "root").joinToString("\n") { person(it) },
            redRules: String = """allow submit, resubmit, show, withdraw where team is red;""",
            moreText: String = "",
        ): String = """
            $people
            $NODES
            role red-runner { $redRules }
            role blue-runner { allow submit, resubmit, withdraw where team is blue and owner is self; allow show where team is blue; }
            role keeper { allow administer, audit, show; }
            grant red-runner to ada;
            grant blue-runner to ben;
            rule looking: allow show to cas where team in (red, blue);
            grant keeper to root;
            rule matcher: deny submit, withdraw to everyone where priority is critical;
            $moreText
        """.trimIndent()

        /** Returns gateway settings for [node] with limits so high that no request of a test exceeds them. */
        fun settings(
            node: String = "n0",
            rights: String = rights(),
            checkpointIntervalS: Double = 20.0,
            peerKeys: List<plankwall.identity.PeerKey> = emptyList(),
        ) = GatewaySettings(
            AUDIENCE,
            rights,
            KEYS.getValue(node),
            peerKeys,
            checkpointIntervalS = checkpointIntervalS,
            denialsPerS = 1000.0,
            denialBurst = 1000.0,
            workersAtListedAddress = false,
        )
    }
}

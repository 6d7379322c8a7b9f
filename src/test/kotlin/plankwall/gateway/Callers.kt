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

/** People and services of a test site, their keys, and every request they made with what they were told. */
class Callers(private val world: SimulatedCluster) {
    /** One request and its fate. [status] 0: not answered. */
    class Asked(val id: String, val who: String, val action: String, val subject: String, val at: Double) {
        var status = 0
        var body = ""

        /** What was sent as proof. */
        var authorization: String? = null
        val stage: String? get() = if (status in 200..201) {
            SimulatedWorker.json.readTree(body).get("stage")?.asText()
        } else {
            null
        }
    }

    val asked = ArrayList<Asked>()
    private var nextId = 0

    fun authorization(
        who: String,
        method: String,
        path: String,
        body: ByteArray,
        id: String,
        key: SigningKey = KEYS.getValue(who),
    ): String = Tokens.authorization(
        Tokens.sign(key, AUDIENCE, id, world.wallMs(), 30, Tokens.fingerprintOf(method, path, body)),
    )

    /** Asks [node], or any, as [who]; [credentials] may be spoilt by [spoil]. */
    fun sendRequest(
        who: String,
        action: String,
        subject: String,
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
        node: SimulatedController? = null,
        address: String = "127.0.0.1",
        spoil: (Credentials) -> Credentials = { it },
        input: (plankwall.core.statemachine.RequestId, Credentials) -> Input,
    ): Asked {
        val id = "q${nextId++}"
        val record = Asked(id, who, action, subject, world.clock.now).also { asked.add(it) }
        val to = node ?: world.nodes[world.random.nextInt(world.nodes.size)]
        val credentials = spoil(Credentials(method, path, body, authorization(who, method, path, body, id), address))
        record.authorization = credentials.authorization
        to.sendRequest({ input(it, credentials) }) { status, answer ->
            record.status = status
            record.body = answer.decodeToString()
        }
        return record
    }

    fun submit(
        who: String,
        spec: JobSpec,
        node: SimulatedController? = null,
        spoil: (Credentials) -> Credentials = {
            it
        },
    ): Asked {
        world.expect(spec)
        return sendRequest(
            who,
            "submit",
            spec.id,
            "POST",
            "/api/jobs",
            spec.id.encodeToByteArray(),
            node,
            spoil = spoil,
        ) {
                r,
                p,
            ->
            Input.Submit(r, spec, p)
        }
    }

    fun show(
        who: String,
        job: String,
        node: SimulatedController? = null,
        spoil: (Credentials) -> Credentials = {
            it
        },
    ): Asked = sendRequest(who, "show", job, "GET", "/api/jobs/$job", node = node, spoil = spoil) { r, p ->
        Input.Show(r, job, p)
    }

    fun cancel(
        who: String,
        job: String,
        node: SimulatedController? = null,
        spoil: (Credentials) -> Credentials = {
            it
        },
    ): Asked = sendRequest(who, "withdraw", job, "POST", "/api/jobs/$job/withdraw", node = node, spoil = spoil) {
            r,
            p,
        ->
        Input.Cancel(r, job, p)
    }

    fun publish(who: String, base: Long, text: String, node: SimulatedController? = null): Asked = keep(
        who,
        "administer",
        AdminRequest.Publish(base, text),
        "POST",
        "/api/rights",
        AdminCodec.writePublication(base, text),
        node,
    )

    fun keep(
        who: String,
        action: String,
        wanted: AdminRequest,
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
        node: SimulatedController? = null,
    ): Asked = sendRequest(who, action, "", method, path, body, node) { r, p -> Input.Admin(r, wanted, p) }

    companion object {
        const val AUDIENCE = "test-site"

        /** Made once: only who holds which key matters to a test, never the key itself. */
        val KEYS: Map<String, SigningKey> = (
            listOf("ada", "ben", "cas", "root", "eve") + (0..6).map {
                "n$it"
            }
            ).associateWith { SigningKey.generate(it, "k1") }

        fun person(name: String, more: String = ""): String =
            """person $name { key k1 "${KEYS.getValue(name).x}"; $more }"""

        private val NODES = (0..6).joinToString("\n") { """node n$it { key k1 "${KEYS.getValue("n$it").x}"; }""" }

        /**
         * ada runs red's jobs, ben blue's; cas may look; root keeps rights and trail. eve holds a key that nobody
         * knows.
         */
        fun rights(
            people: String = listOf("ada", "ben", "cas", "root").joinToString("\n") { person(it) },
            red: String = """allow submit, resubmit, show, withdraw where team is red;""",
            more: String = "",
        ): String = """
            $people
            $NODES
            role red-runner { $red }
            role blue-runner { allow submit, resubmit, withdraw where team is blue and owner is self; allow show where team is blue; }
            role keeper { allow administer, audit, show; }
            grant red-runner to ada;
            grant blue-runner to ben;
            rule looking: allow show to cas where team in (red, blue);
            grant keeper to root;
            rule matcher: deny submit, withdraw to everyone where priority is critical;
            $more
        """.trimIndent()

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

package plankwall.fuzz

import plankwall.audit.AuditLines
import plankwall.audit.MalformedAuditLineException
import plankwall.audit.Seals
import plankwall.authorization.InvalidPolicyException
import plankwall.authorization.PolicyReader
import plankwall.core.statemachine.Action
import plankwall.identity.MalformedKeyException
import plankwall.identity.Networks
import plankwall.identity.PeerAuthenticator
import plankwall.identity.PeerFrameSigner
import plankwall.identity.PeerKey
import plankwall.identity.PublicKey
import plankwall.identity.SigningKey
import plankwall.identity.TokenReader
import plankwall.identity.TokenResult
import plankwall.identity.Tokens
import plankwall.simulation.SimulatedCluster
import plankwall.wire.AdminCodec
import plankwall.wire.CloudCodec
import plankwall.wire.CloudServiceCodec
import plankwall.wire.ExitCause
import plankwall.wire.HeartbeatStatus
import plankwall.wire.JobCodec
import plankwall.wire.MalformedMessageException
import plankwall.wire.PeerCodec
import plankwall.wire.PeerStatus
import plankwall.wire.StateCodec
import plankwall.wire.StateServiceCodec
import plankwall.wire.TaskStage
import plankwall.wire.TaskStatus
import plankwall.wire.WorkerCodec

/**
 * The fuzz targets: the readers of input that anyone can send. A target fails if the input causes another exception
 * than the documented one, or if forged input is accepted.
 */
object Targets {
    const val NOW = 1_700_000_000_000L

    /** A fixed key, so that a run can be repeated. */
    val key: SigningKey = SigningKey.parse(
        """{"kty":"OKP","crv":"Ed25519","kid":"k1","sub":"ada","d":"nWGxne_9WmC6hEr0kuwsxERJxWl7MmkZcDusAxyuf2A","x":"11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo"}""",
    )
    private val peerKey = PeerKey("k", ByteArray(32) { 3 })
    val token: String = Tokens.authorization(Tokens.sign(key, "site", "id", NOW, 30, "f"))
    val frame: ByteArray = PeerFrameSigner(
        "n1",
        1,
        listOf(peerKey),
        false,
        0,
    ).sign(PeerCodec.write(PeerStatus("n1", 1, 5, false, 0, true, 0, 2)), NOW)
    val auditLine: String = AuditLines.write(
        3,
        AuditLines.START,
        "n0",
        plankwall.audit.AuditEntry(
            "a-1", NOW, 5, "ada", "k1", "10.0.0.0/24", "submit", "job-000001", true, "rule", 1, 201, "q",
        ),
    )
    private val tokenReader = TokenReader("site", 2_000, 60_000)

    fun rights(text: String) {
        try {
            val policy = PolicyReader.read(text, 1)
            for (who in policy.principals.keys.take(3)) for (action in Action.entries) policy.explain(who, action, null)
        } catch (e: InvalidPolicyException) {
            check(e.line >= 1 && e.column >= 1) { "an error without a position: ${e.message}" }
        }
    }

    /** Only the token itself may be accepted, or one that differs from it in bits that base64 ignores. */
    fun token(header: String) {
        val result = tokenReader.read(header, NOW) { principal, keyId ->
            if (principal == "ada" && keyId == "k1") {
                PublicKey.of("k1", key.x)
            } else {
                null
            }
        }
        check(
            result is TokenResult.Refused ||
                header.trim().substringAfterLast(' ') == token.substringAfterLast(' ') ||
                hasSameSignedPart(header),
        ) { "forged token accepted: $header" }
    }

    private fun hasSameSignedPart(header: String): Boolean = header.substringAfterLast(' ').substringBeforeLast('.') ==
        token.substringAfterLast(' ').substringBeforeLast('.')

    fun frame(bytes: ByteArray) {
        val message = try {
            PeerAuthenticator(PeerFrameSigner("n0", 9, listOf(peerKey), false, 0)) { null }.verify(bytes, NOW)
        } catch (_: MalformedMessageException) {
            null
        }
        check(message == null || bytes.contentEquals(frame)) { "believed" }
        try {
            PeerCodec.read(bytes)
        } catch (_: MalformedMessageException) {
            return
        }
    }

    fun auditLog(bytes: ByteArray) {
        try {
            AuditLines.export(AuditLines.read(bytes.decodeToString()))
        } catch (_: MalformedAuditLineException) {
            Unit
        }
        try {
            Seals.read(bytes.decodeToString())
        } catch (_: MalformedAuditLineException) {
            Unit
        }
        check(
            !Seals.isSigned(bytes.decodeToString()) { _, _ ->
                PublicKey.of("k1", key.x)
            },
        ) { "a forged seal was accepted" }
        for (reader in listOf<
            (ByteArray) -> Any,
            >(AdminCodec::readSegment, AdminCodec::readSeal, AdminCodec::readPublication, AdminCodec::readRights)) {
            try {
                reader(bytes)
            } catch (_: MalformedMessageException) {
                continue
            }
        }
    }

    /** The readers of messages by the protocols of users, workers, the cloud and the state service. */
    private val messageReaders = listOf<(ByteArray) -> Any>(
        JobCodec::read,
        JobCodec::hasEnded,
        WorkerCodec::readHeartbeat,
        CloudCodec::readCatalog,
        CloudCodec::readRented,
        CloudCodec::readListed,
        CloudServiceCodec::readRent,
        StateCodec::readItem,
        StateCodec::readItems,
        StateCodec::readChanges,
        StateCodec::readCommitted,
        StateCodec::readGranted,
        StateCodec::readConflict,
        StateServiceCodec::readTxn,
        StateServiceCodec::readGrant,
    )

    fun message(bytes: ByteArray) {
        for (reader in messageReaders) {
            try {
                reader(bytes)
            } catch (_: MalformedMessageException) {
                continue
            }
        }
    }

    /** Messages of each protocol, each in every encoding that JSON texts may have. */
    private fun messagesInAllEncodings(): List<ByteArray> {
        val heartbeat = HeartbeatStatus(
            "i-1", "a:1", "box", "a", false, 1, 2, 3, 60.0,
            listOf(TaskStatus("job-000001", 0, 7, TaskStage.EXITED, ExitCause.STOPPED, true)),
        )
        val messages = listOf(
            JobCodec.description(SimulatedCluster.job(1, after = listOf(2))).decodeToString(),
            WorkerCodec.writeHeartbeat(heartbeat).decodeToString(),
            """{"builds":[{"name":"box","cores":4,"accelerators":1,"ram_gb":16,"cache_gb":9,"pull_gb_per_s":1.0,"rate":2.5,"low_price":1,"ready_s":45,"yards":["a"]}]}""",
            """{"berths":[{"id":"i-1","address":"a:1","build":"box","yard":"a","loaners":true,"stage":"running","held_s":6.5}],"has_next":false}""",
            """{"ledger":5,"news":[{"set":"j/job-000001","data":{"x":1},"stamp":5},{"remove":"f/job-000002","stamp":4}]}""",
            """{"guards":[{"key":"a","stamp":0}],"writes":[{"remove":"a"}]}""",
        )
        val encodings = listOf("UTF-8", "UTF-16", "UTF-16BE", "UTF-16LE", "UTF-32BE", "UTF-32LE").map(::charset)
        return messages.flatMap { message -> encodings.map { message.toByteArray(it) } }
    }

    fun network(text: String) {
        Networks.neighbourhood(text)
        Networks.isSameHost(text, "10.0.0.1:80")
        try {
            Networks.of(listOf(text)) { throw MalformedKeyException("no") }.contains(text)
        } catch (_: MalformedKeyException) {
            return
        }
    }

    /** A fuzz target: the inputs that mutations start from, and the function that is run on each input. */
    private class Target(val seeds: List<ByteArray>, val run: (ByteArray) -> Unit)

    private val targetsByName = mapOf(
        "rights" to Target(listOf(RIGHTS.encodeToByteArray())) { rights(it.decodeToString()) },
        "token" to Target(listOf(token.encodeToByteArray())) { token(it.decodeToString()) },
        "frame" to Target(listOf(frame, PeerCodec.write(PeerStatus("n1", 1, 5, false, 0, true, 0, 2)))) { frame(it) },
        "trail" to
            Target(
                listOf(
                    auditLine.encodeToByteArray(),
                    """{"f":0,"b":"x","l":["a"]}""".encodeToByteArray(),
                    """{"base":3,"text":"x"}""".encodeToByteArray(),
                ),
            ) {
                auditLog(it)
            },
        "network" to
            Target(
                listOf("10.0.0.0/8", "2001:db8::/32", "[::1]:80").map {
                    it.encodeToByteArray()
                },
            ) { network(it.decodeToString()) },
        "message" to Target(messagesInAllEncodings(), ::message),
    )
    val names: Set<String> get() = targetsByName.keys

    fun seeds(name: String): List<ByteArray> = targetsByName.getValue(name).seeds

    fun run(name: String, bytes: ByteArray) = targetsByName.getValue(name).run(bytes)

    private const val RIGHTS = """
        person lea { key k1 "11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo" from "2026-01-01T00:00:00Z" until "2027-01-01T00:00:00Z"; network "10.0.0.0/8", "::1"; }
        group leads { lea }
        role nightly { allow submit where class is rota-solve and not (priority at least urgent or shape in (service)) on revoke withdraw; }
        grant nightly to group leads;
        rule live: deny withdraw to everyone where owner is self;
        peers network "10.0.0.0/8";
    """
}

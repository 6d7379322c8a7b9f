package plankwall.gateway

import com.fasterxml.jackson.databind.JsonNode
import plankwall.audit.AuditLogCopy
import plankwall.simulation.SimulatedStore
import plankwall.simulation.SimulatedWorker
import plankwall.wire.AuditSeal
import plankwall.wire.AuditSegment
import plankwall.wire.JobRecord
import plankwall.wire.Stored
import java.security.MessageDigest
import java.util.Base64

/**
 * Compares the answers that callers got with the stored audit log and the stored jobs. It parses the entries itself and
 * shares no code with their writer, so that a fault in the writer can't hide itself.
 */
class AuditLogChecker(values: Map<String, Stored>) {
    private val segments = values.filterKeys { it.startsWith("trail/") }.mapValues { it.value as AuditSegment }
    private val seals = values.filterKeys { it.startsWith("seal/") }.mapValues { it.value as AuditSeal }
    private val jobs = values.filterKeys { it.startsWith("j/") || it.startsWith("f/") }

    /** The entries of all chains, ordered by node and number. */
    val entries: List<JsonNode> = segments.toSortedMap().values.flatMap { segment ->
        segment.lines.map { SimulatedWorker.json.readTree(it) }
    }

    /** The stored segments and seals as the verifier takes them. */
    val copy = AuditLogCopy(
        segments.entries.groupBy { it.key.split('/')[1] }.mapValues { (_, nodeSegments) ->
            nodeSegments.associate {
                it.key.substringAfterLast('/').toLong() to
                    it.value
            }
        },
        seals.entries.associate { it.key.substringAfterLast('/').toLong() to it.value.jws },
    )

    /** Returns a description of each contradiction between [requests], the audit log and the stored jobs. */
    fun check(requests: List<Callers.SentRequest>): List<String> {
        val problems = ArrayList<String>()
        val entriesById = entries.filter { it.has("q") }.groupBy { it.get("q").asText() }
        val requestsById = requests.associateBy { it.id }
        entries.groupBy {
            it.get("i").asText()
        }.filterValues { it.size > 1 }.keys.forEach { problems.add("decision $it is stored more than once") }
        val requestsByUnprovenName = requests.groupBy { unprovenName(it.authorization) }
        for ((requestId, found) in entriesById) {
            if (requestId in requestsByUnprovenName) continue
            val request = requestsById[requestId]
            if (request == null) {
                problems.add("nobody sent $requestId")
            } else if (found.any { it.get("w").asText() != request.principal }) {
                problems.add("$requestId was sent by ${request.principal}, not ${found.map { it.get("w").asText() }}")
            }
        }
        for (r in requests) if (r.status != 401 || r.id in entriesById) check(r, entriesById[r.id].orEmpty(), problems)
        for ((name, sameProof) in requestsByUnprovenName) {
            val refused = sameProof.count { it.status == 401 && it.id !in entriesById }
            val undecided = sameProof.count { it.status == 0 || it.status == 429 || it.status == 503 }
            val stored = entriesById[name].orEmpty().size
            if (stored < refused || stored > refused + undecided) {
                problems.add("$name was answered 401 $refused times and is stored $stored times")
            }
        }
        checkJobs(problems)
        return problems
    }

    /** Returns the name, made from a hash, under which requests with an invalid [authorization] header are stored. */
    private fun unprovenName(authorization: String?): String {
        val hash = MessageDigest.getInstance("SHA-256").digest(authorization.orEmpty().take(8192).encodeToByteArray())
        return "unproven-" + Base64.getUrlEncoder().encodeToString(hash).take(16)
    }

    /** Compares the request [sent] with [found], the entries that are stored under its id. */
    private fun check(sent: Callers.SentRequest, found: List<JsonNode>, problems: MutableList<String>) {
        val name =
            "${sent.id} (${sent.principal} ${sent.action} ${sent.subject}, answered ${sent.status})"
        if (found.size > 1) problems.add("$name is stored ${found.size} times")
        // A request that got no answer or has to be retried may have an entry, but at most one.
        if (sent.status == 0 || sent.status == 429 || sent.status == 503) return
        val entry = found.singleOrNull() ?: return Unit.also { if (found.isEmpty()) problems.add("$name is missing") }
        if (entry.get("o").asInt() != sent.status) problems.add("$name is stored as ${entry.get("o")}")
        val allowed = entry.get("ok").asInt() == 1
        if (allowed == (sent.status == 401 || sent.status == 403)) problems.add("$name is stored as allowed=$allowed")
        if (sent.subject.isNotEmpty() &&
            entry.get("a").asText() != "enter" &&
            entry.get("s").asText() != sent.subject
        ) {
            problems.add("$name is stored for ${entry.get("s")}")
        }
    }

    /**
     * Checks that each stored job was allowed by exactly one entry, that each allowed job is stored, and that each
     * cancelled job was cancelled by an entry.
     */
    private fun checkJobs(problems: MutableList<String>) {
        val allowedSubmissions = entries.filter {
            it.get("a").asText() == "submit" && it.get("o").asInt() == 201
        }.groupBy { it.get("s").asText() }
        val storedIds = jobs.keys.map { it.substringAfter('/') }.toSet()
        for (id in storedIds) {
            if (allowedSubmissions[id]?.size != 1) {
                problems.add("$id is stored, allowed ${allowedSubmissions[id]?.size ?: 0} times")
            }
        }
        for (id in allowedSubmissions.keys) if (id !in storedIds) problems.add("$id was allowed and is not stored")
        val cancelledIds = entries.filter {
            it.get("o").asInt() == 200 &&
                it.get("a").asText() == "withdraw" ||
                it.get("x")?.asText() == "withdraw"
        }
            .map { it.get("s").asText() }.toSet()
        for ((key, value) in jobs) {
            if (value is JobRecord && value.cancelledMs > 0 && key.substringAfter('/') !in cancelledIds) {
                problems.add("$key was cancelled without an entry")
            }
        }
    }

    companion object {
        /** Returns a checker of all that is stored in [state] at present. */
        fun of(state: SimulatedStore): AuditLogChecker =
            AuditLogChecker(state.keys.associateWith { checkNotNull(state.value(it)) })
    }
}

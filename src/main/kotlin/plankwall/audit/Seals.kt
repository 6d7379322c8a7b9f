package plankwall.audit

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import org.jose4j.jws.AlgorithmIdentifiers
import org.jose4j.jws.JsonWebSignature
import org.jose4j.lang.JoseException
import plankwall.identity.PublicKey
import plankwall.identity.SigningKey
import plankwall.identity.signCompactJws

/** The end of a chain of [next] entries. [segment] and [hash]: the segment that stores the last entry, and its hash. */
data class ChainHead(val segment: Long, val next: Long, val hash: String)

/**
 * A checkpoint of the audit log. [before]: the hash of the previous seal. [epoch]: the epoch of the leader that wrote
 * it. [by]: the node that signed it. [heads]: the end of each node's chain.
 */
data class Seal(
    val number: Long,
    val before: String,
    val atMs: Long,
    val epoch: Long,
    val by: String,
    val heads: Map<String, ChainHead>,
)

/** Signs, reads and verifies seals. They are compact JWS, so that a copy can be kept and verified by itself. */
object Seals {
    private const val TYPE = "plankwall-seal"
    private const val HEAD_FIELDS = 3
    private val json = ObjectMapper()

    /** Returns [seal] as a compact JWS signed with [key]. */
    fun sign(seal: Seal, key: SigningKey): String {
        val payload = json.createObjectNode().apply {
            put("n", seal.number)
            put("b", seal.before)
            put("t", seal.atMs)
            put("e", seal.epoch)
            put("d", seal.by)
            val heads = putObject("heads")
            seal.heads.toSortedMap().forEach { (node, head) ->
                heads.putArray(node).add(head.segment).add(head.next).add(head.hash)
            }
        }.toString()
        return signCompactJws(payload, key, TYPE)
    }

    /** Reads a seal without verifying its signature. Throws [MalformedAuditLineException]. */
    fun read(jws: String): Seal = decode(parse(jws).unverifiedPayload)

    /** Whether the node that a seal names has signed it. [keyOf]: returns a node's key by its id, or null. */
    fun isSigned(jws: String, keyOf: (node: String, key: String) -> PublicKey?): Boolean = try {
        val signature = parse(jws)
        val key = signature.keyIdHeaderValue?.let { keyOf(decode(signature.unverifiedPayload).by, it) }
        key != null &&
            signature.getHeader("typ") == TYPE &&
            signature.algorithmHeaderValue == AlgorithmIdentifiers.EDDSA &&
            key.hasSigned(jws)
    } catch (_: MalformedAuditLineException) {
        false
    } catch (_: JoseException) {
        false
    }

    @Suppress("TooGenericExceptionCaught") // The library throws various exceptions if this is not a JWS.
    private fun parse(jws: String): JsonWebSignature = try {
        JsonWebSignature().also { it.compactSerialization = jws }
    } catch (e: JoseException) {
        throw MalformedAuditLineException("not a signed seal", e)
    } catch (e: RuntimeException) {
        throw MalformedAuditLineException("not a signed seal", e)
    }

    private fun decode(payload: String): Seal {
        val fields = try {
            json.readTree(payload) as? ObjectNode ?: throw MalformedAuditLineException("a seal without fields")
        } catch (e: JsonProcessingException) {
            throw MalformedAuditLineException("a seal that is not JSON", e)
        }
        val heads = decodeHeads(fields)
        return Seal(
            fields.number("n"),
            fields.text("b"),
            fields.number("t"),
            fields.number("e"),
            fields.text("d"),
            heads,
        )
    }

    private fun decodeHeads(fields: ObjectNode): Map<String, ChainHead> {
        val stored = fields.get("heads") as? ObjectNode ?: throw MalformedAuditLineException("a seal without heads")
        val heads = LinkedHashMap<String, ChainHead>()
        for ((node, head) in stored.fields()) {
            if (head.size() != HEAD_FIELDS) throw MalformedAuditLineException("the seal's head of $node is malformed")
            heads[node] = ChainHead(head[0].asLong(), head[1].asLong(), head[2].asText())
        }
        return heads
    }

    private fun ObjectNode.number(name: String): Long = get(name)?.takeIf { it.isIntegralNumber }?.longValue()
        ?: throw MalformedAuditLineException("a seal without $name")

    private fun ObjectNode.text(name: String): String = get(name)?.takeIf { it.isTextual }?.textValue()
        ?: throw MalformedAuditLineException("a seal without $name")
}

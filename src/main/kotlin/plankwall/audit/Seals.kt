package plankwall.audit

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import org.jose4j.jws.AlgorithmIdentifiers
import org.jose4j.jws.JsonWebSignature
import org.jose4j.lang.JoseException
import plankwall.identity.PublicKey
import plankwall.identity.SigningKey
import plankwall.identity.signatureOf

/** The state of one chain: [next] entries, the last of which has [hash] and is stored in [segment]. */
data class ChainHead(val segment: Long, val next: Long, val hash: String)

/** A checkpoint over all chains. [before]: the hash of the previous seal. [by]: the node that signed it. */
data class Seal(
    val number: Long,
    val before: String,
    val atMs: Long,
    val epoch: Long,
    val by: String,
    val heads: Map<String, ChainHead>,
)

/** Seals are written as a signed compact JWS, so that they can be kept and checked by themselves. */
object Seals {
    private const val TYPE = "plankwall-seal"
    private const val HEAD_FIELDS = 3
    private val json = ObjectMapper()

    /** [seal] as a compact JWS signed with [key]. */
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
        return signatureOf(payload, key, TYPE)
    }

    /** Reads a seal without checking its signature. Throws [MalformedAuditLineException]. */
    fun read(jws: String): Seal = decode(parse(jws).unverifiedPayload)

    /** Whether the node that a seal names has signed it with one of its keys; [keyOf] looks them up. */
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

    @Suppress("TooGenericExceptionCaught") // The library throws several kinds on input that is no JWS at all.
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
            if (head.size() != HEAD_FIELDS) throw MalformedAuditLineException("a seal's head of $node")
            heads[node] = ChainHead(head[0].asLong(), head[1].asLong(), head[2].asText())
        }
        return heads
    }

    private fun ObjectNode.number(name: String): Long = get(name)?.takeIf { it.isIntegralNumber }?.longValue()
        ?: throw MalformedAuditLineException("a seal without $name")

    private fun ObjectNode.text(name: String): String = get(name)?.takeIf { it.isTextual }?.textValue()
        ?: throw MalformedAuditLineException("a seal without $name")
}

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

/** How far one chain had come: [next] entries, the last of which has [hash]. [segment] is where that one lies. */
data class ChainHead(val segment: Long, val next: Long, val hash: String)

/** A checkpoint over all chains. [before]: the hash of the seal before it. */
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
    private val json = ObjectMapper()

    fun sign(seal: Seal, key: SigningKey): String {
        val payload = json.createObjectNode().apply {
            put("n", seal.number)
            put("b", seal.before)
            put("t", seal.atMs)
            put("e", seal.epoch)
            put("d", seal.by)
            val heads = putObject("heads")
            seal.heads.toSortedMap().forEach { (node, h) ->
                heads.putArray(node).add(h.segment).add(h.next).add(h.hash)
            }
        }.toString()
        return signatureOf(payload, key, TYPE)
    }

    /** What a seal says, whoever signed it. Throws [MalformedAuditLineException]. */
    fun read(jws: String): Seal = decode(JsonWebSignature().also { parse(it, jws) }.unverifiedPayload)

    /** Whether the node that a seal names has signed it, by one of its keys in [keyOf]. */
    fun isSigned(jws: String, keyOf: (node: String, key: String) -> PublicKey?): Boolean = try {
        val signature = JsonWebSignature().also { parse(it, jws) }
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

    private fun parse(into: JsonWebSignature, jws: String) = try {
        into.compactSerialization = jws
    } catch (_: JoseException) {
        throw MalformedAuditLineException("not a signed seal")
    } catch (_: RuntimeException) {
        throw MalformedAuditLineException("not a signed seal")
    }

    private fun decode(payload: String): Seal {
        val o = try {
            json.readTree(payload) as? ObjectNode ?: throw MalformedAuditLineException("a seal without fields")
        } catch (_: JsonProcessingException) {
            throw MalformedAuditLineException("a seal that is not JSON")
        }
        val heads = LinkedHashMap<String, ChainHead>()
        for ((node, h) in (
            o.get(
                "heads",
            ) as? ObjectNode ?: throw MalformedAuditLineException("a seal without heads")
            ).fields()) {
            if (h.size() != 3) throw MalformedAuditLineException("a seal's head of $node")
            heads[node] = ChainHead(h[0].asLong(), h[1].asLong(), h[2].asText())
        }
        fun number(name: String): Long = o.get(name)?.takeIf { it.isIntegralNumber }?.longValue()
            ?: throw MalformedAuditLineException("a seal without $name")
        fun text(name: String): String = o.get(name)?.takeIf { it.isTextual }?.textValue()
            ?: throw MalformedAuditLineException("a seal without $name")
        return Seal(number("n"), text("b"), number("t"), number("e"), text("d"), heads)
    }
}

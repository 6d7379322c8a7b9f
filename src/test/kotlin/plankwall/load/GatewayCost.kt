package plankwall.load

import plankwall.audit.AuditChainTail
import plankwall.audit.AuditEntry
import plankwall.audit.AuditLines
import plankwall.identity.Networks
import plankwall.identity.PublicKey
import plankwall.identity.SigningKey
import plankwall.identity.TokenReader
import plankwall.identity.TokenResult
import plankwall.identity.Tokens
import plankwall.wire.AuditSegment
import plankwall.wire.Guard
import plankwall.wire.StateCodec
import plankwall.wire.StateOp
import plankwall.wire.Write

/**
 * Measures the time that each step of the gateway takes. Run by hand with the JVM flags of the small machine:
 * `-XX:TieredStopAtLevel=1 -XX:+UseSerialGC`.
 */
object GatewayCost {
    @JvmStatic
    fun main(args: Array<String>) {
        val key = SigningKey.generate("ada", "k1")
        val public = PublicKey.of("k1", key.x)
        val now = System.currentTimeMillis()
        val tokens = List(500) { Tokens.authorization(Tokens.sign(key, "site", "t$it", now, 60, "f")) }
        val reader = TokenReader("site", 2000, 60_000)
        val entry =
            AuditEntry(
                "abc-1", now, 5, "ada", "k1", "10.0.0.0/24", "submit", "job-000001", true, "role all, line 1", 1, 201,
                "2f0a-77",
            )
        val line = AuditLines.write(7, AuditLines.START, "n0", entry)
        val segment = AuditSegment(0, AuditLines.START, List(20) { line })
        repeat(4) {
            println(
                listOf<Pair<String, (Int) -> Any?>>(
                    "token" to { n -> reader.read(tokens[n % 500], now) { _, _ -> public } as TokenResult.Proven },
                    "signature" to { n -> public.hasSigned(tokens[n % 500].substring(7)) },
                    "fingerprint" to { Tokens.fingerprintOf("POST", "/api/jobs", ByteArray(300)) },
                    "network" to { Networks.neighbourhood("10.1.2.3") },
                    "line" to { AuditLines.hash(AuditLines.write(7, AuditLines.START, "n0", entry)) },
                    "end" to { AuditChainTail.End(1, 2, segment).size },
                    "txn" to
                        {
                            StateCodec.writeTransaction(
                                StateOp.Txn(listOf(Guard("a", 1)), listOf(Write.Put("trail/n0/1", segment))),
                            ).size
                        },
                ).joinToString(", ") { (name, runStep) ->
                    val startedNs = System.nanoTime()
                    repeat(500) { runStep(it) }
                    "%s %.3f ms".format(name, (System.nanoTime() - startedNs) / 500e6)
                },
            )
        }
    }
}

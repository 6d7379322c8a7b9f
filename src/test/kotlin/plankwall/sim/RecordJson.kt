package plankwall.sim

import plankwall.wire.StateCodec
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Stored
import plankwall.wire.Write

/** Records as the state service is sent them, and as it sends them back. */
object RecordJson {
    fun encode(record: Stored): String = StateCodec.txn(
        StateOp.Txn(emptyList(), listOf(Write.Put("x", record))),
    ).decodeToString().substringAfter("\"data\":").removeSuffix("}]}")

    fun decode(key: String, json: String): Stored? = (
        StateCodec.item(
            """{"data":$json,"stamp":7,"key":"$key"}""".encodeToByteArray(),
        ) as StateResult.Item
        ).item?.value
}

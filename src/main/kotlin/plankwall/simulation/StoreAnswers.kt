package plankwall.simulation

import plankwall.wire.MalformedMessageException
import plankwall.wire.StateCodec
import plankwall.wire.StateResult
import plankwall.wire.StateServiceCodec

/** The answers of the simulated store in the form in which they travel over the network: as bytes. */
internal object StoreAnswers {
    /**
     * Returns [result] as a controller reads it from the bytes of the answer. An answer that the controller can't read
     * is [StateResult.Unknown] to it, whatever else the answer holds.
     */
    fun asReceived(result: StateResult): StateResult = try {
        when (result) {
            is StateResult.Item -> if (result.item == null) result else StateCodec.readItem(encode(result))
            is StateResult.Items -> StateCodec.readItems(encode(result))
            is StateResult.News -> StateCodec.readChanges(encode(result))
            else -> result
        }
    } catch (_: MalformedMessageException) {
        StateResult.Unknown
    }

    private fun encode(result: StateResult): ByteArray = StateServiceCodec.write(result)
}

package plankwall.audit

import plankwall.core.statemachine.Context
import plankwall.wire.StateItem
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * Finds the last of the records that are numbered from 0 without a gap, by an exponential and a binary search. This
 * takes few reads however many records there are, and needs no counter, which would have to be written with each
 * record. [keyOf]: returns the key of the record with a number.
 */
class LastRecordSearch(private val keyOf: (Long) -> String, private val ctx: Context) {
    /** The last record and its [number]. If [item] is null, there is no record yet, and [number] is the first one's. */
    class Found(val number: Long, val item: StateItem?)

    /** Finds the last record. [from]: the number of an existing record, or 0. [onResult] gets null if a read fails. */
    fun find(from: Long, onResult: (Found?) -> Unit) = searchUpwards(from, 1, null, onResult)

    /** Reads the record [number]; [onResult] gets null if the read fails. */
    private fun read(number: Long, onResult: (StateResult.Item?) -> Unit): Unit =
        ctx.out.state(StateOp.Get(keyOf(number))) { onResult(it as? StateResult.Item) }

    /** Searches upwards from [number] with doubling steps for a missing record. [last]: the last one that was found. */
    private fun searchUpwards(number: Long, step: Long, last: Found?, onResult: (Found?) -> Unit): Unit =
        read(number) { result ->
            val item = result?.item
            when {
                result == null -> onResult(null)
                item != null -> searchUpwards(number + step, step * 2, Found(number, item), onResult)
                last == null -> onResult(Found(number, null))
                else -> bisect(last, number, onResult)
            }
        }

    /** Searches the last record between [present], which exists, and the number [absent], which does not. */
    private fun bisect(present: Found, absent: Long, onResult: (Found?) -> Unit) {
        if (absent - present.number <= 1) {
            onResult(present)
            return
        }
        val middle = present.number + (absent - present.number) / 2
        read(middle) { result ->
            val item = result?.item
            when {
                result == null -> onResult(null)
                item != null -> bisect(Found(middle, item), absent, onResult)
                else -> bisect(present, middle, onResult)
            }
        }
    }
}

package plankwall.audit

import plankwall.core.statemachine.Context
import plankwall.wire.StateItem
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * Finds the last of keys that are numbered from 0 without a gap, by doubling and halving: a few reads however many
 * there are, and no counter that would have to be written with each.
 */
class LastRecordSearch(private val key: (Long) -> String, private val ctx: Context) {
    /** The last record, under [number]; [item] null: there is none yet, and [number] is where it would be. */
    class Found(val number: Long, val item: StateItem?)

    /** Finds the last record; [then] gets null if the store can't be read. [from]: a number known to exist, or 0. */
    fun find(from: Long, then: (Found?) -> Unit) = searchUpwards(from, 1, null, then)

    private fun get(number: Long, then: (StateResult.Item?) -> Unit): Unit = ctx.out.state(StateOp.Get(key(number))) {
        then(it as? StateResult.Item)
    }

    private fun searchUpwards(at: Long, step: Long, last: Found?, then: (Found?) -> Unit): Unit = get(at) { result ->
        val item = result?.item
        when {
            result == null -> then(null)
            item != null -> searchUpwards(at + step, step * 2, Found(at, item), then)
            last == null -> then(Found(at, null))
            else -> bisect(last, at, then)
        }
    }

    private fun bisect(present: Found, absent: Long, then: (Found?) -> Unit) {
        if (absent - present.number <= 1) {
            then(present)
            return
        }
        val middle = present.number + (absent - present.number) / 2
        get(middle) { result ->
            val item = result?.item
            when {
                result == null -> then(null)
                item != null -> bisect(Found(middle, item), absent, then)
                else -> bisect(present, middle, then)
            }
        }
    }
}

package plankwall.audit

import plankwall.core.statemachine.Context
import plankwall.wire.StateItem
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * Finds the last of keys that are numbered from 0 without a gap, by doubling and halving: a few reads however many
 * there are, and no further key that would have to be written with each.
 */
class LastRecordSearch(private val key: (Long) -> String, private val ctx: Context) {
    /** [item] null: there is none yet. */
    class Found(val number: Long, val item: StateItem?)

    /** [then] gets null if the store can't be read. [from]: a number known to be there, or 0. */
    fun find(from: Long, then: (Found?) -> Unit) = gallop(from, 1, null, then)

    private fun get(number: Long, then: (StateResult.Item?) -> Unit): Unit = ctx.out.state(StateOp.Get(key(number))) {
        then(it as? StateResult.Item)
    }

    private fun gallop(at: Long, step: Long, last: Found?, then: (Found?) -> Unit): Unit = get(at) { result ->
        val item = result?.item
        when {
            result == null -> then(null)
            item != null -> gallop(at + step, step * 2, Found(at, item), then)
            last == null -> then(Found(at, null))
            else -> halve(last, at, then)
        }
    }

    private fun halve(there: Found, absent: Long, then: (Found?) -> Unit) {
        if (absent - there.number <= 1) {
            then(there)
            return
        }
        val middle = there.number + (absent - there.number) / 2
        get(middle) { result ->
            val item = result?.item
            when {
                result == null -> then(null)
                item != null -> halve(Found(middle, item), absent, then)
                else -> halve(there, middle, then)
            }
        }
    }
}

package plankwall.wire

/**
 * Run-length encoding of machine names. The cloud numbers machines in the order of creation, so those of one scale-out
 * are mostly consecutive. Written as the first name and the number of names that follow it, hundreds of them fit a
 * stored value of a few KiB.
 */
internal object NameRuns {
    /** Calls [onRun] for each run of consecutive names in [names], in their order. */
    fun write(names: List<String>, onRun: (first: String, following: Int) -> Unit) {
        var first: String? = null
        var last = ""
        var following = 0
        for (name in names) {
            if (first != null && following < MAX_FOLLOWING_NAMES && name == nextName(last)) {
                following++
            } else {
                if (first != null) onRun(first, following)
                first = name
                following = 0
            }
            last = name
        }
        if (first != null) onRun(first, following)
    }

    /**
     * Returns the names of the run that begins with [first]. Throws [MalformedMessageException] for a number
     * [following] that is never written.
     */
    fun read(first: String, following: Int): List<String> {
        if (following !in 0..MAX_FOLLOWING_NAMES) throw MalformedMessageException("run of $following names")
        return generateSequence(first) { nextName(it) }.take(following + 1).toList()
    }

    /**
     * Returns the name of the same length whose number is higher by one; null if [name] does not end with a number or
     * the next number has more digits.
     */
    private fun nextName(name: String): String? {
        val digits = name.length - name.indexOfLast { !it.isDigit() } - 1
        if (digits == 0 || digits > MAX_DIGITS) return null
        val number = (name.takeLast(digits).toLong() + 1).toString()
        return if (number.length > digits) null else name.dropLast(digits) + number.padStart(digits, '0')
    }

    private const val MAX_FOLLOWING_NAMES = 100_000

    /** The maximum number of digits that surely fit a Long. */
    private const val MAX_DIGITS = 18
}

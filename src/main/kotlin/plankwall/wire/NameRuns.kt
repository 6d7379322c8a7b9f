package plankwall.wire

/**
 * Machine names come numbered in order of creation, so those of one scale-out are mostly consecutive: written as a
 * first name and how many follow it, hundreds of them fit a stored value of a few KiB.
 */
internal object NameRuns {
    /** Passes every run of consecutive [names], in order, to [run]. */
    fun write(names: List<String>, run: (first: String, following: Int) -> Unit) {
        var first: String? = null
        var last = ""
        var following = 0
        for (name in names) {
            if (first != null && name == next(last)) {
                following++
            } else {
                if (first != null) run(first, following)
                first = name
                following = 0
            }
            last = name
        }
        if (first != null) run(first, following)
    }

    /** The names of one run; throws [MalformedMessageException] for a count that is never written. */
    fun read(first: String, following: Int): List<String> {
        if (following !in 0..MAX_RUN) throw MalformedMessageException("run of $following names")
        return generateSequence(first) { next(it) }.take(following + 1).toList()
    }

    /** The name numbered one higher, of the same length; null if there is none. */
    private fun next(name: String): String? {
        val digits = name.length - name.indexOfLast { !it.isDigit() } - 1
        if (digits == 0 || digits > MAX_DIGITS) return null
        val number = (name.takeLast(digits).toLong() + 1).toString()
        return if (number.length > digits) null else name.dropLast(digits) + number.padStart(digits, '0')
    }

    private const val MAX_RUN = 100_000

    /** A number of more digits may not fit a Long. */
    private const val MAX_DIGITS = 18
}

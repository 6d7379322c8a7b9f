package plankwall.wire

/** Keys of the controllers' records in the state service. Those of access control are in [AccessKeys]. */
object Keys {
    const val LEADER = "leader"
    const val FLEET = "fleet"
    const val CATALOG = "catalog"
    const val LEVEL = "level"
    const val JOBS = "j/"
    const val PAGES = "t/"
    const val FINALS = "f/"

    /** The key of a live job's [JobRecord]. */
    fun job(id: String) = "$JOBS$id"

    /** The prefix of all [PageRecord]s of a job. */
    fun pages(id: String) = "$PAGES$id/"

    /** The key of one [PageRecord]; zero-padded, so that the store's key order is the pages' order. */
    fun page(id: String, page: Int) = "$PAGES$id/${page.toString().padStart(PAGE_DIGITS, '0')}"

    /** The key of a finished job's [FinalRecord]. */
    fun final(id: String) = "$FINALS$id"

    /** The job id in the key of a job, a page or a final record. */
    fun jobId(key: String): String = key.substringAfter('/').substringBefore('/')

    /** The number of part [part] of [page]; part 0 is the page itself. */
    fun part(page: Int, part: Int): Int = part * PART_STEP + page

    /** The page that [number] is a part of. */
    fun wholeOf(number: Int): Int = number % PART_STEP

    /** Which part of its page [number] is. */
    fun partOf(number: Int): Int = number / PART_STEP

    /** The key of the [n]th continuation, counting from 1, of a value that is too large for [key] alone. */
    fun more(key: String, n: Int) = "$key/$n"

    /** The number of the page, or of the part of one, that [key] holds; null if the key names none. */
    fun pageNumber(key: String): Int? = key.substringAfterLast('/').toIntOrNull()

    /** Beyond the number of any page: 100,000 tasks make 12,500 of the smallest. */
    private const val PART_STEP = 1_000_000
    private const val PAGE_DIGITS = 6
}

package plankwall.wire

/** Keys of the scheduler's records in the state service. Those of access control are in [AccessKeys]. */
object Keys {
    /** The key of the [LeaderRecord]. */
    const val LEADER = "leader"

    /** The first key of the [FleetRecord]. */
    const val FLEET = "fleet"

    /** The first key of the [CatalogRecord]. */
    const val CATALOG = "catalog"

    /** The key of the [LevelRecord]. */
    const val LEVEL = "level"

    /** The prefix of the keys of all [JobRecord]s. */
    const val JOBS = "j/"

    /** The prefix of the keys of all [PageRecord]s. */
    const val PAGES = "t/"

    /** The prefix of the keys of all [FinalRecord]s. */
    const val FINALS = "f/"

    /** Returns the key of the [JobRecord] of the job [id]. */
    fun job(id: String) = "$JOBS$id"

    /** Returns the prefix of the keys of all [PageRecord]s of the job [id]. */
    fun pages(id: String) = "$PAGES$id/"

    /**
     * Returns the key of the [PageRecord] with the number [page]. The number is padded with zeros, so that the order of
     * the keys in the state service is the order of the pages.
     */
    fun page(id: String, page: Int) = "$PAGES$id/${page.toString().padStart(PAGE_DIGITS, '0')}"

    /** Returns the key of the [FinalRecord] of the job [id]. */
    fun final(id: String) = "$FINALS$id"

    /** Returns the job id in [key], the key of a [JobRecord], a [PageRecord] or a [FinalRecord]. */
    fun jobId(key: String): String = key.substringAfter('/').substringBefore('/')

    /** Returns the number under which part [part] of the split page [page] is stored; part 0 is the page itself. */
    fun part(page: Int, part: Int): Int = part * PART_STEP + page

    /** Returns the page to which the page or part with this [number] belongs. */
    fun pageOf(number: Int): Int = number % PART_STEP

    /** Returns the position of the part with this [number] in its page; 0 for the page itself. */
    fun partIndexOf(number: Int): Int = number / PART_STEP

    /** Returns the further key with the number [continuation], from 1, of a value that is too large for [key] alone. */
    fun furtherChunk(key: String, continuation: Int) = "$key/$continuation"

    /** Returns the number of the page or part stored under [key]; null if the key does not end with a number. */
    fun pageNumber(key: String): Int? = key.substringAfterLast('/').toIntOrNull()

    /**
     * The distance between the numbers of two parts of a page. It exceeds the number of pages: 100,000 tasks in pages
     * of the smallest size take 12,500.
     */
    private const val PART_STEP = 1_000_000
    private const val PAGE_DIGITS = 6
}

package plankwall.core.state

/**
 * A contiguous range of a job's tasks that is stored under one key: a page, or a part of one that was split. Holds the
 * range and how far the stored copy is known; only [SchedulerState] and [StateWriter] with its parts change it.
 */
class TaskPage(val number: Int) {
    /** The first task of the range. */
    var from = 0
        private set

    /** One past the last task of the range. */
    var to = 0
        private set

    /** The store's version of the page's key, 0 while there is none. */
    var version = 0L

    /** The range has changes that no write has been sent for. */
    var dirty = false

    /** A write or read of the page's key is under way. */
    var inFlight = false

    /** After a conflict or an unanswered read the stored version is unknown, and is read before the next write. */
    var reread = false

    /** 0, or how many tasks each of the keys holds among which this page is split. */
    var partSize = 0

    /** The size in bytes at which the store rejected the page on its own, or 0. */
    var refusedBytes = 0

    /** The store rejected it together with other pages, so it is to be written alone. */
    var alone = false

    /** How many tasks the range has. */
    val tasks: Int get() = to - from

    /** Sets the range to the tasks from [from] up to but not including [to]. */
    fun cover(from: Int, to: Int) {
        this.from = from
        this.to = to
    }
}

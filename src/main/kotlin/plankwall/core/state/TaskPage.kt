package plankwall.core.state

/**
 * A contiguous range of a job's tasks that is stored under one key: a page, or a part of a page that was split. Holds
 * the range and what is known of the stored copy. Only [Job], [SchedulerState] and [StateWriter] with the classes that
 * it uses change it.
 *
 * @property number the number of the page or part in the stored key
 */
class TaskPage(val number: Int) {
    /** The first task of the range. */
    var firstTask = 0
        private set

    /** One past the last task of the range. */
    var endTask = 0
        private set

    /** The store's version of the page's key; 0 if the store does not have the key. */
    var version = 0L

    /** Whether the range has changes that no write was sent for. */
    var dirty = false

    /** Whether a write or a read of the page's key is under way. */
    var inFlight = false

    /**
     * Whether the stored version is unknown after a conflict or an unanswered read, and has to be read before the next
     * write.
     */
    var mustReread = false

    /** The number of tasks under each key among which this page is split; 0 if it is not split. */
    var partSize = 0

    /** The size in bytes at which the store rejected the page when it was written alone; 0 if it did not. */
    var rejectedBytes = 0

    /** Whether to write the page alone, because the store rejected it together with others. */
    var writeAlone = false

    /** The number of tasks in the range. */
    val taskCount: Int get() = endTask - firstTask

    /** Sets the range to the tasks from [firstTask] up to but not including [endTask]. */
    fun cover(firstTask: Int, endTask: Int) {
        this.firstTask = firstTask
        this.endTask = endTask
    }
}

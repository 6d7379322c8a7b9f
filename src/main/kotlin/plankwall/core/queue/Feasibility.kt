package plankwall.core.queue

/**
 * Which of its service-level objectives a waiting job can still meet. Jobs are served in the order of the constants.
 */
enum class Feasibility {
    /** It can meet all of them, as every job can where there is enough capacity. */
    IN_TIME,

    /** It is too late for the tightest objective, but can meet the loosest. */
    LATE,

    /** It can meet none any more, or only if more jobs missed theirs instead. */
    OUT_OF_REACH,
}

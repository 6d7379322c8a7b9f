package plankwall.core.queue

/**
 * Which of its service-level objectives a waiting job can still meet. Jobs are served in the order of the constants.
 */
enum class Feasibility {
    /** The job can meet all of its objectives, as every job can where there is enough capacity. */
    IN_TIME,

    /** The job is too late for the tightest objective, but can still meet the loosest. */
    LATE,

    /** The job can no longer meet any objective, or only if a larger number of other jobs missed theirs instead. */
    OUT_OF_REACH,
}

package plankwall.core.queue

/** What can still come of a waiting job, in the order in which such jobs are served. */
enum class Feasibility {
    /** It can meet all that was asked of it; so can every job where there is room enough. */
    IN_TIME,

    /** Too late for the tightest of its aims, but not for the last. */
    LATE,

    /** None of its aims can be met any more, or only at the cost of more jobs than it is itself. */
    OUT_OF_REACH,
}

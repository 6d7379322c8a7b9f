package plankwall.core.queue

/** What a waiting job can still meet of its service-level objectives, in the order in which such jobs are served. */
enum class Feasibility {
    /** All of them; so can every job where there is room enough. */
    IN_TIME,

    /** Too late for the tightest, but not for the loosest. */
    LATE,

    /** None any more, or only at the cost of more jobs than it is itself. */
    OUT_OF_REACH,
}

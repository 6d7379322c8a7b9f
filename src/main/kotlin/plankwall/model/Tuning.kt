package plankwall.model

/**
 * The operators' own settings (YAML). Of the two waits [unneededS] and [afterRentalS], 0 means: as long as a machine
 * of the type takes to boot, since waiting longer costs more than a needless scale-in where machines are paid by the
 * second.
 */
data class Tuning(
    val haltUnreadyShare: Double = 0.30,
    val haltRetryS: Double = 10.0,
    val shortGroupS: Double = 120.0,
    val unregisteredS: Double = 120.0,
    val unreadyS: Double = 300.0,
    val unneededS: Double = 0.0,
    val afterRentalS: Double = 0.0,
    val leaderLeaseS: Double = 0.0,
    val outageGraceLeases: Double = 3.0,
    /**
     * The share of the leader's capacity for workers' sessions from which on they are sharded over all controllers; 0:
     * never. The leader's setting counts.
     */
    val spreadSessionsAt: Double = 0.0,
)

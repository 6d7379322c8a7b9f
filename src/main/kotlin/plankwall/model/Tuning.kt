package plankwall.model

/**
 * The operators' own settings (YAML).
 *
 * @property haltUnreadyShare the share of unready machines above which the autoscaler halts
 * @property haltRetryS the seconds that the autoscaler stays halted before it checks again
 * @property shortGroupS the seconds after which a granted machine is deleted if neither the cloud's list nor a
 *   heartbeat has shown it
 * @property unregisteredS the seconds after which a machine that never sent a heartbeat is overdue
 * @property unreadyS the seconds without a heartbeat after which a machine without tasks is deleted
 * @property unneededS the seconds that a machine has to be unneeded before it is scaled in. 0: computed from how long a
 *   machine of the type takes to boot, since waiting longer costs more than a needless scale-in where machines are paid
 *   by the second.
 * @property afterRentalS the seconds after the last scale-out of a group during which none of its machines is scaled
 *   in. 0: the boot time of the type, for the same reason.
 * @property leaderLeaseS the seconds after which the leader's lease expires; 0: derived from the workers' lease
 * @property outageGraceLeases how long a leader that lost the state service goes on answering heartbeats, as a multiple
 *   of the workers' lease
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
     * The share of the leader's capacity for workers' sessions from which on the sessions are sharded over all
     * controllers; 0: never. The setting of the node that leads applies.
     */
    val spreadSessionsAt: Double = 0.0,
)

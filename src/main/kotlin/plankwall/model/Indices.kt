package plankwall.model

/** The index of a job, valid within one process only. */
@JvmInline
value class JobIndex(val value: Int)

/** The index of a machine, valid within one process only. */
@JvmInline
value class MachineIndex(val value: Int)

/** The index of a team in [SiteNames.teams]. */
@JvmInline
value class TeamIndex(val value: Int)

/** The index of an image in [SiteNames.images]. */
@JvmInline
value class ImageIndex(val value: Int)

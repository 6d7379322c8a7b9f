package plankwall.model

/** The index of a job within one process. */
@JvmInline
value class JobIndex(val value: Int)

/** The index of a machine within one process. */
@JvmInline
value class MachineIndex(val value: Int)

/** The index of a team in [SiteNames]. */
@JvmInline
value class TeamIndex(val value: Int)

/** The index of an image in [SiteNames]. */
@JvmInline
value class ImageIndex(val value: Int)

package plankwall.model

/**
 * A team's quota, in thousandths of a CPU and of a GPU: [cpus] and [gpus] are guaranteed to it, [cpusMax] and [gpusMax]
 * are its limits. 0 means no guarantee or no limit.
 */
data class Team(val name: String, val cpus: Long, val cpusMax: Long, val gpus: Long, val gpusMax: Long) {
    /** Whether the team has a guarantee for any resource. */
    val hasGuarantee: Boolean get() = cpus > 0 || gpus > 0

    /** Whether [sum], the resources of all running tasks of the team, is within its limits. */
    fun allows(sum: Resources): Boolean =
        (cpusMax == 0L || sum.cpus <= cpusMax) && (gpusMax == 0L || sum.gpus <= gpusMax)
}

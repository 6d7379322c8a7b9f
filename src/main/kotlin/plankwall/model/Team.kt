package plankwall.model

/** A team's guarantees and limits, in thousandths. 0: no guarantee, or no limit. */
data class Team(val name: String, val cpus: Long, val cpusMax: Long, val gpus: Long, val gpusMax: Long) {
    /** Whether any quota is guaranteed to the team. */
    val hasGuarantee: Boolean get() = cpus > 0 || gpus > 0

    /** Whether [sum], the resources of all the team's running tasks, is within its limits. */
    fun allows(sum: Resources): Boolean =
        (cpusMax == 0L || sum.cpus <= cpusMax) && (gpusMax == 0L || sum.gpus <= gpusMax)
}

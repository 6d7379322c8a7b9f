package plankwall.model

/**
 * One machine type as the cloud offers it.
 *
 * @property capacity the resources of one machine
 * @property cacheGb the size of the image cache, in gigabytes
 * @property fetchGbPerS the rate at which a machine fetches images
 * @property price the price of an ordinary machine per hour
 * @property spotPrice the price of a spot machine per hour; 0 if the cloud states none
 * @property bootS the usual boot time in seconds
 * @property zones the zones in which the type is offered
 */
data class MachineType(
    val name: String,
    val capacity: Resources,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val price: Double,
    val spotPrice: Double,
    val bootS: Double,
    val zones: List<String>,
) {
    /** Returns the seconds that it takes to fetch an image of [gb] gigabytes while the machine fetches nothing else. */
    fun fetchS(gb: Double): Double = gb / fetchGbPerS
}

/** The machine types that the cloud offers. */
data class Catalog(val types: List<MachineType>) {
    private val byName = types.associateBy { it.name }

    /** Returns the machine type with this name; null if the cloud does not offer it. */
    operator fun get(name: String): MachineType? = byName[name]

    /** Returns the machine types that [spec] allows and that have the resources for one of its tasks. */
    fun fitting(spec: JobSpec): List<MachineType> = types.filter { type ->
        (spec.types == null || type.name in spec.types) &&
            (spec.zone == null || spec.zone in type.zones) &&
            spec.need.fitsIn(type.capacity)
    }
}

/** A group of machines: those of one type in one zone, either spot or ordinary. Scale-out and health are per group. */
data class GroupKey(val type: String, val zone: String, val spot: Boolean) {
    override fun toString(): String = "$type/$zone/${if (spot) "spot" else "ordinary"}"
}

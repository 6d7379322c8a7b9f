package plankwall.model

/** One machine type as the cloud offers it. [price] and [spotPrice]: per hour; [bootS]: its usual boot time. */
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
    /** Seconds to fetch an image of [gb] gigabytes while nothing else is fetched. */
    fun fetchS(gb: Double): Double = gb / fetchGbPerS
}

/** The machine types that the cloud offers. */
data class Catalog(val types: List<MachineType>) {
    private val byName = types.associateBy { it.name }

    /** The machine type of this name; null if the cloud offers none. */
    operator fun get(name: String): MachineType? = byName[name]

    /** The types that [spec] allows and that one of its tasks fits. */
    fun fitting(spec: JobSpec): List<MachineType> = types.filter { type ->
        (spec.types == null || type.name in spec.types) &&
            (spec.zone == null || spec.zone in type.zones) &&
            spec.need.fitsIn(type.capacity)
    }
}

/** A group of machines: one type in one zone, spot or not. Scale-out and health are per group. */
data class GroupKey(val type: String, val zone: String, val spot: Boolean) {
    override fun toString(): String = "$type/$zone/${if (spot) "spot" else "ordinary"}"
}

package plankwall.model

/** One machine type as the cloud offers it. */
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
    /** Seconds that fetching an image of [gb] takes when nothing else is fetched. */
    fun fetchS(gb: Double): Double = gb / fetchGbPerS
}

data class Catalog(val types: List<MachineType>) {
    private val byName = types.associateBy { it.name }

    operator fun get(name: String): MachineType? = byName[name]

    /** The types that [spec] allows and that one of its tasks fits. */
    fun fitting(spec: JobSpec): List<MachineType> = types.filter { t ->
        (spec.types == null || t.name in spec.types) &&
            (spec.zone == null || spec.zone in t.zones) &&
            spec.need.fitsIn(t.capacity)
    }
}

/** One machine type in one zone, of one kind (spot or ordinary): what the cloud rents and what health is kept for. */
data class GroupKey(val type: String, val zone: String, val spot: Boolean) {
    override fun toString(): String = "$type/$zone/${if (spot) "spot" else "ordinary"}"
}

package plankwall.model

@JvmInline
value class JobIndex(val value: Int)

@JvmInline
value class MachineIndex(val value: Int)

@JvmInline
value class TeamIndex(val value: Int)

@JvmInline
value class ImageIndex(val value: Int)

/** Gives every name a small dense index at the door, so that the inside compares and counts integers. */
class NameTable(initial: List<String> = emptyList()) {
    private val indices = HashMap<String, Int>()
    private val names = ArrayList<String>()

    init {
        initial.forEach { intern(it) }
    }

    val size: Int get() = names.size

    fun intern(name: String): Int = indices.getOrPut(name) {
        names.add(name)
        names.size - 1
    }

    fun find(name: String): Int? = indices[name]

    fun name(ix: Int): String = names[ix]
}

/** The tables of one site. Teams are fixed by the settings; images are met on the way. */
class SiteNames(teams: List<String>) {
    val teams = NameTable(teams)
    val images = NameTable()
}

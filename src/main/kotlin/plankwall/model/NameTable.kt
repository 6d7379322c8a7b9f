package plankwall.model

/** Gives every name a small dense index, so that the core compares and counts integers. */
class NameTable(initial: List<String> = emptyList()) {
    private val indices = HashMap<String, Int>()
    private val names = ArrayList<String>()

    init {
        initial.forEach { intern(it) }
    }

    val size: Int get() = names.size

    /** The index of [name], which is added if it is new. */
    fun intern(name: String): Int = indices.getOrPut(name) {
        names.add(name)
        names.size - 1
    }

    /** The index of [name]; null if it is not in the table. */
    fun find(name: String): Int? = indices[name]

    /** The name with the index [ix]. */
    fun name(ix: Int): String = names[ix]
}

/** The tables of one site. Teams are fixed by the settings; images are added when jobs name them. */
class SiteNames(teams: List<String>) {
    val teams = NameTable(teams)
    val images = NameTable()
}

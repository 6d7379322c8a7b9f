package plankwall.model

/** A table that gives each name a small index, counted from 0, so that the core can compare and count integers. */
class NameTable(initial: List<String> = emptyList()) {
    private val indices = HashMap<String, Int>()
    private val names = ArrayList<String>()

    init {
        initial.forEach { intern(it) }
    }

    /** The number of names in the table. */
    val size: Int get() = names.size

    /** Returns the index of [name], which is added if it is not in the table. */
    fun intern(name: String): Int = indices.getOrPut(name) {
        names.add(name)
        names.size - 1
    }

    /** Returns the index of [name]; null if it is not in the table. */
    fun find(name: String): Int? = indices[name]

    /** Returns the name with this [index]. */
    fun name(index: Int): String = names[index]
}

/** The name tables of one site. The settings fix the teams; images are added when jobs name them. */
class SiteNames(teams: List<String>) {
    val teams = NameTable(teams)
    val images = NameTable()
}

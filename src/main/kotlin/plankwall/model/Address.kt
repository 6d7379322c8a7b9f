package plankwall.model

/** A host and a port; written as `host:port`. */
data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        private val PORTS = 1..65_535

        /** Parses an address; returns null if [text] is not of the form `host:port`. */
        fun parse(text: String): Address? {
            val colon = text.lastIndexOf(':')
            val port = if (colon > 0) text.substring(colon + 1).toIntOrNull() else null
            return if (port == null || port !in PORTS) null else Address(text.substring(0, colon), port)
        }
    }
}

package plankwall.identity

import inet.ipaddr.IPAddress
import inet.ipaddr.IPAddressString
import inet.ipaddr.IPAddressStringParameters
import inet.ipaddr.ipv4.IPv4AddressTrie
import inet.ipaddr.ipv6.IPv6AddressTrie

/**
 * Ranges of IPv4 and IPv6 addresses from which connections are accepted. An address in one of them is no proof of
 * identity by itself.
 */
class Networks private constructor(
    private val texts: List<String>,
    private val v4: IPv4AddressTrie,
    private val v6: IPv6AddressTrie,
) {
    /** Whether [address], with or without a port, lies in one of the ranges. An unreadable address lies in none. */
    fun contains(address: String): Boolean {
        val parsed = parseAddress(host(address)) ?: return false
        return if (parsed.isIPv4) v4.elementContains(parsed.toIPv4()) else v6.elementContains(parsed.toIPv6())
    }

    override fun toString(): String = texts.joinToString(", ")

    companion object {
        /** Parses the ranges in [texts]. [onInvalid] is called with the first text that is no range; it must throw. */
        fun of(texts: List<String>, onInvalid: (String) -> Nothing): Networks {
            val v4 = IPv4AddressTrie()
            val v6 = IPv6AddressTrie()
            for (text in texts) {
                val range = parseRange(text) ?: onInvalid(text)
                if (range.isIPv4) v4.add(range.toIPv4()) else v6.add(range.toIPv6())
            }
            return Networks(texts, v4, v6)
        }

        /**
         * Parses a single address, or a block whose host bits are zero; null for any other text. A block with host
         * bits, such as `10.1.2.3/8`, is refused because it is more likely a mistake.
         */
        private fun parseRange(text: String): IPAddress? {
            if (text.length > MAX_ADDRESS_CHARS || ('*' in text) || ('-' in text) || text.isBlank()) return null
            val parsed = parseOrNull(text) ?: return null
            if (!parsed.isPrefixed) return if (parsed.isMultiple) null else parsed
            val block = parsed.toPrefixBlock()
            return if (block.lower.toInetAddress() == parsed.lower.toInetAddress()) block else null
        }

        /**
         * Options of the parser that permit plain notation only. Abbreviations such as `10.1` and masks with holes are
         * refused rather than interpreted.
         */
        private val plainNotation: IPAddressStringParameters = IPAddressStringParameters.Builder()
            .allowMask(false).allowEmpty(false).allowAll(false).allowPrefixOnly(false).allowWildcardedSeparator(false)
            .getIPv4AddressParametersBuilder().allow_inet_aton(false).allowBinary(false).getParentBuilder()
            .getIPv6AddressParametersBuilder().allowBinary(false).allowBase85(false).getParentBuilder()
            .toParams()

        private fun parseOrNull(text: String): IPAddress? = try {
            IPAddressString(text, plainNotation).toAddress()
        } catch (_: inet.ipaddr.IncompatibleAddressException) {
            null
        } catch (_: inet.ipaddr.AddressStringException) {
            null
        }

        /**
         * Parses a single address; null if [host] is none. IPv4-mapped IPv6 addresses (`::ffff:10.0.0.1`), as
         * dual-stack sockets report them, are converted to IPv4.
         */
        private fun parseAddress(host: String): IPAddress? {
            val parsed = if (host.length > MAX_ADDRESS_CHARS) null else parseOrNull(host.substringBefore('%'))
            if (parsed == null || parsed.isMultiple) return null
            val v6 = parsed.toIPv6() ?: return parsed
            return if (parsed.isIPv6 && v6.isIPv4Mapped) v6.embeddedIPv4Address else parsed
        }

        /** Returns the host of `host:port`, `[v6]:port` or an address without port. */
        fun host(address: String): String = when {
            address.startsWith("[") -> address.substring(1).substringBefore(']')
            address.count { it == ':' } == 1 -> address.substringBefore(':')
            else -> address
        }

        /** Whether two addresses, with or without a port, are of the same host, even if written differently. */
        fun isSameHost(one: String, other: String): Boolean {
            val first = parseAddress(host(one))
            val second = parseAddress(host(other))
            return if (first == null || second == null) host(one) == host(other) else first == second
        }

        /**
         * Returns the network that requests from [address] are rate limited by: its /24 for IPv4, its /64 for IPv6, and
         * one name for all addresses that can't be parsed.
         */
        fun neighbourhood(address: String): String {
            val parsed = parseAddress(host(address)) ?: return "unreadable"
            return parsed.toPrefixBlock(if (parsed.isIPv4) IPV4_NETWORK_BITS else IPV6_NETWORK_BITS).toCanonicalString()
        }

        private const val MAX_ADDRESS_CHARS = 60
        private const val IPV4_NETWORK_BITS = 24
        private const val IPV6_NETWORK_BITS = 64
    }
}

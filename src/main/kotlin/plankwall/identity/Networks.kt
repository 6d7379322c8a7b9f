package plankwall.identity

import inet.ipaddr.IPAddress
import inet.ipaddr.IPAddressString
import inet.ipaddr.IPAddressStringParameters
import inet.ipaddr.ipv4.IPv4AddressTrie
import inet.ipaddr.ipv6.IPv6AddressTrie

/** Ranges of IPv4 and IPv6 addresses. An address within them is never proof of anything; one outside is refused. */
class Networks private constructor(
    private val texts: List<String>,
    private val v4: IPv4AddressTrie,
    private val v6: IPv6AddressTrie,
) {
    /** Whether [address], with or without a port, lies in one of the ranges. What can't be read lies in none. */
    fun contains(address: String): Boolean {
        val a = parse(host(address)) ?: return false
        return if (a.isIPv4) v4.elementContains(a.toIPv4()) else v6.elementContains(a.toIPv6())
    }

    override fun toString(): String = texts.joinToString(", ")

    companion object {
        /** [unreadable] is called with the first text that is no range. */
        fun of(texts: List<String>, unreadable: (String) -> Nothing): Networks {
            val v4 = IPv4AddressTrie()
            val v6 = IPv6AddressTrie()
            for (text in texts) {
                val range = range(text) ?: unreadable(text)
                if (range.isIPv4) v4.add(range.toIPv4()) else v6.add(range.toIPv6())
            }
            return Networks(texts, v4, v6)
        }

        /** A single address or a block whose host bits are zero: `10.1.2.3/8` is more likely a slip than a wish. */
        private fun range(text: String): IPAddress? {
            if (text.length > LONGEST || ('*' in text) || ('-' in text) || text.isBlank()) return null
            val parsed = parseOrNull(text) ?: return null
            if (!parsed.isPrefixed) return if (parsed.isMultiple) null else parsed
            val block = parsed.toPrefixBlock()
            return if (block.lower.toInetAddress() == parsed.lower.toInetAddress()) block else null
        }

        /** Plain notation only: what `10.1` or a mask with holes would mean is not for a reader of rights to guess. */
        private val plain: IPAddressStringParameters = IPAddressStringParameters.Builder()
            .allowMask(false).allowEmpty(false).allowAll(false).allowPrefixOnly(false).allowWildcardedSeparator(false)
            .getIPv4AddressParametersBuilder().allow_inet_aton(false).allowBinary(false).getParentBuilder()
            .getIPv6AddressParametersBuilder().allowBinary(false).allowBase85(false).getParentBuilder()
            .toParams()

        private fun parseOrNull(text: String): IPAddress? = try {
            IPAddressString(text, plain).toAddress()
        } catch (_: inet.ipaddr.IncompatibleAddressException) {
            null
        } catch (_: inet.ipaddr.AddressStringException) {
            null
        }

        /** IPv4 in IPv6's clothes (`::ffff:10.0.0.1`) is what a dual-stack socket reports: taken as the IPv4 it is. */
        private fun parse(host: String): IPAddress? {
            val a = if (host.length > LONGEST) null else parseOrNull(host.substringBefore('%'))
            if (a == null || a.isMultiple) return null
            val v6 = a.toIPv6() ?: return a
            return if (a.isIPv6 && v6.isIPv4Mapped) v6.embeddedIPv4Address else a
        }

        /** The host of `host:port`, `[v6]:port` or a bare address. */
        fun host(address: String): String = when {
            address.startsWith("[") -> address.substring(1).substringBefore(']')
            address.count { it == ':' } == 1 -> address.substringBefore(':')
            else -> address
        }

        /** Whether two addresses name the same host, however they are written. */
        fun sameHost(one: String, other: String): Boolean {
            val a = parse(host(one))
            val b = parse(host(other))
            return if (a == null || b == null) host(one) == host(other) else a == b
        }

        /** What counts as one network where requests are limited: a /24, or a /64. */
        fun neighbourhood(address: String): String {
            val a = parse(host(address)) ?: return "unreadable"
            return a.toPrefixBlock(if (a.isIPv4) 24 else 64).toCanonicalString()
        }

        private const val LONGEST = 60
    }
}

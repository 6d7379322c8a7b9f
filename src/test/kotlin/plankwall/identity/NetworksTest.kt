package plankwall.identity

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

class NetworksTest {
    @ParameterizedTest(name = "{1} lies in {0}: {2}")
    @CsvSource(
        "10.2.0.0/16, 10.2.3.4, true", "10.2.0.0/16, 10.3.3.4, false", "10.2.3.4, 10.2.3.4:8080, true",
        "10.2.3.4/32, 10.2.3.5, false",
        "0.0.0.0/0, 192.0.2.1, true", "0.0.0.0/0, 2001:db8::1, false", "::/0, 10.0.0.1, false",
        "2001:db8::/32, 2001:db8:9::1, true",
        "2001:db8::/32, [2001:db8::7]:443, true", "2001:db8::/32, 2001:db9::1, false",
        "10.0.0.0/8, ::ffff:10.1.2.3, true",
        "fe80::/10, fe80::1%eth0, true", "10.0.0.0/8, not an address, false", "10.0.0.0/8, 10.0.0.0/8, false",
        "10.0.0.0/8, 10.*.*.*, false",
        "10.0.0.0/8, '', false", "127.0.0.0/8, localhost, false",
    )
    fun `an address is contained in a network only if it lies in its range and is a literal address`(
        range: String,
        address: String,
        expectedInside: Boolean,
    ) {
        assertEquals(expectedInside, Networks.of(listOf(range)) { error(it) }.contains(address))
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "10.0.0.1/8", "10.0.0.0/33", "10.0.0", "ten", "", "10.0.0.0-10.0.0.9", "10.*.0.0", "2001:db8::1/32",
            "10.0.0.0/255.0.255.0", "2001:db8::/129",
        ],
    )
    fun `a text that is not a valid CIDR range is refused`(rangeText: String) {
        assertThrows(IllegalArgumentException::class.java) {
            Networks.of(listOf(rangeText)) { throw IllegalArgumentException(it) }
        }
    }

    @ParameterizedTest(name = "{0} and {1} are the same host: {2}")
    @CsvSource(
        "10.0.0.1:9000, 10.0.0.1, true",
        "::ffff:10.0.0.1, 10.0.0.1, true",
        "2001:db8:0::1, 2001:db8::1, true",
        "10.0.0.1, 10.0.0.2, false",
        "w1, w1, true",
    )
    fun `two addresses are the same host if they differ only in notation or port`(
        first: String,
        second: String,
        expectedSame: Boolean,
    ) = assertEquals(expectedSame, Networks.isSameHost(first, second))

    @ParameterizedTest(name = "requests from {0} are rate limited as {1}")
    @CsvSource("10.1.2.3, 10.1.2.0/24", "2001:db8::9:1, 2001:db8::/64", "x, unreadable")
    fun `addresses share a rate limit by network, and all unreadable addresses share one`(
        address: String,
        expectedNetworkName: String,
    ) = assertEquals(expectedNetworkName, Networks.neighbourhood(address))
}

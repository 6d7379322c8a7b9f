package plankwall.identity

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

class NetworksTest {
    @ParameterizedTest(name = "{1} in {0}: {2}")
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
    fun `an address lies in a range or it does not`(range: String, address: String, inside: Boolean) {
        assertEquals(inside, Networks.of(listOf(range)) { error(it) }.contains(address))
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "10.0.0.1/8", "10.0.0.0/33", "10.0.0", "ten", "", "10.0.0.0-10.0.0.9", "10.*.0.0", "2001:db8::1/32",
            "10.0.0.0/255.0.255.0", "2001:db8::/129",
        ],
    )
    fun `what is no range is refused`(text: String) {
        assertThrows(IllegalArgumentException::class.java) {
            Networks.of(listOf(text)) { throw IllegalArgumentException(it) }
        }
    }

    @ParameterizedTest(name = "{0} and {1}: {2}")
    @CsvSource(
        "10.0.0.1:9000, 10.0.0.1, true",
        "::ffff:10.0.0.1, 10.0.0.1, true",
        "2001:db8:0::1, 2001:db8::1, true",
        "10.0.0.1, 10.0.0.2, false",
        "w1, w1, true",
    )
    fun `one host is one host however it is written`(one: String, other: String, same: Boolean) =
        assertEquals(same, Networks.isSameHost(one, other))

    @ParameterizedTest(name = "{0} is limited as {1}")
    @CsvSource("10.1.2.3, 10.1.2.0/24", "2001:db8::9:1, 2001:db8::/64", "x, unreadable")
    fun `a neighbourhood is limited as one`(address: String, name: String) =
        assertEquals(name, Networks.neighbourhood(address))
}

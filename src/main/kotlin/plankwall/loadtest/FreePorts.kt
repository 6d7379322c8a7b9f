package plankwall.loadtest

import java.io.File
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket

/**
 * Finds free ports for processes that are started later. The ports are below the ephemeral ports of the system, so that
 * the system does not give them to another process in the meantime.
 */
object FreePorts {
    /** Returns [count] free ports. Throws [InvalidLoadTestPlanException] if there are not enough. */
    fun find(count: Int): List<Int> {
        val portCount = firstEphemeralPort() - FIRST_PORT
        // Two load tests at the same time search from different ports, because neither has bound its ports yet when the
        // other one searches.
        val startOffset = (ProcessHandle.current().pid() * PORTS_PER_PROCESS_ID % portCount).toInt()
        val ports = (0 until portCount).asSequence().map {
            FIRST_PORT + (startOffset + it) % portCount
        }.filterNot(::isInUse).take(count).toList()
        if (ports.size < count) {
            throw InvalidLoadTestPlanException(
                "needs $count free ports at or above $FIRST_PORT, but found only ${ports.size}",
            )
        }
        return ports
    }

    /** Returns whether a process accepts connections at [port] of the loopback address. */
    fun isListening(port: Int): Boolean = try {
        Socket(InetAddress.getLoopbackAddress(), port).close()
        true
    } catch (_: IOException) {
        false
    }

    private fun isInUse(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        false
    } catch (_: IOException) {
        true
    }

    private fun firstEphemeralPort(): Int =
        File("/proc/sys/net/ipv4/ip_local_port_range").readText().trim().split(Regex("\\s+")).first().toInt()

    /** The lowest port to use. */
    private const val FIRST_PORT = 20_000

    /**
     * The distance between the first ports of successive process ids; it exceeds the number of ports of a load test.
     */
    private const val PORTS_PER_PROCESS_ID = 127
}

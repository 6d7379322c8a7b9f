package plankwall.loadtest

import java.io.File
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket

/**
 * Ports for processes that are started later: below those that the system hands out by itself, so that none is taken
 * meanwhile.
 */
object FreePorts {
    fun take(count: Int): List<Int> {
        val all = ephemeralFrom() - FIRST
        // Two runs at once begin at different places, since neither has taken its ports yet when it looks for them.
        val begin = (ProcessHandle.current().pid() * STEP % all).toInt()
        val ports = (0 until all).asSequence().map {
            FIRST + (begin + it) % all
        }.filterNot(::isTaken).take(count).toList()
        if (ports.size < count) {
            throw InvalidLoadTestPlanException("needs $count free ports from $FIRST on, found ${ports.size}")
        }
        return ports
    }

    /** Whether somebody listens on the loopback [port]. */
    fun isListening(port: Int): Boolean = try {
        Socket(InetAddress.getLoopbackAddress(), port).close()
        true
    } catch (_: IOException) {
        false
    }

    private fun isTaken(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        false
    } catch (_: IOException) {
        true
    }

    private fun ephemeralFrom(): Int =
        File("/proc/sys/net/ipv4/ip_local_port_range").readText().trim().split(Regex("\\s+")).first().toInt()

    private const val FIRST = 20_000

    /** More than the ports of a run. */
    private const val STEP = 127
}

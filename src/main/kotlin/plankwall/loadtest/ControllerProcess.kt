package plankwall.loadtest

import plankwall.model.Address
import java.io.File
import java.nio.file.Files
import java.util.concurrent.TimeUnit

/** What the operating system says a process uses. */
data class ProcessSample(val cpuS: Double, val residentMb: Double, val sockets: Int)

/** One controller: a process that this run started, and that it alone ends. */
class ControllerProcess(
    val name: String,
    val zone: String,
    val apiAddress: Address,
    private val command: List<String>,
    private val folder: File,
    private val logLevel: String,
) {
    private var process: Process? = null

    /** How often the process was started. */
    var starts = 0
        private set

    /** How often it ended though nobody ended it. */
    var endedByItself = 0
        private set

    val up: Boolean get() = process?.isAlive == true

    val log: File = File(folder, "$name.log")

    private var closed = false

    @Synchronized
    fun start() {
        if (closed) return
        starts++
        process = ProcessBuilder(command)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.appendTo(log))
            .apply { environment()["LOG_LEVEL"] = logLevel }
            .start()
    }

    @Synchronized
    fun kill() {
        process?.destroyForcibly()?.waitFor(END_S, TimeUnit.SECONDS)
        process = null
    }

    /** Ends the process for good: nothing starts it again. */
    @Synchronized
    fun close() {
        closed = true
        kill()
    }

    /** Starts a process again that ended by itself, as the platform does. */
    @Synchronized
    fun restartIfEnded() {
        val ended = process ?: return
        if (ended.isAlive) return
        endedByItself++
        start()
    }

    /** Null while there is no process. [withSockets]: counting them reads a link for each open file. */
    fun sample(withSockets: Boolean): ProcessSample? {
        val pid = process?.takeIf { it.isAlive }?.pid() ?: return null
        return ProcReader.read(pid, withSockets)
    }

    private companion object {
        const val END_S = 5L
    }
}

/** Reads what Linux tells of a process under `/proc`. */
object ProcReader {
    /** Clock ticks a second, which is 100 on every Linux that Java runs on. */
    private const val TICKS_PER_S = 100.0

    /** Fields of `stat` behind the command's name, which may hold spaces: user and system time. */
    private const val USER_TIME = 11
    private const val SYSTEM_TIME = 12

    fun read(pid: Long, withSockets: Boolean): ProcessSample? = try {
        val stat = File("/proc/$pid/stat").readText().substringAfterLast(") ").split(' ')
        val ticks = stat[USER_TIME].toLong() + stat[SYSTEM_TIME].toLong()
        val resident = residentMb(pid)
        if (resident == null) {
            null
        } else {
            ProcessSample(ticks / TICKS_PER_S, resident, if (withSockets) sockets(pid) else -1)
        }
    } catch (_: java.io.IOException) {
        null
    }

    /** Null of a process that has ended and was not waited for yet. */
    private fun residentMb(pid: Long): Double? =
        File("/proc/$pid/status").useLines { lines -> lines.firstOrNull { it.startsWith("VmRSS:") } }?.let { line ->
            line.filter { it.isDigit() }.toLong() /
                1024.0
        }

    private fun sockets(pid: Long): Int = File("/proc/$pid/fd").listFiles().orEmpty().count { file ->
        try {
            Files.readSymbolicLink(file.toPath()).toString().startsWith("socket:")
        } catch (_: java.io.IOException) {
            false
        }
    }

    /** The hard limit of open files of this process. */
    fun openFilesLimit(): Long = File("/proc/self/limits").useLines { lines ->
        lines.first { it.startsWith("Max open files") }.substringAfter("Max open files").trim().split(Regex("\\s+"))[1]
    }.toLongOrNull() ?: Long.MAX_VALUE

    fun totalMemoryMb(): Long = File("/proc/meminfo").useLines { lines ->
        lines.first { it.startsWith("MemTotal:") }
    }.filter { it.isDigit() }.toLong() /
        1024
}

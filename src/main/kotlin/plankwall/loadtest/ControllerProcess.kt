package plankwall.loadtest

import plankwall.model.Address
import java.io.File
import java.nio.file.Files
import java.util.concurrent.TimeUnit

/**
 * The resource use of a process at one time, as the operating system reports it.
 *
 * @property cpuS the CPU time that the process has used since it started, in seconds
 * @property sockets the number of open sockets, or -1 if they were not counted
 */
data class ProcessSample(val cpuS: Double, val residentMb: Double, val sockets: Int)

/**
 * A controller of a load test, run as a process that only the load test itself starts and kills.
 *
 * @param command the command line that starts the controller
 * @param folder the folder of its log
 */
class ControllerProcess(
    val name: String,
    val zone: String,
    val apiAddress: Address,
    private val command: List<String>,
    private val folder: File,
    private val logLevel: String,
) {
    private var process: Process? = null

    /** The number of times that the process was started. */
    var starts = 0
        private set

    /** The number of times that the process ended without [kill] or [close]. */
    var endedByItself = 0
        private set

    /** Whether the process runs at present. */
    val isRunning: Boolean get() = process?.isAlive == true

    /** The file that the process's standard error is appended to. */
    val logFile: File = File(folder, "$name.log")

    private var isClosed = false

    /** Starts the process unless it runs already, as after two overlapping faults; has no effect after [close]. */
    @Synchronized
    fun start() {
        if (isClosed || isRunning) return
        starts++
        process = ProcessBuilder(command)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.appendTo(logFile))
            .apply { environment()["LOG_LEVEL"] = logLevel }
            .start()
    }

    /** Kills the process, if there is one, and waits at most [KILL_TIMEOUT_S] for its end. It may be started again. */
    @Synchronized
    fun kill() {
        process?.destroyForcibly()?.waitFor(KILL_TIMEOUT_S, TimeUnit.SECONDS)
        process = null
    }

    /** Stops the process, which keeps its memory and its sockets, until [resume] continues it. */
    @Synchronized
    fun pause() = signal("STOP")

    /** Continues the process after [pause]. */
    @Synchronized
    fun resume() = signal("CONT")

    private fun signal(name: String) {
        val pid = process?.takeIf { it.isAlive }?.pid() ?: return
        ProcessBuilder("kill", "-$name", "$pid").start().waitFor(KILL_TIMEOUT_S, TimeUnit.SECONDS)
    }

    /** Kills the process and prevents any further start. */
    @Synchronized
    fun close() {
        isClosed = true
        kill()
    }

    /** Restarts the process if it ended by itself, as the platform does in production. */
    @Synchronized
    fun restartIfEnded() {
        val current = process ?: return
        if (current.isAlive) return
        endedByItself++
        start()
    }

    /**
     * Returns the present resource use, or null if the process does not run.
     *
     * @param withSockets whether to count the sockets, which reads a link for each open file
     */
    fun sample(withSockets: Boolean): ProcessSample? {
        val pid = process?.takeIf { it.isAlive }?.pid() ?: return null
        return ProcReader.readSample(pid, withSockets)
    }

    private companion object {
        const val KILL_TIMEOUT_S = 5L
    }
}

/** Reads resource use and limits from the Linux `/proc` file system. */
object ProcReader {
    /** The number of clock ticks per second, which is 100 on every Linux that Java runs on. */
    private const val TICKS_PER_S = 100.0

    /**
     * The indices of the user and system time among the fields of `stat` that follow the command name. The fields are
     * counted from there because the command name may contain spaces.
     */
    private const val USER_TIME_FIELD = 11
    private const val SYSTEM_TIME_FIELD = 12

    /** Returns the resource use of the process [pid], or null if it has ended. */
    fun readSample(pid: Long, withSockets: Boolean): ProcessSample? = try {
        val stat = File("/proc/$pid/stat").readText().substringAfterLast(") ").split(' ')
        val ticks = stat[USER_TIME_FIELD].toLong() + stat[SYSTEM_TIME_FIELD].toLong()
        val resident = residentMb(pid)
        if (resident == null) {
            null
        } else {
            ProcessSample(ticks / TICKS_PER_S, resident, if (withSockets) countSockets(pid) else -1)
        }
    } catch (_: java.io.IOException) {
        null
    }

    /** Returns the resident memory in MB; null if the process has ended and its parent has not waited for it yet. */
    private fun residentMb(pid: Long): Double? =
        File("/proc/$pid/status").useLines { lines -> lines.firstOrNull { it.startsWith("VmRSS:") } }?.let { line ->
            line.filter { it.isDigit() }.toLong() /
                1024.0
        }

    private fun countSockets(pid: Long): Int = File("/proc/$pid/fd").listFiles().orEmpty().count { file ->
        try {
            Files.readSymbolicLink(file.toPath()).toString().startsWith("socket:")
        } catch (_: java.io.IOException) {
            false
        }
    }

    /** Returns the hard limit of open files of this process; [Long.MAX_VALUE] if it is unlimited. */
    fun openFilesLimit(): Long = File("/proc/self/limits").useLines { lines ->
        lines.first { it.startsWith("Max open files") }.substringAfter("Max open files").trim().split(Regex("\\s+"))[1]
    }.toLongOrNull() ?: Long.MAX_VALUE

    /** Returns the total memory of this machine in MB. */
    fun totalMemoryMb(): Long = File("/proc/meminfo").useLines { lines ->
        lines.first { it.startsWith("MemTotal:") }
    }.filter { it.isDigit() }.toLong() /
        1024
}

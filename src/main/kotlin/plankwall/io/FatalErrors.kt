package plankwall.io

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.CoroutineContext

/** The exit code of a process that ended because of an error that it could not contain. */
const val FATAL_ERROR_EXIT_CODE = 70

/** Thrown when a loop has ended that has to run for as long as the process. */
class PermanentLoopEndedException(name: String, cause: Throwable? = null) : Exception("$name ended", cause)

/**
 * Ends the process when an error reaches it that is not contained to one request, connection or input: the state of the
 * process is unknown then. The platform starts it again, and another controller leads. As an element of a coroutine
 * scope it receives whatever ends one of the scope's coroutines but a cancellation.
 *
 * @param endProcess ends the process with an exit code, without running anything else
 */
class FatalErrorHandler(private val endProcess: (exitCode: Int) -> Unit = Runtime.getRuntime()::halt) :
    AbstractCoroutineContextElement(CoroutineExceptionHandler),
    CoroutineExceptionHandler {
    private val log = LoggerFactory.getLogger("daemon")

    override fun handleException(context: CoroutineContext, exception: Throwable) = onFatalError(exception)

    /** Logs [error] and ends the process, also if the line can't be logged for lack of memory. */
    fun onFatalError(error: Throwable) = try {
        log.error("fatal error, process ends exit_code={} error={}", FATAL_ERROR_EXIT_CODE, error.toString(), error)
    } finally {
        endProcess(FATAL_ERROR_EXIT_CODE)
    }
}

/**
 * Runs [loop], which has to run for as long as this scope. If it ends while the scope is active, by itself or by a
 * cancellation from within, [PermanentLoopEndedException] is passed to the scope's exception handler.
 */
internal fun CoroutineScope.launchPermanentLoop(name: String, loop: suspend () -> Unit): Job = launch {
    val cause = try {
        loop()
        null
    } catch (exception: CancellationException) {
        exception
    }
    currentCoroutineContext().ensureActive()
    throw PermanentLoopEndedException(name, cause)
}

package plankwall.io

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import plankwall.model.Settings
import plankwall.model.Tuning
import java.io.IOException
import java.util.concurrent.Executors

/** Runs a controller as the only one of this process. */
object ControllerProcess {
    /**
     * Serves until the process is killed, or ends it with [FATAL_ERROR_EXIT_CODE] after an error that can't be
     * contained. Throws [IOException] if an address can't be bound.
     */
    fun run(settings: Settings, tuning: Tuning, accessComponents: AccessComponents?) {
        val fatalErrors = FatalErrorHandler()
        Thread.setDefaultUncaughtExceptionHandler { _, error -> fatalErrors.onFatalError(error) }
        val coreDispatcher = newDaemonDispatcher("core")
        val selector = SelectorManager(newDaemonDispatcher("selector"))
        runBlocking {
            withContext(coreDispatcher) {
                val scope = CoroutineScope(coreDispatcher + SupervisorJob() + fatalErrors)
                runTicks(Daemon(scope, selector, settings, tuning, accessComponents), fatalErrors)
            }
        }
    }

    private suspend fun runTicks(daemon: Daemon, fatalErrors: FatalErrorHandler) {
        try {
            daemon.run()
        } catch (e: IOException) {
            throw e
        } catch (
            // The loop of the ticks has ended, whatever ended it.
            @Suppress("TooGenericExceptionCaught") e: Throwable,
        ) {
            fatalErrors.onFatalError(e)
        }
    }

    /** Creates a dispatcher with one daemon thread called [name]. */
    fun newDaemonDispatcher(name: String) =
        Executors.newSingleThreadExecutor { Thread(it, name).apply { isDaemon = true } }.asCoroutineDispatcher()
}

package plankwall.loadtest

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import java.util.concurrent.Executors

/**
 * A thread and a selector for a share of the simulated workers. All code that uses the sockets of one worker runs on
 * the same thread, so it needs no locks.
 */
class IoThread(name: String) {
    private val selectorThread = singleThread("$name-selector")
    private val taskThread = singleThread(name)

    /** Runs its coroutines on the thread. */
    val scope = CoroutineScope(taskThread + SupervisorJob())

    /** The selector of the sockets; it has a thread of its own. */
    val selector = SelectorManager(selectorThread)

    /** Cancels the coroutines and stops both threads. */
    fun close() {
        scope.cancel()
        selector.close()
        taskThread.close()
        selectorThread.close()
    }

    companion object {
        /** Returns a dispatcher with one daemon thread called [name]. */
        fun singleThread(name: String): ExecutorCoroutineDispatcher =
            Executors.newSingleThreadExecutor { Thread(it, name).apply { isDaemon = true } }.asCoroutineDispatcher()
    }
}

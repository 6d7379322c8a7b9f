package plankwall.loadtest

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import java.util.concurrent.Executors

/**
 * A thread and a selector for a part of the workers' sockets. What a worker does with its sockets stays on one lane, so
 * it needs no lock.
 */
class IoThread(name: String) {
    private val selecting = singleThread("$name-selector")
    private val dispatcher = singleThread(name)
    val scope = CoroutineScope(dispatcher + SupervisorJob())
    val selector = SelectorManager(selecting)

    fun close() {
        scope.cancel()
        selector.close()
        dispatcher.close()
        selecting.close()
    }

    companion object {
        fun singleThread(name: String): ExecutorCoroutineDispatcher =
            Executors.newSingleThreadExecutor { Thread(it, name).apply { isDaemon = true } }.asCoroutineDispatcher()
    }
}

package plankwall.loadtest

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import plankwall.model.JobSpec

/**
 * Simulated users who send requests about the same job to all controllers within milliseconds, overlapping on purpose:
 * a status request, the submission again and, if the job is being cancelled, the cancellation again.
 */
internal class RepeatingUsers(private val cluster: LoadTestCluster, private val requests: UserRequests) {
    /** Sends the requests about [spec] several times, at [DELAYS_MS] from now. */
    fun request(spec: JobSpec, cancel: Boolean) {
        for (delayMs in DELAYS_MS) {
            for (node in requests.nodes) {
                send(delayMs) { requests.query(spec.id, node) }
                send(delayMs) { requests.submit(spec, node) }
                if (cancel) send(delayMs) { requests.cancel(spec.id, node) }
            }
        }
    }

    /** Only asks for the status of the job [id], at all controllers and several times. */
    fun query(id: String) = DELAYS_MS.forEach { delayMs ->
        requests.nodes.forEach { node -> send(delayMs) { requests.query(id, node) } }
    }

    private fun send(delayMs: Long, request: suspend () -> Unit) {
        val spreadMs = cluster.random.nextInt(SPREAD_MS).toLong()
        cluster.scope.launch {
            delay(delayMs + spreadMs)
            request()
        }
    }

    private companion object {
        val DELAYS_MS = listOf(0L, 30L, 300L, 1_200L)

        /** The requests of one time are spread over this many milliseconds. */
        const val SPREAD_MS = 10
    }
}

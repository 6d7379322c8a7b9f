package plankwall.loadtest

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import plankwall.io.HttpReply
import plankwall.io.HttpRequest
import plankwall.wire.JobCodec
import plankwall.wire.StateCodec
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.StateServiceCodec

/**
 * The HTTP interface of the simulated state service for one controller. Each controller gets a port of its own, so that
 * its requests can be counted in its [meter].
 *
 * @param node the index of the controller
 */
class StoreEndpoint(private val cluster: LoadTestCluster, private val node: Int, private val meter: NodeMeter) {
    private val faults = cluster.storeFaults

    /** Answers one request, after a random delay. */
    suspend fun handle(request: HttpRequest): HttpReply {
        val op = readOp(request) ?: return HttpReply(404, JobCodec.error("no such path"))
        meter.stateRequests++
        if (op is StateOp.Txn) meter.puts += op.writes.size
        return when (faults.draw(node, op is StateOp.Txn, op is StateOp.Watch)) {
            StoreCallFate.NORMAL -> answer(op)
            StoreCallFate.REFUSED -> HttpReply(503, JobCodec.error("trouble"))
            StoreCallFate.SLOW -> {
                delay(faults.slowDelayMs())
                answer(op).also { delay(faults.slowDelayMs()) }
            }
            StoreCallFate.EXECUTED_LATE -> {
                cluster.clock.after(faults.lateWriteDelayS()) { cluster.state.run(op) {} }
                withoutAnswer()
            }
            StoreCallFate.ANSWER_LOST -> {
                execute(op)
                withoutAnswer()
            }
        }
    }

    private suspend fun execute(op: StateOp): StateResult {
        val answer = CompletableDeferred<StateResult>()
        cluster.runCaughtUp { cluster.state.run(op) { answer.complete(it) } }
        return answer.await()
    }

    private suspend fun answer(op: StateOp): HttpReply {
        val result = execute(op)
        delay(responseDelayMs())
        if (result == StateResult.Refused) meter.stateRefused++
        return HttpReply(statusOf(result), StateServiceCodec.write(truncated(result)))
    }

    /**
     * Waits until the caller has given up. A caller that was paused meanwhile gets a status that does not say whether
     * the call was executed.
     */
    private suspend fun withoutAnswer(): HttpReply {
        delay(StoreFaults.NO_ANSWER_MS)
        return HttpReply(500, JobCodec.error("no answer"))
    }

    private fun responseDelayMs(): Long = if (cluster.random.nextDouble() < SLOW_SHARE) {
        SLOW_DELAY_MS
    } else {
        1L + cluster.random.nextInt(USUAL_DELAY_BOUND_MS)
    }

    /** Returns the operation that [request] asks for, or null if there is none at its path. */
    private fun readOp(request: HttpRequest): StateOp? {
        val query = request.query.split('&').associate { it.substringBefore('=') to it.substringAfter('=', "") }
        val path = request.path
        return when {
            path == "/multi" -> StateServiceCodec.readTxn(request.body)
            path == "/keys" -> StateOp.Range(
                query["prefix"].orEmpty(),
                query["from"],
                (
                    query["page"]?.toIntOrNull()
                        ?: MAX_ITEMS
                    ).coerceIn(1, MAX_ITEMS),
            )
            path.startsWith("/keys/") -> StateOp.Get(path.removePrefix("/keys/"))
            path == "/changes" -> readChanges(query)
            path == "/grants" -> StateServiceCodec.readGrant(request.body)
            path.endsWith("/touch") -> leaseIdOf(path.removeSuffix("/touch"))?.let { StateOp.Renew(it) }
            request.method == "DELETE" -> leaseIdOf(path)?.let { StateOp.Drop(it) }
            else -> null
        }
    }

    private fun leaseIdOf(path: String): Long? = path.removePrefix("/grants/").toLongOrNull()

    private fun readChanges(query: Map<String, String>): StateOp {
        val prefix = query["prefix"].orEmpty()
        val from = query["from"]?.toLongOrNull() ?: 0L
        val blockMs = query["block_ms"]?.toLongOrNull() ?: 0L
        return if (blockMs == 0L) {
            StateOp.Changes(prefix, from)
        } else {
            StateOp.Watch(prefix, from, blockMs.coerceAtMost(MAX_BLOCK_MS))
        }
    }

    /** Returns [result] without the items that would make the response larger than [MAX_RESPONSE_BYTES]. */
    private fun truncated(result: StateResult): StateResult {
        if (result !is StateResult.Items) return result
        var bytes = 0
        val fitting = result.items.takeWhile { item ->
            bytes += StateCodec.sizeOf(item.value) + item.key.length + ITEM_OVERHEAD_BYTES
            bytes <= MAX_RESPONSE_BYTES
        }
        return if (fitting.size == result.items.size) result else result.copy(items = fitting, more = true)
    }

    private fun statusOf(result: StateResult): Int = when (result) {
        is StateResult.Conflict -> 409
        is StateResult.Item -> if (result.item == null) 404 else 200
        StateResult.NoLease -> 404
        StateResult.TooOld -> 410
        StateResult.Rejected -> 400
        StateResult.Refused -> if (cluster.state.outage) 503 else 429
        else -> 200
    }

    private companion object {
        const val MAX_ITEMS = 1_000
        const val MAX_RESPONSE_BYTES = 512 * 1024
        const val ITEM_OVERHEAD_BYTES = 40
        const val MAX_BLOCK_MS = 60_000L

        /**
         * A response usually takes less than 10 ms and occasionally a few hundred milliseconds, as PROTOCOL describes.
         */
        const val USUAL_DELAY_BOUND_MS = 7
        const val SLOW_DELAY_MS = 250L
        const val SLOW_SHARE = 0.003
    }
}

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

/** The state service as one controller reaches it: each has a port of its own, so that requests can be told apart. */
class StoreEndpoint(private val cluster: LoadTestCluster, private val meter: NodeMeter) {
    suspend fun handle(request: HttpRequest): HttpReply {
        val op = read(request) ?: return HttpReply(404, JobCodec.error("no such path"))
        meter.stateRequests++
        if (op is StateOp.Txn) meter.puts += op.writes.size
        val answer = CompletableDeferred<StateResult>()
        cluster.enter { cluster.state.run(op) { answer.complete(it) } }
        val result = answer.await()
        delay(lagMs())
        if (result == StateResult.Refused) meter.stateRefused++
        return HttpReply(statusOf(result), StateServiceCodec.write(bounded(result)))
    }

    private fun lagMs(): Long = if (cluster.random.nextDouble() < SLOW_SHARE) {
        SLOW_MS
    } else {
        1L + cluster.random.nextInt(USUAL_MS)
    }

    private fun read(r: HttpRequest): StateOp? {
        val query = r.query.split('&').associate { it.substringBefore('=') to it.substringAfter('=', "") }
        val path = r.path
        return when {
            path == "/multi" -> StateServiceCodec.readTxn(r.body)
            path == "/keys" -> StateOp.Range(
                query["prefix"].orEmpty(),
                query["from"],
                (
                    query["page"]?.toIntOrNull()
                        ?: MAX_ITEMS
                    ).coerceIn(1, MAX_ITEMS),
            )
            path.startsWith("/keys/") -> StateOp.Get(path.removePrefix("/keys/"))
            path == "/changes" -> changes(query)
            path == "/grants" -> StateServiceCodec.readGrant(r.body)
            path.endsWith("/touch") -> leaseOf(path.removeSuffix("/touch"))?.let { StateOp.Renew(it) }
            r.method == "DELETE" -> leaseOf(path)?.let { StateOp.Drop(it) }
            else -> null
        }
    }

    private fun leaseOf(path: String): Long? = path.removePrefix("/grants/").toLongOrNull()

    private fun changes(query: Map<String, String>): StateOp {
        val prefix = query["prefix"].orEmpty()
        val from = query["from"]?.toLongOrNull() ?: 0L
        val blockMs = query["block_ms"]?.toLongOrNull() ?: 0L
        return if (blockMs == 0L) {
            StateOp.Changes(prefix, from)
        } else {
            StateOp.Watch(prefix, from, blockMs.coerceAtMost(MAX_BLOCK_MS))
        }
    }

    /** A response holds at most [MAX_BYTES] of values. */
    private fun bounded(result: StateResult): StateResult {
        if (result !is StateResult.Items) return result
        var bytes = 0
        val fitting = result.items.takeWhile { item ->
            bytes += StateCodec.sizeOf(item.value) + item.key.length + ITEM_OVERHEAD
            bytes <= MAX_BYTES
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
        const val MAX_BYTES = 512 * 1024
        const val ITEM_OVERHEAD = 40
        const val MAX_BLOCK_MS = 60_000L

        /** A response usually takes under 10 ms, occasionally a few hundred (PROTOCOL). */
        const val USUAL_MS = 7
        const val SLOW_MS = 250L
        const val SLOW_SHARE = 0.003
    }
}

package plankwall.load

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.TreeMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicLong

/**
 * An HTTP server on loopback that stands in for the state service and the cloud, for controllers that run as real
 * processes. The cloud offers machine types but has no machines.
 */
class LoopbackServices : AutoCloseable {
    /** A stored value. [revision]: that of its last write. [lease]: the id of the lease it is bound to, if any. */
    private class Entry(val data: JsonNode, val revision: Long, val lease: Long?)

    /** A lease. [expiresMs]: when it expires, by [nowMs]. */
    private class Lease(val durationMs: Long, var expiresMs: Long)

    /** A write in the history. [data]: the new value; null if the key was removed. */
    private class Change(val key: String, val data: JsonNode?, val revision: Long)

    private val json = ObjectMapper()
    private val entries = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Lease>()
    private val history = ArrayDeque<Change>()
    private var revision = 0L
    private var nextLease = 1L
    private val lock = Object()

    /** The number of requests to the state service so far. */
    val requests = AtomicLong()

    /** The number of keys that were written or removed so far. */
    val changes = AtomicLong()
    private val pool = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200).apply {
        executor = pool
        createContext("/") { exchange -> answer(exchange) }
        start()
    }

    val address: String get() = "127.0.0.1:${server.address.port}"

    private fun answer(exchange: HttpExchange) {
        val body = exchange.requestBody.readBytes()
        val (status, answer) = try {
            handle(exchange.requestMethod, exchange.requestURI.path, parseQuery(exchange.requestURI.rawQuery), body)
        } catch (exception: RuntimeException) {
            400 to """{"error":${json.writeValueAsString(exception.toString())}}"""
        }
        val bytes = answer.encodeToByteArray()
        exchange.sendResponseHeaders(status, if (bytes.isEmpty()) -1 else bytes.size.toLong())
        if (bytes.isNotEmpty()) exchange.responseBody.write(bytes)
        exchange.close()
    }

    private fun parseQuery(rawQuery: String?): Map<String, String> =
        rawQuery?.split('&')?.associate { it.substringBefore('=') to it.substringAfter('=', "") }.orEmpty()

    /** Answers one request: returns the status and the body. */
    private fun handle(method: String, path: String, query: Map<String, String>, body: ByteArray): Pair<Int, String> {
        if (path == "/catalog") return 200 to CATALOG
        if (path == "/machines" && method == "GET") return 200 to """{"berths":[],"has_next":false}"""
        if (path.startsWith("/machines")) return 503 to """{"error":"no capacity"}"""
        requests.incrementAndGet()
        return when {
            path == "/multi" -> synchronized(lock) {
                dropExpiredLeases()
                transact(json.readTree(body))
            }
            path == "/keys" -> synchronized(lock) {
                dropExpiredLeases()
                200 to range(query)
            }
            path == "/changes" -> changes(query)
            path.startsWith("/keys/") -> synchronized(lock) {
                dropExpiredLeases()
                get(path.removePrefix("/keys/"))
            }
            path == "/grants" -> synchronized(lock) { grantLease(json.readTree(body).get("life_ms").asLong()) }
            path.endsWith("/touch") -> synchronized(lock) {
                renewLease(path.removePrefix("/grants/").removeSuffix("/touch").toLong())
            }
            path.startsWith("/grants/") -> synchronized(lock) {
                dropLease(path.removePrefix("/grants/").toLong())
                200 to
                    "{}"
            }
            else -> 404 to "{}"
        }
    }

    /** The time of a monotonic clock, in ms. */
    private fun nowMs() = System.nanoTime() / 1_000_000

    private fun dropExpiredLeases() =
        leases.filterValues { it.expiresMs < nowMs() }.keys.toList().forEach { dropLease(it) }

    /** Removes a lease together with the keys that are bound to it. */
    private fun dropLease(lease: Long) {
        leases.remove(lease)
        val removedKeys = entries.filterValues { it.lease == lease }.keys.toList()
        if (removedKeys.isEmpty()) return
        revision++
        removedKeys.forEach {
            entries.remove(it)
            recordChange(Change(it, null, revision))
        }
    }

    /** Appends [change] to the history and wakes the requests that wait for changes. */
    private fun recordChange(change: Change) {
        history.addLast(change)
        if (history.size > HISTORY_LIMIT) history.removeFirst()
        lock.notifyAll()
    }

    private fun grantLease(durationMs: Long): Pair<Int, String> {
        leases[nextLease] = Lease(durationMs, nowMs() + durationMs)
        return 200 to """{"permit":${nextLease++}}"""
    }

    private fun renewLease(id: Long): Pair<Int, String> {
        dropExpiredLeases()
        val lease = leases[id] ?: return 404 to "{}"
        lease.expiresMs = nowMs() + lease.durationMs
        return 200 to "{}"
    }

    private fun transact(transaction: JsonNode): Pair<Int, String> {
        val failed = transaction.path("guards").filter {
            (entries[it.get("key").asText()]?.revision ?: 0L) !=
                it.get("stamp").asLong()
        }.map { it.get("key").asText() }
        if (failed.isNotEmpty()) return 409 to """{"failed":${json.writeValueAsString(failed)},"ledger":$revision}"""
        val writes = transaction.path("writes").toList()
        if (writes.any { it.has("permit") && it.get("permit").asLong() !in leases }) {
            return 400 to
                """{"error":"no such lease"}"""
        }
        if (writes.isNotEmpty()) revision++
        for (write in writes) {
            changes.incrementAndGet()
            val key = (write.get("set") ?: write.get("remove")).asText()
            if (write.has("set")) {
                entries[key] = Entry(write.get("data"), revision, write.get("permit")?.asLong())
            } else {
                entries.remove(key)
            }
            recordChange(Change(key, write.get("data"), revision))
        }
        return 200 to """{"ledger":$revision}"""
    }

    private fun item(key: String, entry: Entry) =
        """{"key":${json.writeValueAsString(key)},"data":${entry.data},"stamp":${entry.revision}}"""

    private fun get(key: String): Pair<Int, String> =
        entries[key]?.let { 200 to item(key, it) } ?: (404 to """{"ledger":$revision}""")

    private fun range(query: Map<String, String>): String {
        val prefix = query["prefix"].orEmpty()
        val firstKey = query["from"]
        val found = entries.tailMap(firstKey ?: prefix, firstKey == null).entries.asSequence().takeWhile {
            it.key.startsWith(prefix)
        }.take((query["page"]?.toInt() ?: 100) + 1).toList()
        val page = found.take(query["page"]?.toInt() ?: 100)
        return """{"items":[${page.joinToString(",") {
            item(it.key, it.value)
        }}],"has_next":${found.size > page.size},"ledger":$revision}"""
    }

    /** Returns the changes after the revision that the caller names; waits for one for at most `block_ms`. */
    private fun changes(query: Map<String, String>): Pair<Int, String> = synchronized(lock) {
        val prefix = query["prefix"].orEmpty()
        val lastSeenRevision = query["from"]?.toLong() ?: 0
        val deadlineMs = nowMs() + (query["block_ms"]?.toLong() ?: 0)
        while (true) {
            dropExpiredLeases()
            if (history.size == HISTORY_LIMIT && history.first().revision > lastSeenRevision + 1) return 410 to "{}"
            val newChanges = history.filter { it.revision > lastSeenRevision && it.key.startsWith(prefix) }
            val remainingMs = deadlineMs - nowMs()
            if (newChanges.isNotEmpty() || remainingMs <= 0) {
                val changesJson = newChanges.joinToString(",") { change ->
                    val key = json.writeValueAsString(change.key)
                    if (change.data == null) {
                        """{"remove":$key,"stamp":${change.revision}}"""
                    } else {
                        """{"set":$key,"data":${change.data},"stamp":${change.revision}}"""
                    }
                }
                return 200 to """{"ledger":$revision,"news":[$changesJson]}"""
            }
            lock.wait(minOf(remainingMs, 200))
        }
        @Suppress("UNREACHABLE_CODE")
        error("never")
    }

    override fun close() {
        server.stop(0)
        pool.shutdownNow()
    }

    private companion object {
        /** The number of changes that the history holds at most. */
        const val HISTORY_LIMIT = 10_000
        const val CATALOG = """{"builds":[{"name":"box","cores":64,"accelerators":8,"ram_gb":512,""" +
            """"cache_gb":200,"pull_gb_per_s":1.0,"rate":12.0,"low_price":4.5,"ready_s":45,"yards":["a"]}]}"""
    }
}

/** Runs [LoopbackServices] until interrupted, for trying out the program by hand. */
object LoopbackMain {
    @JvmStatic
    fun main(args: Array<String>) {
        System.setProperty("sun.net.httpserver.nodelay", "true")
        println(LoopbackServices().address)
        Thread.sleep(Long.MAX_VALUE)
    }
}

package plankwall.cli.access

import plankwall.audit.Seals
import plankwall.cli.remote.NodeCalls
import plankwall.wire.AdminCodec
import plankwall.wire.AuditSegment

/** A node ended the transfer of the audit log, for [problem]. */
internal class TransferFailedException(val problem: String) : Exception(problem)

/** Reads the audit log from a node, segment by segment; throws [TransferFailedException]. */
internal class AuditLogReader(private val calls: NodeCalls) {
    /** The value at [path]; null if there is none. Tries again while the node is overloaded. */
    private fun fetch(path: String): ByteArray? {
        repeat(MAX_TRIES) {
            val answer = calls.ask("GET", path) ?: throw TransferFailedException("no answer")
            when {
                answer.isSuccess -> return answer.body.encodeToByteArray()
                answer.status == NOT_FOUND -> return null
                answer.status !in OVERLOADED -> throw TransferFailedException("${answer.status} ${answer.body}")
                else -> Thread.sleep(RETRY_MS)
            }
        }
        throw TransferFailedException("the service is too busy")
    }

    /** The signed checkpoint [number]; null if there is none yet. */
    fun seal(number: Long): String? = fetch("/api/seals/$number")?.let { AdminCodec.readSeal(it).jws }

    /** Null if [node] has written no such segment yet. */
    fun segment(node: String, number: Long): AuditSegment? =
        fetch("/api/trail/$node/$number")?.let { AdminCodec.readSegment(it) }

    /** All signed checkpoints by number. */
    fun seals(): Map<Long, String> = readAll { seal(it) }

    /** All segments of [node] by number. */
    fun chain(node: String): Map<Long, AuditSegment> = readAll { segment(node, it) }

    private fun <T : Any> readAll(read: (Long) -> T?): Map<Long, T> {
        val found = LinkedHashMap<Long, T>()
        var number = 0L
        while (true) found[number] = read(number++) ?: return found
    }

    /** The nodes that the last of [seals] names, and [more]. */
    fun nodes(seals: Map<Long, String>, more: List<String>): List<String> =
        (seals.values.lastOrNull()?.let { Seals.read(it).heads.keys }.orEmpty() + more).distinct()

    private companion object {
        const val MAX_TRIES = 20
        const val RETRY_MS = 500L
        const val NOT_FOUND = 404

        /** Too many requests; service unavailable. */
        val OVERLOADED = setOf(429, 503)
    }
}

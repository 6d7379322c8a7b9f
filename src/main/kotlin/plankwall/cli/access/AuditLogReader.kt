package plankwall.cli.access

import plankwall.audit.Seals
import plankwall.cli.remote.NodeCalls
import plankwall.wire.AdminCodec
import plankwall.wire.AuditSegment

/** The audit log could not be read from a node to its end. [problem]: the reason. */
internal class TransferFailedException(val problem: String) : Exception(problem)

/**
 * Reads the audit log from a node, one segment or checkpoint per request. Every function throws
 * [TransferFailedException] if the node does not answer, refuses or stays overloaded.
 */
internal class AuditLogReader(private val calls: NodeCalls) {
    /** Returns the value at [path]; null if there is none. Retries while the node is overloaded. */
    private fun fetch(path: String): ByteArray? {
        repeat(MAX_TRIES) {
            val answer = calls.sendRequest("GET", path) ?: throw TransferFailedException("no answer")
            when {
                answer.isSuccess -> return answer.body.encodeToByteArray()
                answer.status == NOT_FOUND -> return null
                answer.status !in OVERLOADED_STATUSES -> throw TransferFailedException(
                    "${answer.status} ${answer.body}",
                )
                else -> Thread.sleep(RETRY_DELAY_MS)
            }
        }
        throw TransferFailedException("the node stayed overloaded")
    }

    /** Returns the signed checkpoint [number] as a JWS; null if there is none yet. */
    fun readCheckpoint(number: Long): String? = fetch("/api/seals/$number")?.let { AdminCodec.readSeal(it).jws }

    /** Returns the segment [number] of the log of [node]; null if it is not written yet. */
    fun readSegment(node: String, number: Long): AuditSegment? =
        fetch("/api/trail/$node/$number")?.let { AdminCodec.readSegment(it) }

    /** Returns all signed checkpoints by number. */
    fun readCheckpoints(): Map<Long, String> = readAll { readCheckpoint(it) }

    /** Returns all segments of the log of [node] by number. */
    fun readSegments(node: String): Map<Long, AuditSegment> = readAll { readSegment(node, it) }

    /** Returns what [read] returns for the numbers from 0 up to the first one that has no value. */
    private fun <T : Any> readAll(read: (Long) -> T?): Map<Long, T> {
        val valuesByNumber = LinkedHashMap<Long, T>()
        var number = 0L
        while (true) valuesByNumber[number] = read(number++) ?: return valuesByNumber
    }

    /** Returns the nodes that the last of [checkpoints] lists, and those of [additionalNodes]. */
    fun listNodes(checkpoints: Map<Long, String>, additionalNodes: List<String>): List<String> =
        (checkpoints.values.lastOrNull()?.let { Seals.read(it).heads.keys }.orEmpty() + additionalNodes).distinct()

    private companion object {
        const val MAX_TRIES = 20
        const val RETRY_DELAY_MS = 500L
        const val NOT_FOUND = 404

        /** The statuses Too Many Requests and Service Unavailable. */
        val OVERLOADED_STATUSES = setOf(429, 503)
    }
}

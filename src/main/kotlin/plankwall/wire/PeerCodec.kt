package plankwall.wire

import okio.Buffer

/** What controllers tell each other. */
sealed interface PeerMessage

/** Once a second: who a node is, whom it follows, whom it could reach. */
data class PeerStatus(
    val node: String,
    val incarnation: Long,
    val epochSeen: Long,
    val leading: Boolean,
    /** The epoch that this node led last and has stopped acting for, or 0. Proof for a take-over. */
    val resignedEpoch: Long,
    val stateReachable: Boolean,
    /** Workers that turned up here within the last few seconds though this node does not lead. */
    val strayWorkers: Int,
    /** What a node can read of other nodes' data: [PeerCodec.LEVEL] of its version. */
    val level: Int = PeerCodec.FIRST_LEVEL,
) : PeerMessage

data class JobProgress(val id: String, val done: Int, val running: Int)

/** From the leader of [epoch]: how far jobs are, for display at every node. */
data class ProgressNews(val epoch: Long, val jobs: List<JobProgress>) : PeerMessage

object PeerCodec {
    private const val STATUS = 1
    private const val PROGRESS = 2
    const val MAX_FRAME = 64 * 1024

    /** The first version, whose frames name no level. */
    const val FIRST_LEVEL = 1

    /** This version: knows dependencies, divided pages and values that go on under further keys. */
    const val LEVEL = 2

    fun write(message: PeerMessage): ByteArray = when (message) {
        is PeerStatus -> status(message)
        is ProgressNews -> progress(message)
    }

    private fun status(s: PeerStatus): ByteArray {
        val body = Buffer()
        body.writeByte(STATUS).name(s.node)
        body.writeLong(s.incarnation).writeLong(s.epochSeen).writeLong(s.resignedEpoch)
        body.writeByte(if (s.leading) 1 else 0).writeByte(if (s.stateReachable) 1 else 0).writeInt(s.strayWorkers)
        // Frames grow at the end only: the first version reads up to here and ignores the rest.
        body.writeInt(s.level)
        return body.readByteArray()
    }

    private fun progress(news: ProgressNews): ByteArray {
        val body = Buffer()
        body.writeByte(PROGRESS).writeLong(news.epoch).writeInt(news.jobs.size)
        news.jobs.forEach { body.name(it.id).writeInt(it.done).writeInt(it.running) }
        return body.readByteArray()
    }

    fun read(frame: ByteArray): PeerMessage = try {
        val b = Buffer().write(frame)
        when (b.readByte().toInt()) {
            STATUS -> readStatus(b)
            PROGRESS -> readProgress(b)
            else -> throw BadMessage("peer: unknown kind of frame")
        }
    } catch (_: java.io.EOFException) {
        throw BadMessage("peer: short frame")
    }

    private fun readStatus(b: Buffer): PeerStatus {
        val node = b.readName()
        val incarnation = b.readLong()
        val epochSeen = b.readLong()
        val resigned = b.readLong()
        val leading = b.readByte().toInt() == 1
        val reachable = b.readByte().toInt() == 1
        val strays = b.readInt()
        val level = if (b.exhausted()) FIRST_LEVEL else b.readInt()
        return PeerStatus(node, incarnation, epochSeen, leading, resigned, reachable, strays, level)
    }

    private fun readProgress(b: Buffer): ProgressNews {
        val epoch = b.readLong()
        val count = b.readInt()
        if (count !in 0..MAX_FRAME) throw BadMessage("peer: $count jobs")
        return ProgressNews(epoch, List(count) { JobProgress(b.readName(), b.readInt(), b.readInt()) })
    }

    private fun Buffer.name(name: String): Buffer {
        val bytes = name.encodeToByteArray()
        return writeInt(bytes.size).write(bytes)
    }

    private fun Buffer.readName(): String {
        val size = readInt()
        if (size !in 1..200) throw BadMessage("peer: bad name")
        return readUtf8(size.toLong())
    }
}

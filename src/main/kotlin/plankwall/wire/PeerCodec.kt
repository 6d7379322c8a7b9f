package plankwall.wire

import okio.Buffer
import java.io.EOFException

/** Codec of the frames between controllers: one byte for the kind of message, then the fields of the message. */
object PeerCodec {
    private const val STATUS = 1
    private const val PROGRESS = 2
    private const val RELAYED_HEARTBEAT = 3
    private const val RELAYED_ANSWER = 4
    private const val HEARTBEAT_BATCH = 5
    private const val ANSWER_BATCH = 6

    /** The maximum number of bytes of a frame without its seal. */
    const val MAX_FRAME = 64 * 1024

    /** The record format level of the first version, whose status frames do not state one. */
    const val FIRST_LEVEL = 1

    /**
     * The record format level of this version, which can read dependencies, split pages and values that continue under
     * further keys.
     */
    const val LEVEL = 2

    /** Returns [message] as a frame without its length and its seal. */
    fun write(message: PeerMessage): ByteArray = when (message) {
        is PeerStatus -> writeStatus(message)
        is ProgressUpdate -> writeProgress(message)
        is RelayedHeartbeat -> RelayCodec.write(Buffer().writeByte(RELAYED_HEARTBEAT), message)
        is RelayedAnswer -> RelayCodec.write(Buffer().writeByte(RELAYED_ANSWER), message)
        is HeartbeatBatch -> SessionCodec.write(Buffer().writeByte(HEARTBEAT_BATCH), message)
        is AnswerBatch -> SessionCodec.write(Buffer().writeByte(ANSWER_BATCH), message)
    }

    private fun writeStatus(status: PeerStatus): ByteArray {
        val body = Buffer()
        body.writeByte(STATUS).writeName(status.node)
        body.writeLong(status.incarnation).writeLong(status.epochSeen).writeLong(status.resignedEpoch)
        body.writeFlag(status.leading).writeFlag(status.isStoreReachable).writeInt(status.unservedWorkerCount)
        // New versions append fields at the end only. The first version reads up to here and ignores what follows.
        body.writeInt(status.level)
        // The second version reads up to here.
        status.links?.let { ReachabilityCodec.write(body, it) }
        // The third version reads up to here. A section is written only if all earlier ones are.
        if (status.links != null) status.cancellations?.let { CancellationCodec.write(body, it) }
        // The fourth version reads up to here.
        if (status.links != null && status.cancellations != null) {
            status.sessions?.let { SessionCodec.write(body, it) }
        }
        return body.readByteArray()
    }

    private fun writeProgress(update: ProgressUpdate): ByteArray {
        val body = Buffer()
        body.writeByte(PROGRESS).writeLong(update.epoch).writeInt(update.jobs.size)
        update.jobs.forEach { body.writeName(it.id).writeInt(it.done).writeInt(it.running) }
        return body.readByteArray()
    }

    /** Reads what [write] writes; throws [MalformedMessageException] for a frame that can't be read completely. */
    fun read(frame: ByteArray): PeerMessage = try {
        val buffer = Buffer().write(frame)
        when (buffer.readByte().toInt()) {
            STATUS -> readStatus(buffer)
            PROGRESS -> readProgress(buffer)
            RELAYED_HEARTBEAT -> RelayCodec.readHeartbeat(buffer)
            RELAYED_ANSWER -> RelayCodec.readAnswer(buffer)
            HEARTBEAT_BATCH -> SessionCodec.readHeartbeats(buffer)
            ANSWER_BATCH -> SessionCodec.readAnswers(buffer)
            else -> throw MalformedMessageException("peer", "unknown kind of frame")
        }
    } catch (exception: EOFException) {
        throw MalformedMessageException("peer", "frame ends too early", exception)
    }

    // Arguments are evaluated in their order here, which has to be the order of the fields in the frame.
    private fun readStatus(buffer: Buffer): PeerStatus = PeerStatus(
        node = buffer.readName(),
        incarnation = buffer.readLong(),
        epochSeen = buffer.readLong(),
        resignedEpoch = buffer.readLong(),
        leading = buffer.readFlag(),
        isStoreReachable = buffer.readFlag(),
        unservedWorkerCount = buffer.readInt(),
        // Frames of older versions end before these fields.
        level = if (buffer.exhausted()) FIRST_LEVEL else buffer.readInt(),
        links = if (buffer.exhausted()) null else ReachabilityCodec.read(buffer),
        cancellations = if (buffer.exhausted()) null else CancellationCodec.read(buffer),
        sessions = if (buffer.exhausted()) null else SessionCodec.read(buffer),
    )

    private fun readProgress(buffer: Buffer): ProgressUpdate {
        val epoch = buffer.readLong()
        return ProgressUpdate(
            epoch,
            buffer.readList {
                JobProgress(buffer.readName(), buffer.readInt(), buffer.readInt())
            },
        )
    }
}

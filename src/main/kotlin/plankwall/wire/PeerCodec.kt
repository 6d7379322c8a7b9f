package plankwall.wire

import okio.Buffer
import java.io.EOFException

/** Frames between controllers: a byte for the kind of message, then its fields. */
object PeerCodec {
    private const val STATUS = 1
    private const val PROGRESS = 2
    private const val RELAYED_HEARTBEAT = 3
    private const val RELAYED_ANSWER = 4
    private const val HEARTBEAT_BATCH = 5
    private const val ANSWER_BATCH = 6

    /** The most bytes of a frame, without its seal. */
    const val MAX_FRAME = 64 * 1024

    /** The level of the first version, whose frames hold none. */
    const val FIRST_LEVEL = 1

    /** The level of this version: reads dependencies, divided pages and values that continue under further keys. */
    const val LEVEL = 2

    /** [message] as a frame without its length and its seal. */
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
        body.writeByte(STATUS).name(status.node)
        body.writeLong(status.incarnation).writeLong(status.epochSeen).writeLong(status.resignedEpoch)
        body.flag(status.leading).flag(status.stateReachable).writeInt(status.unservedWorkers)
        // Frames grow at the end only: the first version reads up to here and ignores the rest.
        body.writeInt(status.level)
        // The second one up to here.
        status.links?.let { ReachabilityCodec.write(body, it) }
        // The third one up to here.
        if (status.links != null) status.cancellations?.let { CancellationCodec.write(body, it) }
        // The fourth one up to here.
        if (status.links != null && status.cancellations != null) {
            status.sessions?.let { SessionCodec.write(body, it) }
        }
        return body.readByteArray()
    }

    private fun writeProgress(update: ProgressUpdate): ByteArray {
        val body = Buffer()
        body.writeByte(PROGRESS).writeLong(update.epoch).writeInt(update.jobs.size)
        update.jobs.forEach { body.name(it.id).writeInt(it.done).writeInt(it.running) }
        return body.readByteArray()
    }

    /** Throws [MalformedMessageException] for a frame that can't be read whole. */
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
    } catch (e: EOFException) {
        throw MalformedMessageException("peer", "short frame", e)
    }

    // Arguments are evaluated in the order of the frame's fields.
    private fun readStatus(buffer: Buffer): PeerStatus = PeerStatus(
        node = buffer.readName(),
        incarnation = buffer.readLong(),
        epochSeen = buffer.readLong(),
        resignedEpoch = buffer.readLong(),
        leading = buffer.readFlag(),
        stateReachable = buffer.readFlag(),
        unservedWorkers = buffer.readInt(),
        // Frames of older versions end sooner.
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

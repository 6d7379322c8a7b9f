package plankwall.wire

import okio.Buffer

/** Frames between controllers. */
object PeerCodec {
    private const val STATUS = 1
    private const val PROGRESS = 2
    private const val REPORT = 3
    private const val ANSWER = 4
    private const val REPORTS = 5
    private const val ANSWERS = 6
    const val MAX_FRAME = 64 * 1024

    /** The first version, whose frames name no level. */
    const val FIRST_LEVEL = 1

    /** This version: knows dependencies, divided pages and values that go on under further keys. */
    const val LEVEL = 2

    fun write(message: PeerMessage): ByteArray = when (message) {
        is PeerStatus -> status(message)
        is ProgressUpdate -> progress(message)
        is RelayedHeartbeat -> RelayCodec.write(Buffer().writeByte(REPORT), message)
        is RelayedAnswer -> RelayCodec.write(Buffer().writeByte(ANSWER), message)
        is HeartbeatBatch -> SessionCodec.write(Buffer().writeByte(REPORTS), message)
        is AnswerBatch -> SessionCodec.write(Buffer().writeByte(ANSWERS), message)
    }

    private fun status(s: PeerStatus): ByteArray {
        val body = Buffer()
        body.writeByte(STATUS).name(s.node)
        body.writeLong(s.incarnation).writeLong(s.epochSeen).writeLong(s.resignedEpoch)
        body.flag(s.leading).flag(s.stateReachable).writeInt(s.unservedWorkers)
        // Frames grow at the end only: the first version reads up to here and ignores the rest.
        body.writeInt(s.level)
        // The second one up to here.
        s.links?.let { ReachabilityCodec.write(body, it) }
        // The third one up to here.
        if (s.links != null) s.cancellations?.let { CancellationCodec.write(body, it) }
        // The fourth one up to here.
        if (s.links != null && s.cancellations != null) s.sessions?.let { SessionCodec.write(body, it) }
        return body.readByteArray()
    }

    private fun progress(news: ProgressUpdate): ByteArray {
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
            REPORT -> RelayCodec.readReport(b)
            ANSWER -> RelayCodec.readAnswer(b)
            REPORTS -> SessionCodec.readReports(b)
            ANSWERS -> SessionCodec.readAnswers(b)
            else -> throw MalformedMessageException("peer: unknown kind of frame")
        }
    } catch (_: java.io.EOFException) {
        throw MalformedMessageException("peer: short frame")
    }

    private fun readStatus(b: Buffer): PeerStatus {
        val node = b.readName()
        val incarnation = b.readLong()
        val epochSeen = b.readLong()
        val resigned = b.readLong()
        val leading = b.readFlag()
        val reachable = b.readFlag()
        val unservedWorkers = b.readInt()
        val level = if (b.exhausted()) FIRST_LEVEL else b.readInt()
        val links = if (b.exhausted()) null else ReachabilityCodec.read(b)
        val cancellations = if (b.exhausted()) null else CancellationCodec.read(b)
        val sessions = if (b.exhausted()) null else SessionCodec.read(b)
        return PeerStatus(
            node, incarnation, epochSeen, leading, resigned, reachable, unservedWorkers, level, links, cancellations,
            sessions,
        )
    }

    private fun readProgress(b: Buffer): ProgressUpdate {
        val epoch = b.readLong()
        return ProgressUpdate(epoch, b.readList { JobProgress(b.readName(), b.readInt(), b.readInt()) })
    }
}

package plankwall.wire

import okio.Buffer

/**
 * Codec of the section of a status frame about workers' sessions, and of the frames that carry heartbeats and answers
 * of many workers.
 */
internal object SessionCodec {
    private const val FULL = 1
    private const val UNCHANGED = 2
    private const val MAX_CAPACITY = 1_000_000

    /** Appends [update] to [buffer]. */
    fun write(buffer: Buffer, update: SessionUpdate) {
        buffer.writeInt(update.capacity).writeFlag(update.plan != null)
        update.plan?.let { writePlan(buffer, it) }
    }

    private fun writePlan(buffer: Buffer, plan: SessionPlan) {
        buffer.writeLong(plan.epoch).writeInt(plan.zones.size)
        plan.zones.forEach { (zone, shares) ->
            buffer.writeName(zone).writeInt(shares.size)
            shares.forEach { buffer.writeName(it.node).writeInt(it.weight) }
        }
    }

    /** Reads what [write] writes for a [SessionUpdate]; throws [MalformedMessageException]. */
    fun read(buffer: Buffer): SessionUpdate {
        val capacity = buffer.readInt()
        if (capacity !in 0..MAX_CAPACITY) throw MalformedMessageException("peer", "capacity of $capacity sessions")
        return SessionUpdate(capacity, if (buffer.readFlag()) readPlan(buffer) else null)
    }

    private fun readPlan(buffer: Buffer): SessionPlan {
        val epoch = buffer.readLong()
        val zones = buffer.readList { buffer.readName() to buffer.readList { readShare(buffer) } }
        return SessionPlan(epoch, zones.toMap())
    }

    private fun readShare(buffer: Buffer): SessionShare {
        val share = SessionShare(buffer.readName(), buffer.readInt())
        if (share.weight < 1) throw MalformedMessageException("peer", "share with the weight ${share.weight}")
        return share
    }

    /** Appends [batch] to [buffer] and returns the whole frame. */
    fun write(buffer: Buffer, batch: HeartbeatBatch): ByteArray {
        buffer.writeName(batch.from).writeLong(batch.epoch).writeLong(batch.echo).writeInt(batch.heartbeats.size)
        batch.heartbeats.forEach { writeHeartbeat(buffer, it) }
        return buffer.readByteArray()
    }

    private fun writeHeartbeat(buffer: Buffer, heartbeat: BatchedHeartbeat) {
        val kind = if (heartbeat is FullHeartbeat) FULL else UNCHANGED
        buffer.writeByte(kind).writeLong(heartbeat.id).writeText(heartbeat.address)
        when (heartbeat) {
            is FullHeartbeat -> RelayCodec.writeStatus(buffer, heartbeat.heartbeat)
            is UnchangedHeartbeat ->
                buffer.writeName(heartbeat.machine).writeLong(heartbeat.baseId).writeLong(heartbeat.seq)
                    .writeLong(heartbeat.token)
        }
    }

    /** Reads what [write] writes for a [HeartbeatBatch]; the order of arguments is that of the fields. */
    fun readHeartbeats(buffer: Buffer): HeartbeatBatch = HeartbeatBatch(
        from = buffer.readName(),
        epoch = buffer.readLong(),
        echo = buffer.readLong(),
        heartbeats = buffer.readList { readHeartbeat(buffer) },
    )

    private fun readHeartbeat(buffer: Buffer): BatchedHeartbeat {
        val kind = buffer.readByte().toInt()
        val id = buffer.readLong()
        val address = buffer.readText().orEmpty()
        return when (kind) {
            FULL -> FullHeartbeat(id, address, RelayCodec.readStatus(buffer))
            UNCHANGED -> UnchangedHeartbeat(
                id,
                address,
                machine = buffer.readName(),
                baseId = buffer.readLong(),
                seq = buffer.readLong(),
                token = buffer.readLong(),
            )
            else -> throw MalformedMessageException("peer", "unknown kind of heartbeat")
        }
    }

    /** Appends [batch] to [buffer] and returns the whole frame. */
    fun write(buffer: Buffer, batch: AnswerBatch): ByteArray {
        buffer.writeName(batch.from).writeLong(batch.epoch).writeInt(batch.answers.size)
        batch.answers.forEach { answer ->
            buffer.writeLong(answer.id)
            RelayCodec.writeAnswer(buffer, answer.status, answer.body)
        }
        return buffer.readByteArray()
    }

    /** Reads what [write] writes for an [AnswerBatch]; the order of arguments is that of the fields. */
    fun readAnswers(buffer: Buffer): AnswerBatch =
        AnswerBatch(buffer.readName(), buffer.readLong(), buffer.readList { readAnswer(buffer) })

    private fun readAnswer(buffer: Buffer): BatchedAnswer =
        BatchedAnswer(buffer.readLong(), buffer.readInt(), RelayCodec.readBody(buffer))
}

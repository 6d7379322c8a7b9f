package plankwall.wire

import okio.Buffer

/**
 * Codec of heartbeats and answers that are relayed through another node. They are binary, since the leader has to read
 * hundreds of them at a time when connections are cut.
 */
internal object RelayCodec {
    /** Appends [heartbeat] to [buffer] and returns the whole frame. */
    fun write(buffer: Buffer, heartbeat: RelayedHeartbeat): ByteArray {
        buffer.writeName(heartbeat.from).writeLong(heartbeat.id).writeLong(heartbeat.echo).writeText(heartbeat.address)
        writeStatus(buffer, heartbeat.heartbeat)
        return buffer.readByteArray()
    }

    /** Reads what [write] writes for a [RelayedHeartbeat]; the order of arguments is that of the fields. */
    fun readHeartbeat(buffer: Buffer): RelayedHeartbeat = RelayedHeartbeat(
        from = buffer.readName(),
        id = buffer.readLong(),
        echo = buffer.readLong(),
        address = buffer.readText().orEmpty(),
        heartbeat = readStatus(buffer),
    )

    /** Appends [answer] to [buffer] and returns the whole frame. */
    fun write(buffer: Buffer, answer: RelayedAnswer): ByteArray {
        buffer.writeName(answer.from).writeLong(answer.id)
        writeAnswer(buffer, answer.status, answer.body)
        return buffer.readByteArray()
    }

    /** Reads what [write] writes for a [RelayedAnswer]; the order of arguments is that of the fields. */
    fun readAnswer(buffer: Buffer): RelayedAnswer =
        RelayedAnswer(buffer.readName(), buffer.readLong(), buffer.readInt(), readBody(buffer))

    /** Writes the HTTP status of an answer, then its body, preceded by its length. */
    fun writeAnswer(buffer: Buffer, status: Int, body: ByteArray) {
        buffer.writeInt(status).writeInt(body.size).write(body)
    }

    /** Reads the body of an answer, which is preceded by its length. */
    fun readBody(buffer: Buffer): ByteArray {
        val size = buffer.readInt()
        if (size !in 0..PeerCodec.MAX_FRAME) throw MalformedMessageException("peer", "answer of $size bytes")
        return buffer.readByteArray(size.toLong())
    }

    /** Appends the fields of [status] to [buffer]. */
    fun writeStatus(buffer: Buffer, status: HeartbeatStatus) {
        buffer.writeName(status.machine).writeText(status.address).writeText(status.type).writeText(status.zone)
            .writeFlag(status.spot)
        buffer.writeLong(status.session).writeLong(status.seq).writeLong(status.token)
        buffer.writeFlag(status.noticeS != null).writeLong((status.noticeS ?: 0.0).toBits())
        buffer.writeInt(status.tasks.size)
        status.tasks.forEach { writeTask(buffer, it) }
    }

    private fun writeTask(buffer: Buffer, task: TaskStatus) {
        buffer.writeName(task.jobId).writeInt(task.task).writeLong(task.attempt)
        buffer.writeByte(task.stage.toFrameCode()).writeByte(task.cause.toFrameCode()).writeFlag(task.saved)
    }

    /**
     * Reads what [writeStatus] writes. Arguments are evaluated in their order here, which has to be that of the fields.
     */
    fun readStatus(buffer: Buffer): HeartbeatStatus = HeartbeatStatus(
        machine = buffer.readName(),
        address = buffer.readText().orEmpty(),
        type = buffer.readText().orEmpty(),
        zone = buffer.readText().orEmpty(),
        spot = buffer.readFlag(),
        session = buffer.readLong(),
        seq = buffer.readLong(),
        token = buffer.readLong(),
        noticeS = readNotice(buffer),
        tasks = buffer.readList { readTask(buffer) },
    )

    private fun readNotice(buffer: Buffer): Double? {
        val hasNotice = buffer.readFlag()
        return Double.fromBits(buffer.readLong()).takeIf { hasNotice }
    }

    private fun readTask(buffer: Buffer): TaskStatus = TaskStatus(
        jobId = buffer.readName(),
        task = buffer.readInt(),
        attempt = buffer.readLong(),
        stage = readStage(buffer),
        cause = ExitCause.entries.fromFrameCode(buffer.readByte().toInt()),
        saved = buffer.readFlag(),
    )

    /** Rejects the heartbeat if the stage is missing: without the entry the leader would take the task for gone. */
    private fun readStage(buffer: Buffer): TaskStage = TaskStage.entries.fromFrameCode(buffer.readByte().toInt())
        ?: throw MalformedMessageException("peer", "task without a stage")
}

package plankwall.wire

import okio.Buffer

/**
 * Heartbeats and answers that are relayed through another node. Binary: the leader reads hundreds of them at a time
 * when connections are cut.
 */
internal object RelayCodec {
    fun write(buffer: Buffer, heartbeat: RelayedHeartbeat): ByteArray {
        buffer.name(heartbeat.from).writeLong(heartbeat.id).writeLong(heartbeat.echo).text(heartbeat.address)
        writeStatus(buffer, heartbeat.report)
        return buffer.readByteArray()
    }

    fun readHeartbeat(buffer: Buffer): RelayedHeartbeat = RelayedHeartbeat(
        from = buffer.readName(),
        id = buffer.readLong(),
        echo = buffer.readLong(),
        address = buffer.readText().orEmpty(),
        report = readStatus(buffer),
    )

    fun write(buffer: Buffer, answer: RelayedAnswer): ByteArray {
        buffer.name(answer.from).writeLong(answer.id)
        writeAnswer(buffer, answer.status, answer.body)
        return buffer.readByteArray()
    }

    fun readAnswer(buffer: Buffer): RelayedAnswer =
        RelayedAnswer(buffer.readName(), buffer.readLong(), buffer.readInt(), readBody(buffer))

    fun writeAnswer(buffer: Buffer, status: Int, body: ByteArray) {
        buffer.writeInt(status).writeInt(body.size).write(body)
    }

    /** The body of an answer, after its length. */
    fun readBody(buffer: Buffer): ByteArray {
        val size = buffer.readInt()
        if (size !in 0..PeerCodec.MAX_FRAME) throw MalformedMessageException("peer", "answer of $size bytes")
        return buffer.readByteArray(size.toLong())
    }

    fun writeStatus(buffer: Buffer, status: HeartbeatStatus) {
        buffer.name(status.machine).text(status.address).text(status.type).text(status.zone).flag(status.spot)
        buffer.writeLong(status.session).writeLong(status.seq).writeLong(status.token)
        buffer.flag(status.noticeS != null).writeLong((status.noticeS ?: 0.0).toBits())
        buffer.writeInt(status.tasks.size)
        status.tasks.forEach { writeTask(buffer, it) }
    }

    private fun writeTask(buffer: Buffer, task: TaskStatus) {
        buffer.name(task.jobId).writeInt(task.task).writeLong(task.attempt)
        buffer.writeByte(task.stage.code()).writeByte(task.cause.code()).flag(task.saved)
    }

    // Arguments are evaluated in the order of the frame's fields.
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
        cause = ExitCause.entries.ofCode(buffer.readByte().toInt()),
        saved = buffer.readFlag(),
    )

    /** An entry that can't be read must not be taken for an absent one: absence is proof that a task is gone. */
    private fun readStage(buffer: Buffer): TaskStage = TaskStage.entries.ofCode(buffer.readByte().toInt())
        ?: throw MalformedMessageException("peer", "a task without a stage")
}

package plankwall.wire

import okio.Buffer

/**
 * Reports and answers on their way through another node. Binary: the leader reads them by the hundred when links are
 * cut.
 */
internal object RelayCodec {
    fun write(b: Buffer, r: RelayedHeartbeat): ByteArray {
        b.name(r.from).writeLong(r.id).writeLong(r.echo).text(r.address)
        report(b, r.report)
        return b.readByteArray()
    }

    fun readReport(b: Buffer): RelayedHeartbeat =
        RelayedHeartbeat(b.readName(), b.readLong(), b.readLong(), b.readText().orEmpty(), readWorkerReport(b))

    fun write(b: Buffer, a: RelayedAnswer): ByteArray {
        b.name(a.from).writeLong(a.id).writeInt(a.status).writeInt(a.body.size).write(a.body)
        return b.readByteArray()
    }

    fun readAnswer(b: Buffer): RelayedAnswer {
        val from = b.readName()
        val id = b.readLong()
        val status = b.readInt()
        val size = b.readInt()
        if (size !in 0..PeerCodec.MAX_FRAME) throw MalformedMessageException("peer: answer of $size bytes")
        return RelayedAnswer(from, id, status, b.readByteArray(size.toLong()))
    }

    internal fun report(b: Buffer, r: HeartbeatStatus) {
        b.name(r.machine).text(r.address).text(r.type).text(r.zone).flag(r.spot)
        b.writeLong(
            r.session,
        ).writeLong(r.seq).writeLong(r.token).flag(r.noticeS != null).writeLong((r.noticeS ?: 0.0).toBits())
        b.writeInt(r.tasks.size)
        r.tasks.forEach { t ->
            b.name(
                t.jobId,
            ).writeInt(t.task).writeLong(t.attempt).writeByte(t.stage.code()).writeByte(t.cause.code()).flag(t.saved)
        }
    }

    internal fun readWorkerReport(b: Buffer): HeartbeatStatus {
        val machine = b.readName()
        val address = b.readText().orEmpty()
        val type = b.readText().orEmpty()
        val zone = b.readText().orEmpty()
        val spot = b.readFlag()
        val session = b.readLong()
        val seq = b.readLong()
        val token = b.readLong()
        val hasNotice = b.readFlag()
        val notice = Double.fromBits(b.readLong()).takeIf { hasNotice }
        return HeartbeatStatus(machine, address, type, zone, spot, session, seq, token, notice, b.readList { task(b) })
    }

    private fun task(b: Buffer): TaskStatus {
        val job = b.readName()
        val task = b.readInt()
        val attempt = b.readLong()
        // An entry that can't be read must not be taken for an absent one: absence is proof that a task is gone.
        val stage =
            TaskStage.entries.ofCode(b.readByte().toInt())
                ?: throw MalformedMessageException("peer: a task without a stage")
        return TaskStatus(job, task, attempt, stage, ExitCause.entries.ofCode(b.readByte().toInt()), b.readFlag())
    }
}

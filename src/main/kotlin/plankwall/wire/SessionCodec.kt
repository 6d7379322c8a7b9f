package plankwall.wire

import okio.Buffer

/** The part of a status frame that tells of sessions, and the frames that carry reports and answers of many workers. */
internal object SessionCodec {
    private const val WHOLE = 1
    private const val UNCHANGED = 2
    private const val MAX_CAPACITY = 1_000_000

    fun write(b: Buffer, s: SessionUpdate) {
        b.writeInt(s.capacity).flag(s.plan != null)
        s.plan?.let { plan ->
            b.writeLong(plan.epoch).writeInt(plan.zones.size)
            plan.zones.forEach { (zone, shares) ->
                b.name(zone).writeInt(shares.size)
                shares.forEach { b.name(it.node).writeInt(it.weight) }
            }
        }
    }

    fun read(b: Buffer): SessionUpdate {
        val capacity = b.readInt()
        if (capacity !in 0..MAX_CAPACITY) throw MalformedMessageException("peer: room for $capacity sessions")
        return SessionUpdate(capacity, if (b.readFlag()) readPlan(b) else null)
    }

    private fun readPlan(b: Buffer): SessionPlan {
        val epoch = b.readLong()
        val zones = b.readList { b.readName() to b.readList { readShare(b) } }
        return SessionPlan(epoch, zones.toMap())
    }

    private fun readShare(b: Buffer): SessionShare {
        val share = SessionShare(b.readName(), b.readInt())
        if (share.weight < 1) throw MalformedMessageException("peer: a share of ${share.weight}")
        return share
    }

    fun write(b: Buffer, batch: HeartbeatBatch): ByteArray {
        b.name(batch.from).writeLong(batch.epoch).writeLong(batch.echo).writeInt(batch.reports.size)
        batch.reports.forEach { report(b, it) }
        return b.readByteArray()
    }

    private fun report(b: Buffer, r: BatchedHeartbeat) {
        b.writeByte(if (r is FullHeartbeat) WHOLE else UNCHANGED).writeLong(r.id).text(r.address)
        when (r) {
            is FullHeartbeat -> RelayCodec.report(b, r.report)
            is UnchangedHeartbeat -> b.name(r.machine).writeLong(r.baseId).writeLong(r.seq).writeLong(r.token)
        }
    }

    fun readReports(b: Buffer): HeartbeatBatch = HeartbeatBatch(
        b.readName(),
        b.readLong(),
        b.readLong(),
        b.readList {
            readReport(b)
        },
    )

    private fun readReport(b: Buffer): BatchedHeartbeat {
        val kind = b.readByte().toInt()
        val id = b.readLong()
        val address = b.readText().orEmpty()
        return when (kind) {
            WHOLE -> FullHeartbeat(id, address, RelayCodec.readWorkerReport(b))
            UNCHANGED -> UnchangedHeartbeat(id, address, b.readName(), b.readLong(), b.readLong(), b.readLong())
            else -> throw MalformedMessageException("peer: unknown kind of report")
        }
    }

    fun write(b: Buffer, batch: AnswerBatch): ByteArray {
        b.name(batch.from).writeLong(batch.epoch).writeInt(batch.answers.size)
        batch.answers.forEach { b.writeLong(it.id).writeInt(it.status).writeInt(it.body.size).write(it.body) }
        return b.readByteArray()
    }

    fun readAnswers(b: Buffer): AnswerBatch = AnswerBatch(b.readName(), b.readLong(), b.readList { readAnswer(b) })

    private fun readAnswer(b: Buffer): BatchedAnswer {
        val id = b.readLong()
        val status = b.readInt()
        val size = b.readInt()
        if (size !in 0..PeerCodec.MAX_FRAME) throw MalformedMessageException("peer: answer of $size bytes")
        return BatchedAnswer(id, status, b.readByteArray(size.toLong()))
    }
}

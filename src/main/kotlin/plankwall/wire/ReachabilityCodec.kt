package plankwall.wire

import okio.Buffer

/** Codec of the section of a status frame that reports connectivity. Later versions may add fields at the end only. */
internal object ReachabilityCodec {
    /** Appends [report] to [buffer]. */
    fun write(buffer: Buffer, report: ReachabilityReport) {
        buffer.writeLong(report.seq).writeInt(report.echoes.size)
        report.echoes.forEach { (node, seq) -> buffer.writeName(node).writeLong(seq) }
        buffer.writeInt(report.storeAgesMs.size)
        report.storeAgesMs.forEach { buffer.writeInt(it) }
        buffer.writeInt(report.cloudAgeMs).writeInt(report.recentWorkerCount).writeInt(report.zones.size)
        report.zones.forEach { buffer.writeName(it.zone).writeInt(it.known).writeInt(it.late) }
        writeLeader(buffer, report.leader)
        buffer.writeText(report.successor)
    }

    private fun writeLeader(buffer: Buffer, leader: LeaderSighting?) {
        buffer.writeText(leader?.node).writeLong(leader?.epoch ?: 0L).writeInt(leader?.ageMs ?: -1)
    }

    /** Reads what [write] writes. Arguments are evaluated in their order here, which has to be that of the fields. */
    fun read(buffer: Buffer): ReachabilityReport = ReachabilityReport(
        seq = buffer.readLong(),
        echoes = buffer.readList { buffer.readName() to buffer.readLong() }.toMap(),
        storeAgesMs = buffer.readList { buffer.readInt() },
        cloudAgeMs = buffer.readInt(),
        recentWorkerCount = buffer.readInt(),
        zones = buffer.readList { ZoneReach(buffer.readName(), buffer.readInt(), buffer.readInt()) },
        leader = readLeader(buffer),
        successor = buffer.readText(),
    )

    private fun readLeader(buffer: Buffer): LeaderSighting? {
        val node = buffer.readText()
        val epoch = buffer.readLong()
        val ageMs = buffer.readInt()
        return node?.let { LeaderSighting(it, epoch, ageMs) }
    }
}

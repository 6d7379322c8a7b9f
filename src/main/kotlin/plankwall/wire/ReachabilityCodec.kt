package plankwall.wire

import okio.Buffer

/** The part of a status frame that reports connectivity. A later version adds to its end. */
internal object ReachabilityCodec {
    fun write(buffer: Buffer, report: ReachabilityReport) {
        buffer.writeLong(report.seq).writeInt(report.echoes.size)
        report.echoes.forEach { (node, seq) -> buffer.name(node).writeLong(seq) }
        buffer.writeInt(report.storeAgesMs.size)
        report.storeAgesMs.forEach { buffer.writeInt(it) }
        buffer.writeInt(report.cloudAgeMs).writeInt(report.recentWorkers).writeInt(report.zones.size)
        report.zones.forEach { buffer.name(it.zone).writeInt(it.known).writeInt(it.late) }
        writeLeader(buffer, report.leader)
        buffer.text(report.successor)
    }

    private fun writeLeader(buffer: Buffer, leader: LeaderSighting?) {
        buffer.text(leader?.node).writeLong(leader?.epoch ?: 0L).writeInt(leader?.ageMs ?: -1)
    }

    // Arguments are evaluated in the order of the frame's fields.
    fun read(buffer: Buffer): ReachabilityReport = ReachabilityReport(
        seq = buffer.readLong(),
        echoes = buffer.readList { buffer.readName() to buffer.readLong() }.toMap(),
        storeAgesMs = buffer.readList { buffer.readInt() },
        cloudAgeMs = buffer.readInt(),
        recentWorkers = buffer.readInt(),
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

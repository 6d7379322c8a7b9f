package plankwall.wire

import okio.Buffer

/** The part of a status frame that tells of links. A later version adds to its end. */
internal object ReachabilityCodec {
    fun write(b: Buffer, l: ReachabilityReport) {
        b.writeLong(l.seq).writeInt(l.echoes.size)
        l.echoes.forEach { (node, seq) -> b.name(node).writeLong(seq) }
        b.writeInt(l.storeAgesMs.size)
        l.storeAgesMs.forEach { b.writeInt(it) }
        b.writeInt(l.cloudAgeMs).writeInt(l.recentWorkers).writeInt(l.zones.size)
        l.zones.forEach { b.name(it.zone).writeInt(it.known).writeInt(it.late) }
        b.text(l.leader?.node).writeLong(l.leader?.epoch ?: 0L).writeInt(l.leader?.ageMs ?: -1)
        b.text(l.successor)
    }

    fun read(b: Buffer): ReachabilityReport {
        val seq = b.readLong()
        val echoes = b.readList { b.readName() to b.readLong() }.toMap()
        val ages = b.readList { b.readInt() }
        val cloudAge = b.readInt()
        val recentWorkers = b.readInt()
        val zones = b.readList { ZoneReach(b.readName(), b.readInt(), b.readInt()) }
        val leader = b.readText()
        val epoch = b.readLong()
        val age = b.readInt()
        return ReachabilityReport(
            seq,
            echoes,
            ages,
            cloudAge,
            recentWorkers,
            zones,
            leader?.let {
                LeaderSighting(it, epoch, age)
            },
            b.readText(),
        )
    }
}

package plankwall.wire

import okio.Buffer

/** The part of a status frame that tells of withdrawn jobs. A later version adds to its end. */
internal object CancellationCodec {
    fun write(b: Buffer, w: CancellationUpdate) {
        b.writeLong(w.first).writeInt(w.jobs.size)
        w.jobs.forEach { b.name(it) }
        b.writeLong(w.readAgeMs).writeLong(w.upMs)
    }

    /** A list that can't be read whole is no list: the frame is dropped, and its sender vouches for nothing by it. */
    fun read(b: Buffer): CancellationUpdate {
        val first = b.readLong()
        val jobs = b.readList {
            b.readName().also { if (!JobCodec.isJobId(it)) throw MalformedMessageException("peer: no job's id") }
        }
        val news = CancellationUpdate(first, jobs, b.readLong(), b.readLong())
        if (first < 1 ||
            news.upMs < 0
        ) {
            throw MalformedMessageException("peer: a list of withdrawn jobs that begins nowhere")
        }
        return news
    }
}

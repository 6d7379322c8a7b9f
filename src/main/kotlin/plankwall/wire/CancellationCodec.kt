package plankwall.wire

import okio.Buffer

/** The part of a status frame that lists cancelled jobs. A later version adds to its end. */
internal object CancellationCodec {
    fun write(buffer: Buffer, update: CancellationUpdate) {
        buffer.writeLong(update.first).writeInt(update.jobs.size)
        update.jobs.forEach { buffer.name(it) }
        buffer.writeLong(update.readAgeMs).writeLong(update.upMs)
    }

    /**
     * Throws [MalformedMessageException] for a list that can't be read whole: the frame is dropped then, and its sender
     * confirms nothing by it.
     */
    fun read(buffer: Buffer): CancellationUpdate {
        val first = buffer.readLong()
        val jobs = buffer.readList { readJobId(buffer) }
        val update = CancellationUpdate(first, jobs, buffer.readLong(), buffer.readLong())
        if (first < 1 || update.upMs < 0) {
            throw MalformedMessageException("peer", "a list of withdrawn jobs that begins nowhere")
        }
        return update
    }

    private fun readJobId(buffer: Buffer): String {
        val id = buffer.readName()
        if (!JobCodec.isJobId(id)) throw MalformedMessageException("peer", "no job's id")
        return id
    }
}

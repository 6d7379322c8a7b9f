package plankwall.wire

import okio.Buffer

/** Codec of the section of a status frame that lists cancelled jobs. Later versions may add fields at the end only. */
internal object CancellationCodec {
    /** Appends [update] to [buffer]. */
    fun write(buffer: Buffer, update: CancellationUpdate) {
        buffer.writeLong(update.first).writeInt(update.jobs.size)
        update.jobs.forEach { buffer.writeName(it) }
        buffer.writeLong(update.readAgeMs).writeLong(update.upMs)
    }

    /**
     * Reads what [write] writes. Throws [MalformedMessageException] for a list that can't be read completely: the whole
     * frame is then dropped, so the receiver does not take it as the sender's confirmation of its cancellations.
     */
    fun read(buffer: Buffer): CancellationUpdate {
        val first = buffer.readLong()
        val jobs = buffer.readList { readJobId(buffer) }
        val update = CancellationUpdate(first, jobs, buffer.readLong(), buffer.readLong())
        if (first < 1 || update.upMs < 0) {
            throw MalformedMessageException("peer", "list of cancelled jobs with an invalid first number or uptime")
        }
        return update
    }

    private fun readJobId(buffer: Buffer): String {
        val id = buffer.readName()
        if (!JobCodec.isJobId(id)) throw MalformedMessageException("peer", "not a job id")
        return id
    }
}

package plankwall.core.state

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.model.JobStage
import plankwall.model.factsFor
import plankwall.wire.FinalRecord
import plankwall.wire.Guard
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.PageRecord
import plankwall.wire.StateCodec
import plankwall.wire.StateResult
import plankwall.wire.StoredPlacement
import plankwall.wire.Write
import java.util.BitSet

/** Brings the book's copy in the state service up to date: pages of tasks, and how jobs ended. */
class StateWriter(
    private val ctx: Context,
    private val store: LeaderStore,
    private val learned: (id: String, record: JobRecord, version: Long) -> Unit,
    private val over: (job: Job, stage: JobStage, endedMs: Long) -> Unit,
) {
    private val log = LoggerFactory.getLogger("jobs")
    private val limits = store.limits
    private val dirty = LinkedHashSet<Job>()

    fun markDirty(job: Job) {
        if (dirty.add(job)) job.dirtySince = ctx.now
    }

    fun forget(job: Job) {
        dirty.remove(job)
    }

    /**
     * Writes what the store does not have yet, as far as its rate allows: first what somebody waits for. That a task
     * is gone or done can wait a moment, and comes with others of its page then; so can the end of a job that is
     * withdrawn through another, which every node can tell without it.
     */
    fun flush() {
        var room = store.availableWrites()
        if (room <= 0 || dirty.isEmpty()) return
        val batch = Batch()
        val (first, rest) = dirty.partition { it.urgent || (endable(it) && !it.cancelledByDependency) }
        for (job in first + rest) {
            if (room <= 0) break
            if (job.version == 0L || job.finishing) continue
            if (endable(job)) {
                room -= finish(job)
                continue
            }
            if (!job.urgent && room < store.scarceWrites && ctx.now < job.dirtySince + COALESCE_S) continue
            for (page in job.pages.values.filter { it.dirty && !it.inFlight }) {
                if (page.reread) {
                    reread(job, page)
                    continue
                }
                if (room <= 0) break
                room -= write(job, page, batch)
            }
            if (job.pages.values.none { it.dirty }) {
                dirty.remove(job)
                job.urgent = false
            }
        }
        batch.send()
    }

    private fun endable(job: Job): Boolean =
        (job.complete || job.cancelled) && job.placements.isEmpty() && job.pages.values.none { it.inFlight }

    /** Puts [page] into [batch], or divides it if it outgrew a stored value. The number of changes that takes. */
    private fun write(job: Job, page: TaskPage, batch: Batch): Int {
        val content = contentOf(job, page)
        val bytes = content.roughBytes(job)
        if (bytes > limits.wholeBytes * NEAR_FULL || page.refusedBytes > 0) {
            val exact = StateCodec.sizeOf(content.record)
            if (exact > limits.wholeBytes &&
                limits.mayDivide &&
                page.partSize == 0 &&
                page.tasks > limits.pageTasks
            ) {
                return divide(job, page)
            }
            // Refused as it is, so it is not sent again before it has changed.
            if (page.refusedBytes == exact) return 0
        }
        if (page.alone) batch.send()
        batch.add(content, bytes)
        if (page.alone || batch.full) batch.send()
        return 1
    }

    private class Content(
        val job: Job,
        val page: TaskPage,
        val placements: List<Placement>,
        val done: BitSet,
        partSize: Int,
    ) {
        val record =
            PageRecord(
                done,
                placements.map {
                    StoredPlacement(it.task, it.attempt, it.machine.id, it.session)
                },
                partSize,
            )
        val key: String get() = Keys.page(job.spec.id, page.number)

        fun roughBytes(job: Job): Int =
            120 + placements.size * 60 + 14 * minOf(done.cardinality(), job.pageSize / 2 + 1)
    }

    private fun contentOf(
        job: Job,
        page: TaskPage,
        from: Int = page.from,
        to: Int = page.to,
        partSize: Int = page.partSize,
    ): Content {
        val placements = job.placements.values.filter { it.task in from until to }
        return Content(job, page, placements, job.done.get(0, to).also { it.clear(0, from) }, partSize)
    }

    /** Pages of several jobs written at once: one call instead of many. */
    private inner class Batch {
        private var contents = ArrayList<Content>()
        private var bytes = 0

        val full: Boolean get() = contents.size >= minOf(limits.txnOps, MAX_PAGES) || bytes > MAX_BYTES

        fun add(content: Content, roughBytes: Int) {
            contents.add(content)
            bytes += roughBytes
            content.page.dirty = false
            content.page.inFlight = true
        }

        fun send() {
            if (contents.isEmpty()) return
            val batch = contents
            contents = ArrayList()
            bytes = 0
            write(batch) { result ->
                // One that is too large must not hold up the others: each is tried alone.
                if (result == StateResult.Rejected) batch.forEach { it.page.refused(it, alone = batch.size > 1) }
                batch.forEach { written(it, result) }
            }
        }
    }

    private fun TaskPage.refused(content: Content, alone: Boolean) {
        this.alone = alone
        if (!alone) refusedBytes = StateCodec.sizeOf(content.record)
    }

    /**
     * Each page is guarded on its own version and its job's: no write follows a withdrawal, and none is applied twice.
     */
    private fun write(contents: List<Content>, then: (StateResult) -> Unit) {
        val jobs = contents.map { it.job }.distinct().map { Guard(Keys.job(it.spec.id), it.version) }
        val pages = contents.map { Guard(it.key, it.page.version) }
        store.write(jobs + pages, contents.map { Write.Put(it.key, it.record) }, then)
    }

    private fun written(c: Content, result: StateResult) {
        c.page.inFlight = false
        when (result) {
            is StateResult.Committed -> {
                c.page.version = result.revision
                c.page.alone = false
                c.placements.forEach {
                    if (!it.stored) {
                        it.stored = true
                        it.machine.unsent = true
                        log.info("placed {} on {} (stored at {})", it.id, it.machine.id, result.revision)
                    }
                }
                c.job.storedDone.or(c.done)
            }
            is StateResult.Conflict -> {
                c.page.dirty = true
                if (c.key in result.failed) c.page.reread = true
                if (Keys.job(c.job.spec.id) in result.failed) rereadJob(c.job)
            }
            else -> {
                // It may still be applied, much later: the page's version as guard lets only one of the two through.
                c.page.dirty = true
            }
        }
        if (c.page.dirty) markDirty(c.job)
    }

    /**
     * Divides a page that no longer fits a stored value among several keys. The page itself comes last and says so:
     * until then the parts count for nothing, whoever leads, and the page stands as it was. What changed meanwhile is
     * written afterwards, so nothing is taken for stored by this alone.
     */
    private fun divide(job: Job, page: TaskPage): Int {
        val size = limits.pageTasks
        val parts = (1..(page.tasks - 1) / size).map { n ->
            job.pages.getOrPut(Keys.part(page.number, n)) { TaskPage(Keys.part(page.number, n)) }
                .apply { cover(page.from + n * size, minOf(page.from + (n + 1) * size, page.to)) }
        }
        log.info(
            "page {} of job {} outgrew a stored value: divided into {} of {} tasks",
            page.number,
            job.spec.id,
            parts.size + 1,
            size,
        )
        page.inFlight = true
        divide(job, page, size, ArrayDeque(parts))
        return parts.size + 1
    }

    private fun divide(job: Job, page: TaskPage, size: Int, left: ArrayDeque<TaskPage>) {
        val most = minOf(limits.txnOps, maxOf(1, MAX_BYTES / limits.valueBytes))
        val some = generateSequence { left.removeFirstOrNull() }.take(most).toList()
        val last = left.isEmpty() && some.size < most
        val contents = some.map { contentOf(job, it) } +
            if (last) listOf(contentOf(job, page, page.from, page.from + size, size)) else emptyList()
        contents.forEach { it.page.inFlight = true }
        write(contents) { result ->
            contents.forEach { it.page.inFlight = false }
            page.inFlight = true
            when {
                result !is StateResult.Committed -> undivided(job, page, some, result)
                else -> {
                    contents.forEach { it.page.version = result.revision }
                    if (last) divided(job, page, size) else divide(job, page, size, left)
                }
            }
        }
    }

    private fun divided(job: Job, page: TaskPage, size: Int) {
        page.inFlight = false
        page.partSize = size
        page.cover(page.from, page.from + size)
        job.pages.values.filter { Keys.wholeOf(it.number) == page.number }.forEach { it.dirty = true }
        markDirty(job)
    }

    /** Which of the parts stand now may be unknown: their versions are read before the next try. */
    private fun undivided(job: Job, page: TaskPage, parts: List<TaskPage>, result: StateResult) {
        page.inFlight = false
        page.dirty = true
        if (result is StateResult.Conflict && Keys.job(job.spec.id) in result.failed) rereadJob(job)
        (parts + page).filter {
            result !is StateResult.Refused && result != StateResult.Rejected
        }.forEach { reread(job, it) }
        markDirty(job)
    }

    private fun reread(job: Job, page: TaskPage) {
        page.inFlight = true
        store.read(Keys.page(job.spec.id, page.number)) { result ->
            page.inFlight = false
            if (result is StateResult.Item) {
                page.version = result.item?.version ?: 0L
                page.reread = false
            } else {
                page.reread = true
            }
        }
    }

    private fun rereadJob(job: Job) = store.read(Keys.job(job.spec.id)) { result ->
        if (result !is StateResult.Item) return@read
        val item = result.item
        val record = item?.value as? JobRecord
        if (item != null && record != null) {
            learned(job.spec.id, record, item.version)
        } // Only our own finishing removes a record: an unanswered try went through.
        else if (job.placements.isEmpty() && !job.finishing) {
            readEnd(job)
        }
    }

    /** Moves a job that is over to its final record, in one transaction; leftover pages of huge jobs follow. */
    private fun finish(job: Job): Int {
        val stage = if (job.complete && !job.cancelled) JobStage.DONE else JobStage.CANCELLED
        val id = job.spec.id
        val endedMs = ctx.time.wallMs
        val stored = job.pages.values.filter { it.version > 0 }
        val now = stored.take(limits.txnOps - 2)
        val writes = ArrayList<Write>()
        writes.add(
            Write.Put(
                Keys.final(id),
                FinalRecord(
                    stage,
                    job.doneCount,
                    endedMs,
                    job.owner?.let {
                        job.spec.factsFor(it)
                    },
                ),
            ),
        )
        writes.add(Write.Remove(Keys.job(id)))
        now.forEach { writes.add(Write.Remove(Keys.page(id, it.number))) }
        job.finishing = true
        store.write(listOf(Guard(Keys.job(id), job.version)), writes) { result ->
            job.finishing = false
            when (result) {
                is StateResult.Committed -> {
                    over(job, stage, endedMs)
                    removeLeftovers(stored.drop(now.size).map { Keys.page(id, it.number) })
                }
                is StateResult.Conflict -> rereadJob(job)
                else -> Unit
            }
        }
        return writes.size
    }

    /** How it ended is what the final record says: others may start or be withdrawn by it. */
    private fun readEnd(job: Job) = store.read(Keys.final(job.spec.id)) { result ->
        val end = (result as? StateResult.Item)?.item?.value as? FinalRecord ?: return@read
        over(job, end.stage, end.endedMs)
        removeLeftovers(job.pages.values.filter { it.version > 0 }.map { Keys.page(job.spec.id, it.number) })
    }

    /** Removes pages that no job needs any more, in steps. */
    fun removeLeftovers(keys: List<String>) {
        if (keys.isEmpty()) return
        val now = keys.take(limits.txnOps)
        store.write(emptyList(), now.map { Write.Remove(it) }) { result ->
            if (result is StateResult.Committed) {
                removeLeftovers(
                    keys.drop(now.size),
                )
            } else {
                log.debug("leftovers kept: {}", now.size)
            }
        }
    }

    private companion object {
        const val COALESCE_S = 1.0
        const val MAX_PAGES = 12
        const val MAX_BYTES = 40_000
        const val NEAR_FULL = 0.5
    }
}

package plankwall.core.state

import plankwall.core.store.LeaderStore

/** Collects pages of several jobs and writes them in one transaction: one call instead of many. */
internal class PageBatch(private val store: LeaderStore, private val results: PageWriteResults) {
    private var snapshots = ArrayList<PageSnapshot>()
    private var bytes = 0

    private val isFull: Boolean
        get() = snapshots.size >= minOf(store.limits.txnOps, MAX_PAGES) || bytes > MAX_TRANSACTION_BYTES

    /** Adds [snapshot], and sends what there is once that is enough; a page that was rejected goes alone. */
    fun add(snapshot: PageSnapshot) {
        val page = snapshot.page
        if (page.alone) send()
        snapshots.add(snapshot)
        bytes += snapshot.estimatedBytes
        page.dirty = false
        page.inFlight = true
        if (page.alone || isFull) send()
    }

    /** Sends what was added and not sent yet. */
    fun send() {
        if (snapshots.isEmpty()) return
        val sent = snapshots
        snapshots = ArrayList()
        bytes = 0
        store.writePages(sent) { results.onResult(sent, it) }
    }

    companion object {
        /** What one transaction carries at most, as estimated. */
        const val MAX_TRANSACTION_BYTES = 40_000
        private const val MAX_PAGES = 12
    }
}

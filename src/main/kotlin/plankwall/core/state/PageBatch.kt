package plankwall.core.state

import plankwall.core.store.LeaderStore

/** Collects pages of several jobs and writes them in one transaction, which takes one call instead of many. */
internal class PageBatch(private val store: LeaderStore, private val results: PageWriteResults) {
    private var snapshots = ArrayList<PageSnapshot>()
    private var estimatedBytes = 0

    private val isFull: Boolean
        get() = snapshots.size >= minOf(store.limits.txnOps, MAX_PAGES) || estimatedBytes > MAX_TRANSACTION_BYTES

    /** Adds [snapshot], and sends the batch if it is full. A page that was rejected along with others is sent alone. */
    fun add(snapshot: PageSnapshot) {
        val page = snapshot.page
        if (page.writeAlone) send()
        snapshots.add(snapshot)
        estimatedBytes += snapshot.estimatedBytes
        page.dirty = false
        page.inFlight = true
        if (page.writeAlone || isFull) send()
    }

    /** Sends the snapshots that were added and not sent yet. */
    fun send() {
        if (snapshots.isEmpty()) return
        val sent = snapshots
        snapshots = ArrayList()
        estimatedBytes = 0
        store.writePages(sent) { results.onResult(sent, it) }
    }

    companion object {
        /** The estimated size in bytes above which a transaction takes no further page. */
        const val MAX_TRANSACTION_BYTES = 40_000
        private const val MAX_PAGES = 12
    }
}

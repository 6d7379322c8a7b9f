package plankwall.core

import org.slf4j.LoggerFactory
import plankwall.core.autoscaling.Autoscaler
import plankwall.core.state.Fleet
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.core.store.VersionUpgrade
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.PageRecord
import plankwall.wire.StateItem
import plankwall.wire.StateResult
import plankwall.wire.Stored

/**
 * Loads all stored state after this node's election, and then follows the job records as users submit and cancel jobs.
 * Owns nothing but [isLoaded].
 */
internal class StateLoader(
    private val ctx: Context,
    private val store: LeaderStore,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
    private val autoscaler: Autoscaler,
    private val upgrade: VersionUpgrade,
) {
    private val log = LoggerFactory.getLogger("leadership")

    /** Whether everything that was stored at the election has been read. */
    var isLoaded = false
        private set

    /** Starts to read the stored state: first the fleet and the version level, then the jobs and their pages. */
    fun load() {
        store.readAll(Keys.FLEET) { items, _ ->
            autoscaler.restore(items)
            store.readAll(Keys.LEVEL) { levels, _ ->
                upgrade.restore(levels)
                loadJobs()
            }
        }
    }

    private fun loadJobs() = store.readAll(Keys.JOBS) { jobs, revision ->
        jobs.forEach(::onItem)
        store.readAll(Keys.PAGES) { pages, _ -> loadPages(pages, revision) }
    }

    private fun loadPages(pages: List<StateItem>, revision: Long) {
        val leftoverKeys = pages.filterNot { restorePage(it) }.map { it.key }
        schedulerState.finishRestore()
        isLoaded = true
        log.info(
            "state loaded epoch={} jobs={} machines={}",
            store.epoch,
            schedulerState.liveJobs.size,
            fleet.machines.size,
        )
        schedulerState.removeLeftovers(leftoverKeys)
        watchJobs(revision)
    }

    /**
     * Restores the page [item]. Returns false if the page is left over from a job that has ended: no live job has its
     * id, and it holds no placements.
     */
    private fun restorePage(item: StateItem): Boolean {
        val record = item.value as? PageRecord ?: return true
        val job = schedulerState.find(Keys.jobId(item.key)) ?: return record.placements.isNotEmpty()
        schedulerState.restorePage(job, item, record)
        return true
    }

    /** Follows the changes of job records after the revision [afterRevision]. */
    private fun watchJobs(afterRevision: Long) {
        store.watch(Keys.JOBS, afterRevision, MAX_WATCH_MS) { result ->
            when (result) {
                is StateResult.News -> {
                    result.events.forEach { onRecord(it.key, it.value, it.version) }
                    watchJobs(maxOf(afterRevision, result.revision))
                }
                StateResult.TooOld -> store.readAll(Keys.JOBS) { jobs, revision ->
                    jobs.forEach(::onItem)
                    watchJobs(revision)
                }
                else -> ctx.runAfter(WATCH_RETRY_S) { if (store.isTermActive) watchJobs(afterRevision) }
            }
        }
    }

    private fun onItem(item: StateItem) = onRecord(item.key, item.value, item.version)

    private fun onRecord(key: String, value: Stored?, version: Long) {
        if (value is JobRecord) schedulerState.onJobRecord(Keys.jobId(key), value, version)
    }

    private companion object {
        const val MAX_WATCH_MS = 8_000L
        const val WATCH_RETRY_S = 0.3
    }
}

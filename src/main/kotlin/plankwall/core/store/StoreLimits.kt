package plankwall.core.store

import plankwall.model.Settings

/**
 * The limits on the size of one write. The smaller of the limits in force and the announced ones applies from the first
 * write on: the change comes without notice, and must not find a write in flight that is too large. A rejected write
 * lowers the limits further. None of this is stored.
 */
class StoreLimits(private val settings: Settings) {
    /** The maximum number of changes in one transaction. */
    var txnOps = settings.strictestStateLimits.txnOps
        private set

    /** The maximum size of a value, in bytes. */
    var valueBytes = toBytes(settings.strictestStateLimits.valueKb)
        private set

    /**
     * Whether a value may be split among several keys, which the first version does not read. Set only once no process
     * of that version can lead any more, since it would go on with a part of the value: see [VersionUpgrade].
     */
    var maySplitValues = false

    /**
     * The maximum size of the value of one key, in bytes. While values can't be split, only the limit in force applies
     * to it, not the announced one.
     */
    val maxBytesPerKey: Int get() = if (maySplitValues) valueBytes else toBytes(settings.state.valueKb)

    /** The number of tasks that a page, or a part of one, may hold so that it surely fits into a value. */
    val maxTasksPerPage: Int get() = pageSize(valueBytes / 1024.0)

    /**
     * Adapts the limits to the rejection of a write of [changeCount] changes whose largest value takes [largestBytes].
     * A write beyond the announced limits shows that these are in force, which they are only after the upgrade. A write
     * within them shows that the limits are even lower than announced.
     */
    fun onRejected(changeCount: Int, largestBytes: Int) {
        val exceedsAnnounced = changeCount > txnOps || largestBytes > valueBytes
        maySplitValues = true
        if (exceedsAnnounced) return
        if (largestBytes > MIN_VALUE_BYTES) valueBytes = maxOf(MIN_VALUE_BYTES, minOf(valueBytes, largestBytes) / 2)
        if (changeCount > MIN_TXN_OPS) txnOps = maxOf(MIN_TXN_OPS, minOf(txnOps, changeCount) / 2)
    }

    private fun toBytes(kb: Double) = (kb * 1024).toInt()

    companion object {
        private const val MIN_VALUE_BYTES = 1024
        private const val MIN_TXN_OPS = 4

        /** The size of a page without its tasks, in bytes. */
        private const val PAGE_OVERHEAD_BYTES = 256

        /** The size of one task in a page, in bytes. */
        private const val TASK_BYTES = 64
        private const val MIN_PAGE_TASKS = 8
        private const val MAX_PAGE_TASKS = 256

        /** Returns how many tasks may share a page so that the page surely fits into a value of [valueKb] KiB. */
        fun pageSize(valueKb: Double): Int =
            ((valueKb * 1024 - PAGE_OVERHEAD_BYTES) / TASK_BYTES).toInt().coerceIn(MIN_PAGE_TASKS, MAX_PAGE_TASKS)
    }
}

package plankwall.core.store

import plankwall.model.Settings

/**
 * How much one write may hold. The smaller of the limits in force and of those announced applies from the first write,
 * so that the change, which comes without notice, finds nothing too large under way. A rejected write lowers the limits
 * further. Nothing of this is stored.
 */
class StoreLimits(private val settings: Settings) {
    /** The most changes of one transaction. */
    var txnOps = settings.stateTight.txnOps
        private set

    /** The largest value, in bytes. */
    var valueBytes = bytes(settings.stateTight.valueKb)
        private set

    /**
     * Whether values may be split among keys that the first version does not read. Only once no process of that version
     * can lead any more, or it would continue with a part: see [VersionUpgrade].
     */
    var mayDivide = false

    /** The largest value of one key, in bytes. Until values may be split, only the limit in force can bound it. */
    val wholeBytes: Int get() = if (mayDivide) valueBytes else bytes(settings.state.valueKb)

    /** How many tasks a page, or a part of one, may hold so that it surely fits. */
    val pageTasks: Int get() = pageSize(valueBytes / 1024.0)

    /**
     * The store rejected a write of [ops] changes whose largest value has [largestBytes]. Beyond the announced limits
     * that shows that they are in force, which they are only after the upgrade; within them, that the limits are lower
     * than announced.
     */
    fun onRejected(ops: Int, largestBytes: Int) {
        val exceedsAnnounced = ops > txnOps || largestBytes > valueBytes
        mayDivide = true
        if (exceedsAnnounced) return
        if (largestBytes > LEAST_BYTES) valueBytes = maxOf(LEAST_BYTES, minOf(valueBytes, largestBytes) / 2)
        if (ops > LEAST_OPS) txnOps = maxOf(LEAST_OPS, minOf(txnOps, ops) / 2)
    }

    private fun bytes(kb: Double) = (kb * 1024).toInt()

    companion object {
        private const val LEAST_BYTES = 1024
        private const val LEAST_OPS = 4

        /** What a page takes beside its tasks, and what a task takes in it, both in bytes. */
        private const val PAGE_OVERHEAD_BYTES = 256
        private const val TASK_BYTES = 64
        private const val MIN_PAGE_TASKS = 8
        private const val MAX_PAGE_TASKS = 256

        /** How many tasks share a page so that the page surely fits a value. */
        fun pageSize(valueKb: Double): Int =
            ((valueKb * 1024 - PAGE_OVERHEAD_BYTES) / TASK_BYTES).toInt().coerceIn(MIN_PAGE_TASKS, MAX_PAGE_TASKS)
    }
}

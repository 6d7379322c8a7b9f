package plankwall.core.store

import plankwall.model.Settings

/**
 * How much one write may hold. The smaller of the limits that hold now and of those announced is kept to from the first
 * write, so that the change, which comes without notice, finds nothing too large under way. A refusal teaches more.
 */
class StoreLimits(private val settings: Settings) {
    var txnOps = settings.stateTight.txnOps
        private set
    var valueBytes = bytes(settings.stateTight.valueKb)
        private set

    /**
     * Whether values may be divided among keys that the first version does not read. Only when no process of it can
     * lead any more, or it would go on with a part: see [VersionUpgrade].
     */
    var mayDivide = false

    /** What a value under one key may take. Until values may be divided, only the limit that holds now can bound it. */
    val wholeBytes: Int get() = if (mayDivide) valueBytes else bytes(settings.state.valueKb)

    /** How many tasks a page, or a part of one, holds so that it surely fits. */
    val pageTasks: Int get() = pageSize(valueBytes / 1024.0)

    /**
     * The store will never take a write of [ops] changes whose largest value has [largest] bytes. Beyond the announced
     * limits that says that they are in force, which they are only after the upgrade; within them, that they are
     * smaller than anybody said.
     */
    fun rejected(ops: Int, largest: Int) {
        val known = ops > txnOps || largest > valueBytes
        mayDivide = true
        if (known) return
        if (largest > LEAST_BYTES) valueBytes = maxOf(LEAST_BYTES, minOf(valueBytes, largest) / 2)
        if (ops > LEAST_OPS) txnOps = maxOf(LEAST_OPS, minOf(txnOps, ops) / 2)
    }

    private fun bytes(kb: Double) = (kb * 1024).toInt()

    companion object {
        private const val LEAST_BYTES = 1024
        private const val LEAST_OPS = 4

        /** How many tasks share a page so that the page surely fits a value. */
        fun pageSize(valueKb: Double): Int = ((valueKb * 1024 - 256) / 64).toInt().coerceIn(8, 256)
    }
}

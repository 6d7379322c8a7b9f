package plankwall.core.store

import org.slf4j.LoggerFactory
import plankwall.core.election.Leadership
import plankwall.wire.Keys
import plankwall.wire.LevelRecord
import plankwall.wire.PeerCodec
import plankwall.wire.StateItem
import plankwall.wire.StateResult
import plankwall.wire.Write

/**
 * Whether a process of an older version may still lead. During a rolling upgrade either version may take over from the
 * other, so nothing is stored that the older one would read in part. Once every node has shown the level of this
 * version, that is stored for good: nodes are not downgraded, and a node that is down later need not show it again.
 *
 * Owns the key `level`, and sets [StoreLimits.mayDivide].
 */
class VersionUpgrade(private val leadership: Leadership, private val store: LeaderStore) {
    private val log = LoggerFactory.getLogger("upgrade")
    private var isStored = false
    private var isWriting = false

    /** Takes the stored level after the election. */
    fun restore(items: List<StateItem>) {
        val level = (items.firstOrNull { it.key == Keys.LEVEL }?.value as? LevelRecord)?.level ?: return
        isStored = level >= PeerCodec.LEVEL
        if (isStored) store.limits.mayDivide = true
    }

    /** Stores the level once every node has shown it. */
    fun tick() {
        if (isStored || isWriting || !leadership.allNodesCurrent || store.availableWrites() < 1) return
        isWriting = true
        store.write(emptyList(), listOf(Write.Put(Keys.LEVEL, LevelRecord(PeerCodec.LEVEL)))) { result ->
            isWriting = false
            if (result !is StateResult.Committed) return@write
            isStored = true
            store.limits.mayDivide = true
            log.info("upgrade complete level={}", PeerCodec.LEVEL)
        }
    }
}

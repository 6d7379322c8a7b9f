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
 * Tracks whether a process of an older version may still lead. During a rolling upgrade a node of either version may
 * take over from one of the other, so nothing may be stored that the older version would read only in part. Once every
 * node has shown the level of this version, that level is stored permanently: nodes are not downgraded, and a node that
 * is down later need not show it again.
 *
 * Owns the key `level`, and sets [StoreLimits.maySplitValues].
 */
class VersionUpgrade(private val leadership: Leadership, private val store: LeaderStore) {
    private val log = LoggerFactory.getLogger("upgrade")
    private var isLevelStored = false
    private var isWriting = false

    /** Restores the stored level from [items], which were read after the election. */
    fun restore(items: List<StateItem>) {
        val level = (items.firstOrNull { it.key == Keys.LEVEL }?.value as? LevelRecord)?.level ?: return
        isLevelStored = level >= PeerCodec.LEVEL
        if (isLevelStored) store.limits.maySplitValues = true
    }

    /** Stores the level of this version once every node has shown it. */
    fun tick() {
        if (isLevelStored || isWriting || !leadership.allNodesCurrent || store.availableWrites() < 1) return
        isWriting = true
        store.write(emptyList(), listOf(Write.Put(Keys.LEVEL, LevelRecord(PeerCodec.LEVEL)))) { result ->
            isWriting = false
            if (result !is StateResult.Committed) return@write
            isLevelStored = true
            store.limits.maySplitValues = true
            log.info("upgrade complete level={}", PeerCodec.LEVEL)
        }
    }
}

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
 * Whether a process of an older version may still lead. While nodes are replaced a few at a time either version takes
 * over from the other, so nothing is stored that the older one would read in part. Once every node has shown the level
 * of this version that is stored for good: nodes are not put back, and a node that is away later need not be heard
 * again.
 */
class VersionUpgrade(private val leadership: Leadership, private val store: LeaderStore) {
    private val log = LoggerFactory.getLogger("upgrade")
    private var stored = false
    private var writing = false

    fun restore(items: List<StateItem>) {
        val level = (items.firstOrNull { it.key == Keys.LEVEL }?.value as? LevelRecord)?.level ?: return
        stored = level >= PeerCodec.LEVEL
        if (stored) store.limits.mayDivide = true
    }

    fun tick() {
        if (stored || writing || !leadership.allNodesCurrent || store.availableWrites() < 1) return
        writing = true
        store.write(emptyList(), listOf(Write.Put(Keys.LEVEL, LevelRecord(PeerCodec.LEVEL)))) { result ->
            writing = false
            if (result !is StateResult.Committed) return@write
            stored = true
            store.limits.mayDivide = true
            log.info("every node has level {}: no older process can lead any more", PeerCodec.LEVEL)
        }
    }
}

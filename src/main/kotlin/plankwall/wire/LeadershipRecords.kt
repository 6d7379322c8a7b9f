package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser

/**
 * The current leader. The revision that wrote this key is the epoch: it is the fencing token for the workers, and every
 * write of the leader is guarded by it. [incarnation]: distinguishes the runs of the same node.
 */
data class LeaderRecord(val node: String, val incarnation: Long) : Stored

/**
 * The record format level that all nodes can read. It is written once every node has reported a [PeerStatus.level] of
 * at least this; from then on no older version can become the leader.
 */
data class LevelRecord(val level: Int) : Stored

/** Codec of the stored form of [LeaderRecord] and [LevelRecord]. */
internal object LeadershipRecordCodec {
    /** Writes [record] as one JSON object. */
    fun write(generator: JsonGenerator, record: LeaderRecord) = generator.writeJsonObject {
        writeStringField("node", record.node)
        writeNumberField("inc", record.incarnation)
    }

    /** Reads what [write] writes for a [LeaderRecord]. */
    fun readLeader(parser: JsonParser): LeaderRecord {
        var node = ""
        var incarnation = 0L
        parser.forEachField { name ->
            when (name) {
                "node" -> node = readString(name)
                "inc" -> incarnation = readWholeNumber(name)
            }
        }
        return LeaderRecord(node, incarnation)
    }

    /** Writes [record] as one JSON object. */
    fun write(generator: JsonGenerator, record: LevelRecord) = generator.writeJsonObject {
        writeNumberField("level", record.level)
    }

    /** Reads what [write] writes for a [LevelRecord]. */
    fun readLevel(parser: JsonParser): LevelRecord {
        var level = 0
        parser.forEachField { name -> if (name == "level") level = intValue }
        return LevelRecord(level)
    }
}

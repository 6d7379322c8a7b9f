package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser

/** Who leads. The revision of this key is the epoch: the workers' fencing token and the guard of every write. */
data class LeaderRecord(val node: String, val incarnation: Long) : Stored

/** The lowest [PeerStatus.level] of all nodes, once all have reported theirs: no older version can lead any more. */
data class LevelRecord(val level: Int) : Stored

/** The stored form of [LeaderRecord] and [LevelRecord]. */
internal object LeadershipRecordCodec {
    fun write(generator: JsonGenerator, record: LeaderRecord) = generator.obj {
        writeStringField("node", record.node)
        writeNumberField("inc", record.incarnation)
    }

    fun readLeader(parser: JsonParser): LeaderRecord {
        var node = ""
        var incarnation = 0L
        parser.fields { name ->
            when (name) {
                "node" -> node = text(name)
                "inc" -> incarnation = whole(name)
            }
        }
        return LeaderRecord(node, incarnation)
    }

    fun write(generator: JsonGenerator, record: LevelRecord) = generator.obj { writeNumberField("level", record.level) }

    fun readLevel(parser: JsonParser): LevelRecord {
        var level = 0
        parser.fields { name -> if (name == "level") level = intValue }
        return LevelRecord(level)
    }
}

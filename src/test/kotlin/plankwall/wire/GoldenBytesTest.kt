package plankwall.wire

import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import plankwall.audit.AuditLines
import plankwall.audit.Seals
import plankwall.fixtures.RecordJson
import plankwall.fuzz.Targets
import plankwall.identity.PeerFrameSigner
import plankwall.identity.PeerKey
import java.util.HexFormat

/**
 * Guards the formats that earlier builds have stored or sent. `resources/golden` holds their bytes: stored values under
 * their keys, frames between controllers, requests and answers of the protocols. Each value must be encoded to the same
 * bytes, and the bytes must be decoded to the same value. A deliberate change of a format adds a line; existing lines
 * are never changed.
 */
class GoldenBytesTest {
    @ParameterizedTest(name = "{0}")
    @MethodSource("storedRecords")
    fun `a stored record is encoded to its golden bytes and decoded from them`(name: String, golden: String) {
        val record = GoldenValues.records.getValue(name)
        assertEquals(golden, RecordJson.encode(record))
        val key = name.substringBefore(' ')
        assertEquals(record, RecordJson.decode(key, golden))
        assertEquals(golden, RecordJson.encode(RecordJson.decode(key, golden)!!))
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("peerFrames")
    fun `a frame between controllers is encoded to its golden bytes and decoded from them`(
        name: String,
        golden: String,
    ) {
        val message = GoldenValues.frames.getValue(name)
        val bytes = HexFormat.of().parseHex(golden)
        assertArrayEquals(bytes, PeerCodec.write(message), HexFormat.of().formatHex(PeerCodec.write(message)))
        assertEquals(message, PeerCodec.read(bytes))
        assertArrayEquals(bytes, PeerCodec.write(PeerCodec.read(bytes)))
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("protocolMessages")
    fun `a protocol message is encoded to its golden bytes, also after it was decoded`(name: String, golden: String) {
        val message = GoldenValues.messages.getValue(name)
        assertEquals(golden, message.write().decodeToString())
        message.rewrite?.let { assertEquals(golden, it(golden.encodeToByteArray()).decodeToString()) }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("olderRecords")
    fun `a record stored by an earlier build is still decoded`(name: String, stored: String) {
        assertEquals(GoldenValues.older.getValue(name), RecordJson.decode(name.substringBefore(' '), stored))
    }

    @Test
    fun `a sealed frame has its golden bytes and is opened by its receiver`() {
        fun seal(node: String) = PeerFrameSigner(node, 1, listOf(PeerKey("k", ByteArray(32) { 3 })), false, 0)
        val frame = PeerCodec.write(GoldenValues.frames.getValue("status of the first level"))
        val golden = lines("sealed").single().second
        assertEquals(golden, HexFormat.of().formatHex(seal("n1").sign(frame, Targets.NOW)))
        val opened = seal("n0").verify(HexFormat.of().parseHex(golden), Targets.NOW)
        assertEquals("n1", opened?.sender)
        assertArrayEquals(frame, opened?.frame)
    }

    @Test
    fun `an audit log entry keeps its golden line, hash and seal`() {
        val (line, hash, jws) = lines("audit").map { it.second }
        assertEquals(line, AuditLines.write(3, AuditLines.START, "n0", GoldenValues.entry))
        val parsedLine = AuditLines.read(line)
        assertEquals(line, AuditLines.write(parsedLine.number, parsedLine.before, parsedLine.node, parsedLine.entry))
        assertEquals(hash, AuditLines.hash(line))
        assertEquals(jws, Seals.sign(GoldenValues.seal, Targets.key))
        assertEquals(GoldenValues.seal, Seals.read(jws))
    }

    @Test
    fun `every kind of stored record and frame and every listed protocol message has golden bytes`() {
        fun kinds(sealed: Class<*>): Set<String> = sealed.permittedSubclasses.map { it.simpleName }.toSet()
        assertEquals(kinds(Stored::class.java), GoldenValues.records.values.map { it.javaClass.simpleName }.toSet())
        assertEquals(kinds(PeerMessage::class.java), GoldenValues.frames.values.map { it.javaClass.simpleName }.toSet())
        assertEquals(GoldenValues.records.keys, lines("records").map { it.first }.toSet())
        assertEquals(GoldenValues.frames.keys, lines("frames").map { it.first }.toSet())
        assertEquals(GoldenValues.messages.keys, lines("messages").map { it.first }.toSet())
    }

    private companion object {
        /** Returns the lines of a golden file as pairs of a name and the golden text. */
        fun lines(file: String): List<Pair<String, String>> =
            GoldenBytesTest::class.java.getResource("/golden/$file.txt")!!.readText().lines().filter { it.isNotEmpty() }
                .map { it.substringBefore('\t') to it.substringAfter('\t') }

        private fun cases(file: String) = lines(file).map { arrayOf<Any>(it.first, it.second) }

        @JvmStatic
        fun storedRecords() = cases("records")

        @JvmStatic
        fun olderRecords() = cases("older")

        @JvmStatic
        fun peerFrames() = cases("frames")

        @JvmStatic
        fun protocolMessages() = cases("messages")
    }
}

package plankwall.wire

/**
 * Requests of administrators about the policy and the audit log, and their answers. Those that read throw
 * [MalformedMessageException].
 */
object AdminCodec {
    /** A policy to publish after version [base]: a new [text], or the text of the earlier version [to]. */
    class Publication(val base: Long, val text: String?, val to: Long?)

    /** `{"base":3,"text":"…"}` publishes, `{"base":3,"to":1}` goes back to an earlier version's text. */
    fun publication(bytes: ByteArray): Publication = parseJson(bytes) { p ->
        var base: Long? = null
        var text: String? = null
        var to: Long? = null
        p.fields { name ->
            when (name) {
                "base" -> base = whole(name)
                "text" -> text = text(name)
                "to" -> to = whole(name)
            }
        }
        Publication(
            base ?: throw MalformedMessageException("base", "missing: the version that this is to follow"),
            text,
            to,
        )
    }

    fun publish(base: Long, text: String): ByteArray = writeJson {
        obj {
            writeNumberField("base", base)
            writeStringField("text", text)
        }
    }

    fun rollback(base: Long, to: Long): ByteArray = writeJson {
        obj {
            writeNumberField("base", base)
            writeNumberField("to", to)
        }
    }

    /** A published policy version. */
    class RightsView(val version: Long, val by: String, val atMs: Long, val text: String)

    fun rights(version: Long, by: String, atMs: Long, text: String): ByteArray = writeJson {
        obj {
            writeNumberField("version", version)
            writeStringField("by", by)
            writeNumberField("at_ms", atMs)
            writeStringField("text", text)
        }
    }

    fun readRights(bytes: ByteArray): RightsView = parseJson(bytes) { p ->
        var version = 0L
        var by = ""
        var atMs = 0L
        var text = ""
        p.fields { name ->
            when (name) {
                "version" -> version = whole(name)
                "by" -> by = text(name)
                "at_ms" -> atMs = whole(name)
                "text" -> text = text(name)
            }
        }
        RightsView(version, by, atMs, text)
    }

    fun published(version: Long): ByteArray = writeJson { obj { writeNumberField("version", version) } }

    fun segment(segment: AuditSegment): ByteArray = writeJson { AccessRecordCodec.write(this, segment) }

    fun seal(seal: AuditSeal): ByteArray = writeJson { AccessRecordCodec.write(this, seal) }

    fun readSegment(bytes: ByteArray): AuditSegment = parseJson(bytes) {
        AccessRecordCodec.read(AccessKeys.TRAIL, it) as? AuditSegment
            ?: throw MalformedMessageException("no segment")
    }

    fun readSeal(bytes: ByteArray): AuditSeal = parseJson(bytes) {
        AccessRecordCodec.read(AccessKeys.SEALS, it) as? AuditSeal
            ?: throw MalformedMessageException("no seal")
    }
}

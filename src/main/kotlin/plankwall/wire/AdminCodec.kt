package plankwall.wire

/**
 * Codec of the administrators' requests about the policy and the audit log, and of their answers. Functions that read
 * throw [MalformedMessageException].
 */
object AdminCodec {
    /**
     * A request to publish a policy version: either the new [text], or the text of the earlier version [to] again.
     * [base]: the version in force when the request was made, which the new one is to follow.
     */
    class Publication(val base: Long, val text: String?, val to: Long?)

    /**
     * Reads the request to publish a new policy text, `{"base":3,"text":"…"}`, or to publish the text of an earlier
     * version again, `{"base":3,"to":1}`.
     */
    fun readPublication(bytes: ByteArray): Publication = parseJson(bytes) { parser ->
        var base: Long? = null
        var text: String? = null
        var to: Long? = null
        parser.forEachField { name ->
            when (name) {
                "base" -> base = readWholeNumber(name)
                "text" -> text = readString(name)
                "to" -> to = readWholeNumber(name)
            }
        }
        Publication(
            base ?: throw MalformedMessageException("base", "missing: the policy version that the new one follows"),
            text,
            to,
        )
    }

    /** Writes the request to publish the policy [text] as the version that follows [base]. */
    fun writePublication(base: Long, text: String): ByteArray = writeJson {
        writeJsonObject {
            writeNumberField("base", base)
            writeStringField("text", text)
        }
    }

    /** Writes the request to publish the text of version [to] again as the version that follows [base]. */
    fun writeRollback(base: Long, to: Long): ByteArray = writeJson {
        writeJsonObject {
            writeNumberField("base", base)
            writeNumberField("to", to)
        }
    }

    /** A published policy version with its [text]. [by]: the principal that published it, at wall-clock [atMs]. */
    class RightsView(val version: Long, val by: String, val atMs: Long, val text: String)

    /** Writes the answer to a request for a policy version; see [RightsView] for the fields. */
    fun writeRights(version: Long, by: String, atMs: Long, text: String): ByteArray = writeJson {
        writeJsonObject {
            writeNumberField("version", version)
            writeStringField("by", by)
            writeNumberField("at_ms", atMs)
            writeStringField("text", text)
        }
    }

    /** Reads what [writeRights] writes; a missing field is 0 or empty. */
    fun readRights(bytes: ByteArray): RightsView = parseJson(bytes) { parser ->
        var version = 0L
        var by = ""
        var atMs = 0L
        var text = ""
        parser.forEachField { name ->
            when (name) {
                "version" -> version = readWholeNumber(name)
                "by" -> by = readString(name)
                "at_ms" -> atMs = readWholeNumber(name)
                "text" -> text = readString(name)
            }
        }
        RightsView(version, by, atMs, text)
    }

    /** Writes the answer to a publication, which names the new [version]. */
    fun writePublished(version: Long): ByteArray =
        writeJson { writeJsonObject { writeNumberField("version", version) } }

    /** Writes the answer to a request for a segment of the audit log. */
    fun writeSegment(segment: AuditSegment): ByteArray = writeJson { AccessRecordCodec.write(this, segment) }

    /** Writes the answer to a request for a checkpoint of the audit log. */
    fun writeSeal(seal: AuditSeal): ByteArray = writeJson { AccessRecordCodec.write(this, seal) }

    /** Reads what [writeSegment] writes. */
    fun readSegment(bytes: ByteArray): AuditSegment = parseJson(bytes) {
        AccessRecordCodec.read(AccessKeys.TRAIL, it) as? AuditSegment
            ?: throw MalformedMessageException("not a segment of the audit log")
    }

    /** Reads what [writeSeal] writes. */
    fun readSeal(bytes: ByteArray): AuditSeal = parseJson(bytes) {
        AccessRecordCodec.read(AccessKeys.SEALS, it) as? AuditSeal
            ?: throw MalformedMessageException("not a checkpoint of the audit log")
    }
}

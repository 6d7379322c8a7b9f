package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import plankwall.model.JobFacts
import plankwall.model.Priority
import plankwall.model.Shape

/**
 * Codec of the [JobFacts] in the record of a job that has ended. The policy decides by them on requests
 * about the job, since its description is no longer stored.
 */
internal object JobFactsCodec {
    /** Writes the fields of [facts] into the JSON object that [generator] has started. */
    fun write(generator: JsonGenerator, facts: JobFacts) {
        facts.owner?.let { generator.writeStringField(OWNER, it) }
        generator.writeStringField(Fields.JOB_CLASS, facts.jobClass)
        generator.writeStringField(Fields.TEAM, facts.team)
        generator.writeStringField("shape", JobWords.word(facts.shape))
        generator.writeStringField(Fields.PRIORITY, JobWords.word(facts.priority))
    }

    /** Collects the facts from the fields of a record, which has other fields besides those written by [write]. */
    class Reader {
        private var owner: String? = null
        private var jobClass = ""
        private var team = ""
        private var shape = Shape.ARRAY
        private var priority = Priority.LOW

        /**
         * Reads the value of the field [name] if [write] writes such a field; otherwise reads nothing and returns
         * false.
         */
        fun readField(parser: JsonParser, name: String): Boolean {
            when (name) {
                OWNER -> owner = parser.readString(name)
                Fields.JOB_CLASS -> jobClass = parser.readString(name)
                Fields.TEAM -> team = parser.readString(name)
                "shape" -> shape = JobWords.shape(name, parser.readString(name))
                Fields.PRIORITY -> priority = JobWords.priority(name, parser.readString(name))
                else -> return false
            }
            return true
        }

        /** Returns the facts read so far; null if the record names no owner. */
        fun buildFacts(): JobFacts? = owner?.let { JobFacts(it, jobClass, team, priority, shape) }
    }

    private const val OWNER = "own"
}

package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import plankwall.model.JobFacts
import plankwall.model.Priority
import plankwall.model.Shape

/** What the policy may ask about a job that is over, whose description is no longer stored. */
internal object JobFactsCodec {
    /** Writes the fields of [facts] into the object that [generator] has open. */
    fun write(generator: JsonGenerator, facts: JobFacts) {
        facts.owner?.let { generator.writeStringField(OWNER, it) }
        generator.writeStringField(Fields.JOB_CLASS, facts.jobClass)
        generator.writeStringField(Fields.TEAM, facts.team)
        generator.writeStringField("shape", JobWords.word(facts.shape))
        generator.writeStringField(Fields.PRIORITY, JobWords.word(facts.priority))
    }

    /** Collects the fields that [write] writes from among those of a record. */
    class Reader {
        private var owner: String? = null
        private var jobClass = ""
        private var team = ""
        private var shape = Shape.ARRAY
        private var priority = Priority.LOW

        /** Reads the value of field [name] if it is one that [write] writes; false, and nothing read, otherwise. */
        fun readField(parser: JsonParser, name: String): Boolean {
            when (name) {
                OWNER -> owner = parser.text(name)
                Fields.JOB_CLASS -> jobClass = parser.text(name)
                Fields.TEAM -> team = parser.text(name)
                "shape" -> shape = JobWords.shape(name, parser.text(name))
                Fields.PRIORITY -> priority = JobWords.priority(name, parser.text(name))
                else -> return false
            }
            return true
        }

        /** Null where the record names no owner. */
        fun facts(): JobFacts? = owner?.let { JobFacts(it, jobClass, team, priority, shape) }
    }

    private const val OWNER = "own"
}

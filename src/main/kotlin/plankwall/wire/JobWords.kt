package plankwall.wire

import plankwall.model.JobStage
import plankwall.model.Priority
import plankwall.model.Shape

/** The protocol's words for the shape, the priority and the stage of a job. */
internal object JobWords {
    val shapes: Map<String, Shape> =
        mapOf("sweep" to Shape.ARRAY, "ensemble" to Shape.GANG, "service" to Shape.SERVICE)
    val priorities: Map<String, Priority> = mapOf(
        "critical" to Priority.PRODUCTION,
        "urgent" to Priority.HIGH,
        "normal" to Priority.NORMAL,
        "low" to Priority.LOW,
    )
    private val shapeWords = shapes.entries.associate { (word, shape) -> shape to word }
    private val priorityWords = priorities.entries.associate { (word, priority) -> priority to word }

    /** Returns the protocol's word for [shape]. */
    fun word(shape: Shape): String = shapeWords.getValue(shape)

    /** Returns the protocol's word for [priority]. */
    fun word(priority: Priority): String = priorityWords.getValue(priority)

    /** Returns the protocol's word for [stage]. */
    fun word(stage: JobStage): String = when (stage) {
        JobStage.PENDING -> "pending"
        JobStage.RUNNING -> "running"
        JobStage.DONE -> "done"
        JobStage.CANCELLED -> "withdrawn"
    }

    /**
     * Returns the shape that [word], the value of [field], stands for; throws [MalformedMessageException] if unknown.
     */
    fun shape(field: String, word: String): Shape = shapes[word] ?: throw MalformedMessageException(field, "unknown")

    /**
     * Returns the priority that [word], the value of [field], stands for; throws [MalformedMessageException] if
     * unknown.
     */
    fun priority(field: String, word: String): Priority =
        priorities[word] ?: throw MalformedMessageException(field, "unknown")
}

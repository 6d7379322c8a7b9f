package plankwall.wire

import plankwall.model.JobStage
import plankwall.model.Priority
import plankwall.model.Shape

/** The protocol's words for a job's shape, priority and stage. */
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

    fun word(shape: Shape): String = shapeWords.getValue(shape)

    fun word(priority: Priority): String = priorityWords.getValue(priority)

    fun word(stage: JobStage): String = when (stage) {
        JobStage.PENDING -> "pending"
        JobStage.RUNNING -> "running"
        JobStage.DONE -> "done"
        JobStage.CANCELLED -> "withdrawn"
    }

    /** The shape that [field] names by [word]; throws [MalformedMessageException] if there is none. */
    fun shape(field: String, word: String): Shape = shapes[word] ?: throw MalformedMessageException(field, "unknown")

    /** The priority that [field] names by [word]; throws [MalformedMessageException] if there is none. */
    fun priority(field: String, word: String): Priority =
        priorities[word] ?: throw MalformedMessageException(field, "unknown")
}

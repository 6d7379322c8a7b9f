package plankwall.wire

/**
 * Thrown for a message or a stored value that does not have the form that the protocol requires. Its message, which
 * joins [field] and [problem], is shown to users. It is created without a stack trace.
 *
 * @property field the field or the kind of message that is malformed; null if the message as a whole is malformed
 * @property problem a description of the error
 */
class MalformedMessageException private constructor(
    val field: String?,
    val problem: String,
    message: String,
    cause: Throwable?,
) : Exception(message, cause, false, false) {
    constructor(problem: String, cause: Throwable? = null) : this(null, problem, problem, cause)

    constructor(field: String, problem: String, cause: Throwable? = null) :
        this(field, problem, "$field: $problem", cause)
}

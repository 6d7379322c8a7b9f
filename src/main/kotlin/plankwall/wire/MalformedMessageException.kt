package plankwall.wire

/**
 * A message or a stored value that is not in the protocol's form. [field]: the field, or the kind of message, that is
 * wrong; null if the whole message is. [problem]: what is wrong with it. The message, which joins both, is shown to
 * users.
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

package plankwall.io

/** The HTTP status codes that this package sends or reads, and reason phrases for those that it sends. */
internal object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val NO_CONTENT = 204
    const val BAD_REQUEST = 400
    const val UNAUTHORIZED = 401
    const val FORBIDDEN = 403
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val CONFLICT = 409
    const val GONE = 410
    const val PAYLOAD_TOO_LARGE = 413
    const val MISDIRECTED_REQUEST = 421
    const val UNPROCESSABLE_ENTITY = 422
    const val TOO_MANY_REQUESTS = 429
    const val SERVICE_UNAVAILABLE = 503

    /** Returns the reason phrase for a status line; a placeholder for a status that this package does not send. */
    fun reasonPhrase(status: Int): String = when (status) {
        OK -> "OK"
        CREATED -> "Created"
        BAD_REQUEST -> "Bad Request"
        UNAUTHORIZED -> "Unauthorized"
        FORBIDDEN -> "Forbidden"
        NOT_FOUND -> "Not Found"
        METHOD_NOT_ALLOWED -> "Method Not Allowed"
        CONFLICT -> "Conflict"
        PAYLOAD_TOO_LARGE -> "Payload Too Large"
        MISDIRECTED_REQUEST -> "Misdirected Request"
        UNPROCESSABLE_ENTITY -> "Unprocessable Entity"
        TOO_MANY_REQUESTS -> "Too Many Requests"
        SERVICE_UNAVAILABLE -> "Service Unavailable"
        else -> "Status"
    }
}

package plankwall.core.statemachine

/** Identifies a request that the controller has to answer. */
@JvmInline
value class RequestId(val value: Long)

/** Identifies a call that the controller makes, so that the reply can be matched to it. */
@JvmInline
value class CallId(val value: Long)

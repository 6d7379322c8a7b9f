package plankwall.core.statemachine

import plankwall.model.JobFacts
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * What came with a request that could prove who asks. [address]: the caller's, which never proves anything by itself.
 */
class Credentials(
    val method: String,
    val path: String,
    val body: ByteArray,
    val authorization: String?,
    val address: String,
)

enum class Action(val word: String) {
    SUBMIT("submit"),

    /** A submission under an id that is known already. */
    RESUBMIT("resubmit"),
    SHOW("show"),
    WITHDRAW("withdraw"),
    ADMINISTER("administer"),
    AUDIT("audit"),
}

/** What the rights say, by which rule, and what they want done to the job should they be taken away while it runs. */
data class Verdict(val allowed: Boolean, val rule: String, val cancelOnRevoke: Boolean = false)

/** What was decided on [subject], and the status that tells the caller so. */
class Decision(val action: Action, val subject: String, val verdict: Verdict, val status: Int)

/** A caller who has proven who he is. */
interface Caller {
    val name: String

    /** [job]: null for what concerns no job, or one of which nothing may be told. */
    fun authorize(action: Action, job: JobFacts?): Verdict

    /** Stores a decision that changes nothing else; [then] learns whether it may be told now. */
    fun record(decision: Decision, then: (stored: Boolean) -> Unit)

    /**
     * Stores a change together with its decision, or neither. Guarded on the rights that allowed it: if they were
     * replaced, the result is a conflict on their key, and by the time [then] hears of it the new ones are known.
     */
    fun change(decision: Decision, txn: StateOp.Txn, then: (StateResult) -> Unit)
}

/** What a request asks of the keepers of rights and trail themselves. */
sealed interface AdminRequest {
    data object Rights : AdminRequest

    class OldRights(val version: Long) : AdminRequest

    class Publish(val base: Long, val text: String) : AdminRequest

    class Rollback(val base: Long, val to: Long) : AdminRequest

    /** One stored piece of the trail: a segment of [node], or a seal where that is null. */
    class Trail(val node: String?, val number: Long) : AdminRequest
}

/** The leader's means, lent to the gate while it leads. */
interface LeaseAuthority {
    val epoch: Long

    /** Whether something may be stored that nobody waits for. */
    fun mayWrite(): Boolean
}

/**
 * Stands between callers and the front desk where the operators want every request tied to somebody. Without one,
 * anybody may do anything, as PROTOCOL has it.
 */
interface AccessCheck {
    /** Lets a caller in who proves who he is; whoever does not is answered here. */
    fun authenticate(request: RequestId, credentials: Credentials, then: (Caller) -> Unit)

    fun handleAdmin(request: RequestId, credentials: Credentials, asked: AdminRequest)

    /**
     * Why a worker's report from [address] is not listened to, or null. [listed]: what the cloud says its address is.
     */
    fun heartbeatRefusal(address: String, claimed: String, listed: String?): String?

    /** [authority]: null while this node does not lead. */
    fun tick(authority: LeaseAuthority?)
}

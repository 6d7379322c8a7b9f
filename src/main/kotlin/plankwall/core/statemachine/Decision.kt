package plankwall.core.statemachine

/** What a caller asks to do; [word] is its name in the policy language and in the audit log. */
enum class Action(val word: String) {
    SUBMIT("submit"),

    /** A submission under an id that is known already. */
    RESUBMIT("resubmit"),
    SHOW("show"),
    WITHDRAW("withdraw"),
    ADMINISTER("administer"),
    AUDIT("audit"),
}

/**
 * The outcome of an authorization.
 *
 * @property rule the rule of the policy that decided
 * @property cancelOnRevoke whether the job is to be cancelled if the permission is revoked while it is live
 */
data class Verdict(val allowed: Boolean, val rule: String, val cancelOnRevoke: Boolean = false)

/** A [verdict] on [action] on [subject] for the audit log, with the [status] that the caller is answered. */
class Decision(val action: Action, val subject: String, val verdict: Verdict, val status: Int)

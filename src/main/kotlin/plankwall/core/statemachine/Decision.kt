package plankwall.core.statemachine

/** An action that a caller asks for; [word] is its name in the policy language and in the audit log. */
enum class Action(val word: String) {
    SUBMIT("submit"),

    /** A submission under a job id that is already known. */
    RESUBMIT("resubmit"),
    SHOW("show"),
    WITHDRAW("withdraw"),
    ADMINISTER("administer"),
    AUDIT("audit"),
}

/**
 * The outcome of an authorization.
 *
 * @property rule the rule of the policy that decided, or the reason where none did
 * @property cancelOnRevoke whether the job is to be cancelled if the permission is revoked while it is live
 */
data class Verdict(val allowed: Boolean, val rule: String, val cancelOnRevoke: Boolean = false)

/**
 * The result of an authorization, as the audit log records it.
 *
 * @property subject the job or the record that the action concerns
 * @property status the HTTP status that the caller is answered with
 */
class Decision(val action: Action, val subject: String, val verdict: Verdict, val status: Int)

package plankwall.authorization

import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Verdict
import plankwall.identity.Networks
import plankwall.identity.PublicKey
import plankwall.model.JobFacts
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.wire.JobCodec

/** What a principal is. */
enum class PrincipalKind { PERSON, SERVICE, NODE }

/** A person, service or node that can prove who it is. [networks]: from where; null for anywhere. */
class Principal(
    val name: String,
    val kind: PrincipalKind,
    val keys: List<PublicKey>,
    val networks: Networks?,
    val disabled: Boolean,
) {
    /** The key of this id; null if there is none, or the principal is disabled. */
    fun key(id: String): PublicKey? = if (disabled) null else keys.find { it.id == id }
}

/** A condition on a job. One on an attribute that is not known does not hold, and neither does its negation. */
sealed interface Condition {
    class All(val parts: List<Condition>) : Condition

    class Any(val parts: List<Condition>) : Condition

    class Not(val part: Condition) : Condition

    data object OwnerIsSelf : Condition

    class OneOf(val attribute: Attribute, val values: Set<String>) : Condition

    class Bounded(val least: Boolean, val bound: Priority) : Condition
}

/** An attribute of a job that a condition may ask about. [word]: in the policy language. */
enum class Attribute(val word: String, val of: (JobFacts) -> String?) {
    CLASS("class", { it.jobClass }),
    TEAM("team", { it.team }),
    OWNER("owner", { it.owner }),
    PRIORITY("priority", { PolicyWords.of(it.priority) }),
    SHAPE("shape", { PolicyWords.of(it.shape) }),
}

/** Priorities and shapes by the names that users write. */
internal object PolicyWords {
    val priorities: Map<String, Priority> = JobCodec.priorityWords
    val shapes: Map<String, Shape> = JobCodec.shapeWords

    fun of(priority: Priority): String = JobCodec.priorityName(priority)

    fun of(shape: Shape): String = JobCodec.shapeName(shape)
}

/** [line]: in the policy's text. [cancel]: whether revoking the right cancels running jobs; null: not stated. */
class Rule(
    val name: String,
    val line: Int,
    val allows: Boolean,
    val actions: Set<Action>,
    val condition: Condition?,
    val cancel: Boolean?,
)

/** How a rule relates to a request. */
enum class RuleOutcome { DECIDES, APPLIES, OTHER_ACTION, CONDITION_FAILS }

/** A rule and how it relates to the request that was explained. */
class Explained(val rule: Rule, val standing: RuleOutcome)

/**
 * One version of the principals and of who may do what. [workers], [peers]: from where workers and peers may connect;
 * null: from anywhere.
 */
class Policy(
    val version: Long,
    val principals: Map<String, Principal>,
    private val rules: Map<String, List<Rule>>,
    val workers: Networks?,
    val peers: Networks?,
) {
    /** The rules for [principal], in the order of the text. */
    fun rulesOf(principal: String): List<Rule> = rules[principal].orEmpty()

    /** The key of [principal] with this id; null if there is none or the principal is disabled. */
    fun publicKey(principal: String, key: String): PublicKey? = principals[principal]?.key(key)

    /** Decides [action] on [job]: a deny that applies wins, else the first allow, else it is denied. */
    fun authorize(principal: String, action: Action, job: JobFacts?): Verdict {
        val known = principals[principal]
        return when {
            known == null -> Verdict(false, UNKNOWN)
            known.disabled -> Verdict(false, DISABLED)
            else -> decide(principal, action, job)
        }
    }

    private fun decide(principal: String, action: Action, job: JobFacts?): Verdict {
        val applying = rulesOf(principal).filter { action in it.actions && holds(it.condition, principal, job) }
        val deciding = applying.find { !it.allows } ?: applying.firstOrNull() ?: return Verdict(false, NOTHING_ALLOWS)
        return Verdict(deciding.allows, deciding.name, deciding.cancel ?: false)
    }

    /** Whether the first rule that denies it to [principal] cancels running jobs; null if none does or says. */
    fun cancelsOnDeny(principal: String, action: Action, job: JobFacts?): Boolean? = rulesOf(principal)
        .firstOrNull { !it.allows && action in it.actions && holds(it.condition, principal, job) }?.cancel

    /** All rules of [principal] and how each relates to the request, in the order of the text. */
    fun explain(principal: String, action: Action, job: JobFacts?): List<Explained> {
        val deciding = authorize(principal, action, job)
        var decided = false
        return rulesOf(principal).map { rule ->
            val standing = when {
                action !in rule.actions -> RuleOutcome.OTHER_ACTION
                !holds(rule.condition, principal, job) -> RuleOutcome.CONDITION_FAILS
                !decided && rule.name == deciding.rule && rule.allows == deciding.allowed -> {
                    decided = true
                    RuleOutcome.DECIDES
                }
                else -> RuleOutcome.APPLIES
            }
            Explained(rule, standing)
        }
    }

    companion object {
        const val NOTHING_ALLOWS = "nothing allows it"
        const val UNKNOWN = "nobody of that name"
        const val DISABLED = "disabled"

        private fun holds(c: Condition?, principal: String, job: JobFacts?): Boolean =
            c == null || truth(c, principal, job) == true

        /** Null: what it asks about is not known. */
        private fun truth(c: Condition, principal: String, job: JobFacts?): Boolean? = when (c) {
            is Condition.All -> combine(c.parts, principal, job, decisive = false)
            is Condition.Any -> combine(c.parts, principal, job, decisive = true)
            is Condition.Not -> truth(c.part, principal, job)?.not()
            Condition.OwnerIsSelf -> job?.owner?.let { it == principal }
            is Condition.OneOf -> job?.let { c.attribute.of(it) }?.let { it in c.values }
            is Condition.Bounded -> job?.let { if (c.least) it.priority >= c.bound else it.priority <= c.bound }
        }

        private fun combine(parts: List<Condition>, principal: String, job: JobFacts?, decisive: Boolean): Boolean? {
            var unknown = false
            for (part in parts) {
                when (truth(part, principal, job)) {
                    decisive -> return decisive
                    null -> unknown = true
                    else -> Unit
                }
            }
            return if (unknown) null else !decisive
        }

        /** Before any version is known: nobody may do anything. */
        val NOBODY = Policy(0, emptyMap(), emptyMap(), null, null)
    }
}

package plankwall.authorization

import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Verdict
import plankwall.identity.Networks
import plankwall.identity.PublicKey
import plankwall.model.JobFacts
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.wire.JobCodec

/** The kinds of principals. The policy language names them by these words in lower case. */
enum class PrincipalKind { PERSON, SERVICE, NODE }

/**
 * A person, service or node that can prove its identity with one of its [keys]. [networks]: where its requests may come
 * from; null for anywhere. [isDisabled]: whether none of its keys is accepted.
 */
class Principal(
    val name: String,
    val kind: PrincipalKind,
    val keys: List<PublicKey>,
    val networks: Networks?,
    val isDisabled: Boolean,
) {
    /** The key with this id; null if there is none, or the principal is disabled. */
    fun key(id: String): PublicKey? = if (isDisabled) null else keys.find { it.id == id }
}

/**
 * A condition on a job. One that asks about an unknown attribute does not hold, and neither does its negation. [All]
 * and [Any] may still be decided by their other parts.
 */
sealed interface Condition {
    class All(val parts: List<Condition>) : Condition

    class Any(val parts: List<Condition>) : Condition

    class Not(val part: Condition) : Condition

    data object OwnerIsSelf : Condition

    class OneOf(val attribute: Attribute, val values: Set<String>) : Condition

    /** Whether the job's priority is at least [bound] ([isLowerBound]) or at most [bound]. */
    class PriorityBound(val isLowerBound: Boolean, val bound: Priority) : Condition
}

/**
 * An attribute of a job that a condition may test. [word]: its name in the policy language. [valueIn]: returns its
 * value in the form that the policy language uses; null if it is unknown.
 */
enum class Attribute(val word: String, val valueIn: (JobFacts) -> String?) {
    CLASS("class", { it.jobClass }),
    TEAM("team", { it.team }),
    OWNER("owner", { it.owner }),
    PRIORITY("priority", { PolicyWords.of(it.priority) }),
    SHAPE("shape", { PolicyWords.of(it.shape) }),
}

/** The names of priorities and shapes in policies, which are those that users write in jobs. */
internal object PolicyWords {
    val priorities: Map<String, Priority> = JobCodec.priorityWords
    val shapes: Map<String, Shape> = JobCodec.shapeWords

    fun of(priority: Priority): String = JobCodec.priorityName(priority)

    fun of(shape: Shape): String = JobCodec.shapeName(shape)
}

/**
 * A rule that allows or denies [actions] on the jobs that fulfil [condition]; null for any job. [name]: what the audit
 * log names it by. [line]: its line in the text of the policy, counted from 1. [cancel]: whether live jobs are
 * cancelled when their owner loses the right to submit them; null if the rule does not say.
 */
class Rule(
    val name: String,
    val line: Int,
    val allows: Boolean,
    val actions: Set<Action>,
    val condition: Condition?,
    val cancel: Boolean?,
)

/**
 * The relation of a rule to a request: it decides the request; it applies but another rule decides; it is about other
 * actions; or its condition does not hold.
 */
enum class RuleOutcome { DECIDES, APPLIES, OTHER_ACTION, CONDITION_FAILS }

/** A rule and its [outcome]: its relation to the request that was passed to [Policy.explain]. */
class RuleExplanation(val rule: Rule, val outcome: RuleOutcome)

/**
 * One version of the principals and of the rules that say what each of them may do. [workerNetworks] and
 * [peerNetworks]: the networks from which workers and other controllers may connect; null for anywhere.
 */
class Policy(
    val version: Long,
    val principals: Map<String, Principal>,
    private val rules: Map<String, List<Rule>>,
    val workerNetworks: Networks?,
    val peerNetworks: Networks?,
) {
    /** The rules for [principal], in the order in which the policy's text defines or grants them. */
    fun rulesOf(principal: String): List<Rule> = rules[principal].orEmpty()

    /** The key of [principal] with this id; null if there is none or the principal is disabled. */
    fun publicKey(principal: String, key: String): PublicKey? = principals[principal]?.key(key)

    /**
     * Decides whether [principal] may do [action] on [job]. A denying rule that applies wins over all that allow. If no
     * rule applies, the action is denied. [job]: null if the action concerns no job, or one about which nothing may be
     * revealed.
     */
    fun authorize(principal: String, action: Action, job: JobFacts?): Verdict {
        val knownPrincipal = principals[principal]
        return when {
            knownPrincipal == null -> Verdict(false, UNKNOWN_PRINCIPAL)
            knownPrincipal.isDisabled -> Verdict(false, DISABLED_PRINCIPAL)
            else -> decide(principal, action, job)
        }
    }

    private fun decide(principal: String, action: Action, job: JobFacts?): Verdict {
        val applying = rulesOf(principal).filter { action in it.actions && holds(it.condition, principal, job) }
        val deciding = applying.find { !it.allows } ?: applying.firstOrNull() ?: return Verdict(false, NOTHING_ALLOWS)
        return Verdict(deciding.allows, deciding.name, deciding.cancel ?: false)
    }

    /**
     * Whether live jobs are cancelled according to the first rule that denies [action] on [job] to [principal]; null if
     * no rule denies it, or this one does not say.
     */
    fun cancelsOnDeny(principal: String, action: Action, job: JobFacts?): Boolean? = rulesOf(principal)
        .firstOrNull { !it.allows && action in it.actions && holds(it.condition, principal, job) }?.cancel

    /** Returns how each rule of [principal] relates to the request, in the order of [rulesOf]. */
    fun explain(principal: String, action: Action, job: JobFacts?): List<RuleExplanation> {
        val verdict = authorize(principal, action, job)
        var isDeciderFound = false
        return rulesOf(principal).map { rule ->
            val outcome = when {
                action !in rule.actions -> RuleOutcome.OTHER_ACTION
                !holds(rule.condition, principal, job) -> RuleOutcome.CONDITION_FAILS
                !isDeciderFound && rule.name == verdict.rule && rule.allows == verdict.allowed -> {
                    isDeciderFound = true
                    RuleOutcome.DECIDES
                }
                else -> RuleOutcome.APPLIES
            }
            RuleExplanation(rule, outcome)
        }
    }

    companion object {
        const val NOTHING_ALLOWS = "nothing allows it"
        const val UNKNOWN_PRINCIPAL = "nobody of that name"
        const val DISABLED_PRINCIPAL = "disabled"

        private fun holds(condition: Condition?, principal: String, job: JobFacts?): Boolean =
            condition == null || evaluate(condition, principal, job) == true

        /** Evaluates [condition] in three-valued logic; null if an attribute that it depends on is unknown. */
        private fun evaluate(condition: Condition, principal: String, job: JobFacts?): Boolean? = when (condition) {
            is Condition.All -> combine(condition.parts, principal, job, decisive = false)
            is Condition.Any -> combine(condition.parts, principal, job, decisive = true)
            is Condition.Not -> evaluate(condition.part, principal, job)?.not()
            Condition.OwnerIsSelf -> job?.owner?.let { it == principal }
            is Condition.OneOf -> job?.let { condition.attribute.valueIn(it) }?.let { it in condition.values }
            is Condition.PriorityBound -> job?.let {
                if (condition.isLowerBound) it.priority >= condition.bound else it.priority <= condition.bound
            }
        }

        /** Evaluates the conjunction or disjunction of [parts]; one part that is [decisive] determines the result. */
        private fun combine(parts: List<Condition>, principal: String, job: JobFacts?, decisive: Boolean): Boolean? {
            var hasUnknown = false
            for (part in parts) {
                when (evaluate(part, principal, job)) {
                    decisive -> return decisive
                    null -> hasUnknown = true
                    else -> Unit
                }
            }
            return if (hasUnknown) null else !decisive
        }

        /** The policy without principals and rules, under which every request is denied. */
        val DENY_ALL = Policy(0, emptyMap(), emptyMap(), null, null)
    }
}

package plankwall.authorization

import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Verdict
import plankwall.identity.Networks
import plankwall.identity.PublicKey
import plankwall.model.JobFacts
import plankwall.model.Priority
import plankwall.model.Shape

enum class PrincipalKind { PERSON, SERVICE, NODE }

/** Somebody, or something, that can prove who it is. [networks]: null for any. */
class Principal(
    val name: String,
    val kind: PrincipalKind,
    val keys: List<PublicKey>,
    val networks: Networks?,
    val disabled: Boolean,
) {
    fun key(id: String): PublicKey? = if (disabled) null else keys.find { it.id == id }
}

/** A condition on a job. One that asks about what is not known of it does not hold, and neither does its opposite. */
sealed interface Condition {
    class All(val parts: List<Condition>) : Condition

    class Any(val parts: List<Condition>) : Condition

    class Not(val part: Condition) : Condition

    data object OwnerIsSelf : Condition

    class OneOf(val attribute: Attribute, val values: Set<String>) : Condition

    class Bounded(val least: Boolean, val bound: Priority) : Condition
}

enum class Attribute(val word: String, val of: (JobFacts) -> String?) {
    CLASS("class", { it.jobClass }),
    TEAM("team", { it.team }),
    OWNER("owner", { it.owner }),
    PRIORITY("priority", { Words.of(it.priority) }),
    SHAPE("shape", { Words.of(it.shape) }),
}

/** Priorities and shapes by the names that users write. */
internal object Words {
    val priorities: Map<String, Priority> = plankwall.wire.JobCodec.priorityWords
    val shapes: Map<String, Shape> = plankwall.wire.JobCodec.shapeWords

    fun of(p: Priority): String = plankwall.wire.JobCodec.priorityName(p)

    fun of(s: Shape): String = plankwall.wire.JobCodec.shapeName(s)
}

/** [line]: where it stands in the text. [cancel]: what its loss means for a running job; null: not said. */
class Rule(
    val name: String,
    val line: Int,
    val allows: Boolean,
    val actions: Set<Action>,
    val condition: Condition?,
    val cancel: Boolean?,
)

/** How a rule stands to a request. */
enum class RuleOutcome { DECIDES, APPLIES, OTHER_ACTION, CONDITION_FAILS }

class Explained(val rule: Rule, val standing: RuleOutcome)

/** One version of who there is and who may do what. */
class Policy(
    val version: Long,
    val principals: Map<String, Principal>,
    private val rules: Map<String, List<Rule>>,
    val workers: Networks?,
    val peers: Networks?,
) {
    fun rulesOf(principal: String): List<Rule> = rules[principal].orEmpty()

    fun publicKey(principal: String, key: String): PublicKey? = principals[principal]?.key(key)

    /** A deny that applies wins; else the first allow; else nobody has allowed it. */
    fun authorize(principal: String, action: Action, job: JobFacts?): Verdict {
        val known = principals[principal]
        if (known == null) return Verdict(false, UNKNOWN)
        if (known.disabled) return Verdict(false, DISABLED)
        var allowing: Rule? = null
        for (rule in rulesOf(principal)) {
            if (action !in rule.actions || !holds(rule.condition, principal, job)) continue
            if (!rule.allows) return Verdict(false, rule.name, rule.cancel ?: false)
            if (allowing == null) allowing = rule
        }
        return if (allowing ==
            null
        ) {
            Verdict(false, NOTHING_ALLOWS)
        } else {
            Verdict(true, allowing.name, allowing.cancel ?: false)
        }
    }

    /** Whether some rule that denies it to [principal] says what becomes of a job that runs. */
    fun cancelsOnDeny(principal: String, action: Action, job: JobFacts?): Boolean? = rulesOf(principal)
        .firstOrNull { !it.allows && action in it.actions && holds(it.condition, principal, job) }?.cancel

    /** All rules of [principal] and how each stands to the request, in the order of the text. */
    fun explain(principal: String, action: Action, job: JobFacts?): List<Explained> {
        val deciding = authorize(principal, action, job)
        var decided = false
        return rulesOf(principal).map { rule ->
            val standing = when {
                action !in rule.actions -> RuleOutcome.OTHER_ACTION
                !holds(rule.condition, principal, job) -> RuleOutcome.CONDITION_FAILS
                !decided && rule.name == deciding.rule && rule.allows == deciding.allowed -> RuleOutcome.DECIDES.also {
                    decided =
                        true
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

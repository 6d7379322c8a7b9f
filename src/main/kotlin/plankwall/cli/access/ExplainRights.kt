package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Parameters
import plankwall.authorization.RuleOutcome
import java.io.File
import java.util.concurrent.Callable

/** Explains which rule of a policy decides a request. */
@Command(
    name = "explain",
    description = ["Show which rule decides a request, and how the other rules apply to it."],
    mixinStandardHelpOptions = true,
)
class ExplainRights : Callable<Int> {
    @Parameters(index = "0", paramLabel = "FILE")
    lateinit var file: File

    @Parameters(index = "1", paramLabel = "WHO")
    lateinit var principal: String

    @Parameters(index = "2", paramLabel = "ACTION")
    lateinit var actionWord: String

    @Mixin
    lateinit var job: JobOptions

    override fun call(): Int {
        val policy = readPolicy(file)
        val action = readAction(actionWord)
        val verdict = policy.authorize(principal, action, job.toJobFacts())
        println("$principal ${if (verdict.allowed) "may" else "may not"} ${action.word}: ${verdict.rule}")
        for (explained in policy.explain(principal, action, job.toJobFacts())) {
            val rule = explained.rule
            val effect = if (rule.allows) "allow" else "deny"
            val actions = rule.actions.joinToString(", ") { it.word }
            val outcome = describe(explained.outcome, agrees = rule.allows == verdict.allowed)
            println("  line ${rule.line}: $effect $actions (${rule.name}): $outcome")
        }
        return 0
    }

    private fun describe(outcome: RuleOutcome, agrees: Boolean): String = when (outcome) {
        RuleOutcome.DECIDES -> "decides"
        RuleOutcome.APPLIES -> if (agrees) "has the same effect" else "has the other effect, but deny takes precedence"
        RuleOutcome.OTHER_ACTION -> "does not cover this action"
        RuleOutcome.CONDITION_FAILS -> "its condition does not hold"
    }
}

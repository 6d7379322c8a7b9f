package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Parameters
import plankwall.authorization.RuleOutcome
import java.io.File
import java.util.concurrent.Callable

@Command(
    name = "explain",
    description = ["Say which rule decides a request, and how the others stand to it."],
    mixinStandardHelpOptions = true,
)
class ExplainRights : Callable<Int> {
    @Parameters(index = "0", paramLabel = "FILE")
    lateinit var file: File

    @Parameters(index = "1", paramLabel = "WHO")
    lateinit var who: String

    @Parameters(index = "2", paramLabel = "ACTION")
    lateinit var wanted: String

    @Mixin
    lateinit var job: JobOptions

    override fun call(): Int {
        val policy = readPolicy(file)
        val action = readAction(wanted)
        val verdict = policy.authorize(who, action, job.facts())
        println("$who ${if (verdict.allowed) "may" else "may not"} ${action.word}: ${verdict.rule}")
        for (explained in policy.explain(who, action, job.facts())) {
            val rule = explained.rule
            val effect = if (rule.allows) "allow" else "deny"
            val actions = rule.actions.joinToString(", ") { it.word }
            val outcome = describe(explained.standing, agrees = rule.allows == verdict.allowed)
            println("  line ${rule.line}: $effect $actions (${rule.name}): $outcome")
        }
        return 0
    }

    private fun describe(outcome: RuleOutcome, agrees: Boolean): String = when (outcome) {
        RuleOutcome.DECIDES -> "decides"
        RuleOutcome.APPLIES -> if (agrees) "says the same" else "would say otherwise, but a deny wins"
        RuleOutcome.OTHER_ACTION -> "is about something else"
        RuleOutcome.CONDITION_FAILS -> "its condition does not hold"
    }
}

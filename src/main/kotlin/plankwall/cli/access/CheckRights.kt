package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Parameters
import plankwall.authorization.PrincipalKind
import plankwall.core.statemachine.Action
import java.io.File
import java.util.concurrent.Callable

/** Checks a policy and prints a summary of it, with notes about likely mistakes. */
@Command(
    name = "check",
    description = ["Check a policy and print its errors, or a summary."],
    mixinStandardHelpOptions = true,
)
class CheckRights : Callable<Int> {
    @Parameters(paramLabel = "FILE", description = ["The policy."])
    lateinit var file: File

    override fun call(): Int {
        val policy = readPolicy(file)
        val (withRights, withoutRights) = policy.principals.values.partition {
            policy.rulesOf(it.name).any { rule -> rule.allows }
        }
        println(
            "$file: ${policy.principals.size} people, services and nodes, ${withRights.size} of them with rights",
        )
        withoutRights.filter { it.kind != PrincipalKind.NODE }
            .forEach { println("note: nothing is allowed to ${it.name}") }
        if (withRights.none { policy.authorize(it.name, Action.ADMINISTER, null).allowed }) {
            println("note: nobody may administer: once published, this policy could not be changed any more")
        }
        return 0
    }
}

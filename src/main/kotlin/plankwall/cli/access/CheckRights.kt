package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Parameters
import plankwall.authorization.PrincipalKind
import plankwall.core.statemachine.Action
import java.io.File
import java.util.concurrent.Callable

@Command(
    name = "check",
    description = ["Say what is wrong with a text of rights, or what it holds."],
    mixinStandardHelpOptions = true,
)
class CheckRights : Callable<Int> {
    @Parameters(paramLabel = "FILE", description = ["The text."])
    lateinit var file: File

    override fun call(): Int {
        val policy = readPolicy(file)
        val (able, idle) = policy.principals.values.partition { policy.rulesOf(it.name).any { rule -> rule.allows } }
        println("$file: ${policy.principals.size} people, services and nodes, ${able.size} of them with rights")
        idle.filter { it.kind != PrincipalKind.NODE }.forEach { println("note: nothing is allowed to ${it.name}") }
        if (able.none { policy.authorize(it.name, Action.ADMINISTER, null).allowed }) {
            println("note: nobody may administer: these rights could not be changed any more")
        }
        return 0
    }
}

package plankwall.cli.access

import picocli.CommandLine
import picocli.CommandLine.Command

/** Groups the commands about the policy. */
@Command(
    name = "rights",
    description = ["Check, explain, test and publish the access policy."],
    mixinStandardHelpOptions = true,
    subcommands = [
        CheckRights::class, ExplainRights::class, TestRights::class, ShowRights::class, PublishRights::class,
        RollBackRights::class,
    ],
)
class RightsCommand : Runnable {
    override fun run() = CommandLine.usage(this, System.out)
}

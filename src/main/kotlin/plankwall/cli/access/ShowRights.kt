package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Option

/** Prints the current policy or an earlier version. */
@Command(
    name = "show",
    description = ["Print the current policy, or an earlier version."],
    mixinStandardHelpOptions = true,
)
class ShowRights : RemoteRights() {
    @Option(
        names = ["--version-number"],
        paramLabel = "N",
        description = ["Print this version instead of the current one."],
    )
    var version: Long? = null

    override fun call(): Int {
        val policy = fetchPolicy(version?.let { "/api/rights/$it" } ?: "/api/rights") ?: return 1
        System.err.println("version ${policy.version}${if (policy.by.isEmpty()) "" else " by ${policy.by}"}")
        print(policy.text)
        return 0
    }
}

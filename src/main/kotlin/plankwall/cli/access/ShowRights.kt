package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Option

@Command(
    name = "show",
    description = ["Print the rights as they are published, or were."],
    mixinStandardHelpOptions = true,
)
class ShowRights : RemoteRights() {
    @Option(names = ["--version-number"], paramLabel = "N", description = ["An earlier version."])
    var version: Long? = null

    override fun call(): Int {
        val view = current(version?.let { "/api/rights/$it" } ?: "/api/rights") ?: return 1
        System.err.println("version ${view.version}${if (view.by.isEmpty()) "" else " by ${view.by}"}")
        print(view.text)
        return 0
    }
}

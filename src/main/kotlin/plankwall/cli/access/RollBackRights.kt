package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import plankwall.wire.AdminCodec

@Command(
    name = "rollback",
    description = ["Publish an earlier version's text again, as a new version."],
    mixinStandardHelpOptions = true,
)
class RollBackRights : RemoteRights() {
    @Option(names = ["--to"], required = true, paramLabel = "N")
    var to: Long = 0

    override fun call(): Int {
        val follows = current()?.version ?: return 1
        return calls.report(calls.ask("POST", "/api/rights", AdminCodec.rollback(follows, to)))
    }
}

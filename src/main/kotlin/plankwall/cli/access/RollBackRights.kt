package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import plankwall.wire.AdminCodec

/** Publishes the text of an earlier policy version as a new version. */
@Command(
    name = "rollback",
    description = ["Publish the text of an earlier policy version as a new version."],
    mixinStandardHelpOptions = true,
)
class RollBackRights : RemoteRights() {
    @Option(names = ["--to"], required = true, paramLabel = "N")
    var to: Long = 0

    override fun call(): Int {
        val baseVersion = fetchPolicy()?.version ?: return 1
        return calls.printAnswer(calls.sendRequest("POST", "/api/rights", AdminCodec.writeRollback(baseVersion, to)))
    }
}

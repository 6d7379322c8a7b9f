package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import plankwall.wire.AdminCodec
import java.io.File

/** Publishes a policy, which replaces the current one. */
@Command(
    name = "publish",
    description = ["Publish a policy; it applies on every node within a second."],
    mixinStandardHelpOptions = true,
)
class PublishRights : RemoteRights() {
    @Parameters(paramLabel = "FILE")
    lateinit var file: File

    @Option(
        names = ["--base"],
        paramLabel = "N",
        description = ["Fail unless this is still the current version. Default: the version read just before."],
    )
    var base: Long? = null

    override fun call(): Int {
        readPolicy(file)
        val baseVersion = base ?: fetchPolicy()?.version ?: return 1
        return calls.printAnswer(
            calls.sendRequest("POST", "/api/rights", AdminCodec.writePublication(baseVersion, file.readText())),
        )
    }
}

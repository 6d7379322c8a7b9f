package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import plankwall.wire.AdminCodec
import java.io.File

@Command(
    name = "publish",
    description = ["Make a text the rights that hold, everywhere within a second."],
    mixinStandardHelpOptions = true,
)
class PublishRights : RemoteRights() {
    @Parameters(paramLabel = "FILE")
    lateinit var file: File

    @Option(
        names = ["--base"],
        paramLabel = "N",
        description = ["The version it follows, if another one in between is to stop it. Default: the present one."],
    )
    var base: Long? = null

    override fun call(): Int {
        readPolicy(file)
        val follows = base ?: current()?.version ?: return 1
        return calls.report(calls.ask("POST", "/api/rights", AdminCodec.publish(follows, file.readText())))
    }
}

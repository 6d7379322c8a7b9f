package plankwall.cli.access

import picocli.CommandLine.Mixin
import plankwall.cli.remote.NodeCalls
import plankwall.cli.settings.InvalidSettingsException
import plankwall.wire.AdminCodec
import plankwall.wire.MalformedMessageException
import java.util.concurrent.Callable

/** What the commands share that ask a node about its policy. */
abstract class RemoteRights : Callable<Int> {
    @Mixin
    protected lateinit var calls: NodeCalls

    /** The policy at [path]; null, with a line that says why, if the node does not give it. */
    protected fun current(path: String = "/api/rights"): AdminCodec.RightsView? {
        val answer = calls.ask("GET", path)
        if (answer == null || !answer.isSuccess) {
            if (answer != null) calls.report(answer)
            return null
        }
        return try {
            AdminCodec.readRights(answer.body.encodeToByteArray())
        } catch (e: MalformedMessageException) {
            throw InvalidSettingsException("the answer can't be read: ${e.message}", e)
        }
    }
}

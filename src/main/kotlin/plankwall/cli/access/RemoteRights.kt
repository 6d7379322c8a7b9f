package plankwall.cli.access

import picocli.CommandLine.Mixin
import plankwall.cli.remote.NodeCalls
import plankwall.cli.settings.InvalidSettingsException
import plankwall.wire.AdminCodec
import plankwall.wire.MalformedMessageException
import java.util.concurrent.Callable

/** The base of the commands that read or publish the policy through a node. */
abstract class RemoteRights : Callable<Int> {
    @Mixin
    protected lateinit var calls: NodeCalls

    /** Returns the policy at [path]; null, with the reason printed, if the node does not answer with it. */
    protected fun fetchPolicy(path: String = "/api/rights"): AdminCodec.RightsView? {
        val answer = calls.sendRequest("GET", path)
        if (answer == null || !answer.isSuccess) {
            if (answer != null) calls.printAnswer(answer)
            return null
        }
        return try {
            AdminCodec.readRights(answer.body.encodeToByteArray())
        } catch (e: MalformedMessageException) {
            throw InvalidSettingsException("the node's answer can't be read: ${e.message}", e)
        }
    }
}

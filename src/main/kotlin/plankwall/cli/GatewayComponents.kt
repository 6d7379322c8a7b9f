package plankwall.cli

import plankwall.cli.settings.InvalidSettingsException
import plankwall.gateway.AccessGateway
import plankwall.gateway.GatewaySettings
import plankwall.identity.PeerAuthenticator
import plankwall.identity.PeerFrameSigner
import plankwall.io.AccessComponents
import plankwall.model.Settings
import plankwall.wire.FrameSigner

/** Creates the components that authenticate the callers and peers of a node. */
internal object GatewayComponents {
    /**
     * Creates them for the node of [settings]. Throws [InvalidSettingsException] if the private key in
     * [gatewaySettings] belongs to another principal than this node.
     */
    fun create(gatewaySettings: GatewaySettings, settings: Settings): AccessComponents {
        val nodeKey = gatewaySettings.nodeKey
        if (nodeKey != null && nodeKey.principal != settings.node) {
            throw InvalidSettingsException(
                "node_key_file",
                "the key belongs to ${nodeKey.principal}, but this node is ${settings.node}",
            )
        }
        // The gateway, which knows from where peers may connect, is created with the controller, after this function
        // has returned.
        var gateway: AccessGateway? = null
        val toleranceMs = gatewaySettings.clockToleranceMs + settings.timeBoundMs.toLong() + 1
        val createFrameSigner: ((Long) -> FrameSigner)? = if (gatewaySettings.peerKeys.isEmpty()) {
            null
        } else {
            { incarnation ->
                PeerAuthenticator(
                    PeerFrameSigner(
                        settings.node,
                        incarnation,
                        gatewaySettings.peerKeys,
                        gatewaySettings.allowUnsignedPeers,
                        toleranceMs,
                    ),
                ) {
                    gateway?.peerNetworks
                }
            }
        }
        return AccessComponents(
            { context -> AccessGateway(context, gatewaySettings).also { gateway = it } },
            createFrameSigner,
        )
    }
}

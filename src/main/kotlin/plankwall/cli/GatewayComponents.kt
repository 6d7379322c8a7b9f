package plankwall.cli

import plankwall.cli.settings.InvalidSettingsException
import plankwall.gateway.AccessGateway
import plankwall.gateway.GatewaySettings
import plankwall.identity.PeerAuthenticator
import plankwall.identity.PeerSeal
import plankwall.io.AccessComponents
import plankwall.model.Settings
import plankwall.wire.FrameSeal

/** Builds what authenticates the callers and peers of a node. */
internal object GatewayComponents {
    fun of(gatewaySettings: GatewaySettings, settings: Settings): AccessComponents {
        val key = gatewaySettings.nodeKey
        if (key != null && key.principal != settings.node) {
            throw InvalidSettingsException(
                "node_key_file",
                "the key is ${key.principal}'s, this node is ${settings.node}",
            )
        }
        var gateway: AccessGateway? = null
        val toleranceMs = gatewaySettings.clockToleranceMs + settings.timeBoundMs.toLong() + 1
        val frames: ((Long) -> FrameSeal)? = if (gatewaySettings.peerKeys.isEmpty()) {
            null
        } else {
            { incarnation ->
                PeerAuthenticator(
                    PeerSeal(
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
        return AccessComponents({ ctx -> AccessGateway(ctx, gatewaySettings).also { gateway = it } }, frames)
    }
}

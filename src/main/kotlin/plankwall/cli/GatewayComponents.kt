package plankwall.cli

import plankwall.cli.settings.InvalidSettingsException
import plankwall.gateway.AccessGateway
import plankwall.gateway.GatewaySettings
import plankwall.identity.PeerAuthenticator
import plankwall.identity.PeerSeal
import plankwall.io.AccessComponents
import plankwall.model.Settings
import plankwall.wire.FrameSeal

/** Builds the access gateway and the peers' authenticator of a node with identities. */
internal object GatewayComponents {
    fun of(gate: GatewaySettings, settings: Settings): AccessComponents {
        val key = gate.nodeKey
        if (key != null && key.principal != settings.node) {
            throw InvalidSettingsException(
                "node_key_file: the key is ${key.principal}'s, this node is ${settings.node}",
            )
        }
        var gateway: AccessGateway? = null
        val toleranceMs = gate.clockToleranceMs + settings.timeBoundMs.toLong() + 1
        val frames: ((Long) -> FrameSeal)? = if (gate.peerKeys.isEmpty()) {
            null
        } else {
            { incarnation ->
                PeerAuthenticator(
                    PeerSeal(settings.node, incarnation, gate.peerKeys, gate.allowUnsignedPeers, toleranceMs),
                ) {
                    gateway?.peerNetworks
                }
            }
        }
        return AccessComponents({ ctx -> AccessGateway(ctx, gate).also { gateway = it } }, frames)
    }
}

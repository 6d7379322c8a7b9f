package plankwall.cli

import plankwall.cli.settings.BadSettings
import plankwall.gateway.GateSettings
import plankwall.gateway.Gatehouse
import plankwall.identity.PeerDoor
import plankwall.identity.PeerSeal
import plankwall.io.Identities
import plankwall.model.Settings
import plankwall.wire.FrameSeal

/** Builds what stands at the doors of a node whose operators want to know who asks. */
internal object GateParts {
    fun of(gate: GateSettings, settings: Settings): Identities {
        val key = gate.nodeKey
        if (key != null &&
            key.principal != settings.node
        ) {
            throw BadSettings("node_key_file: the key is ${key.principal}'s, this node is ${settings.node}")
        }
        var house: Gatehouse? = null
        val toleranceMs = gate.clockToleranceMs + settings.timeBoundMs.toLong() + 1
        val frames: ((Long) -> FrameSeal)? = if (gate.peerKeys.isEmpty()) {
            null
        } else {
            { incarnation ->
                PeerDoor(PeerSeal(settings.node, incarnation, gate.peerKeys, gate.allowUnsignedPeers, toleranceMs)) {
                    house?.peerNetworks
                }
            }
        }
        return Identities({ ctx -> Gatehouse(ctx, gate).also { house = it } }, frames)
    }
}

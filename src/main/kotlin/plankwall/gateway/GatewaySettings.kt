package plankwall.gateway

import plankwall.identity.PeerKey
import plankwall.identity.SigningKey

/** The settings of the access gateway and the audit log. */
class GatewaySettings(
    /** The name of this installation. Tokens are accepted only if they name it as their audience. */
    val audience: String,
    /** The text of the policy that is published if the state service holds none; null to publish none. */
    val initialPolicyText: String? = null,
    /** The key with which this node signs checkpoints (seals) of the audit log; null to write none. */
    val nodeKey: SigningKey? = null,
    /** The keys for frames of peers. The first one signs, all are accepted. If empty, frames are unsigned. */
    val peerKeys: List<PeerKey> = emptyList(),
    /** Whether unsigned frames of peers are accepted too, which is needed while peer keys are being introduced. */
    val allowUnsignedPeers: Boolean = false,
    /** The maximum difference between the clocks of two machines, in milliseconds. */
    val clockToleranceMs: Long = 2_000,
    /** The longest lifetime of a token, in seconds. */
    val maxTokenLifetimeS: Double = 60.0,
    /** The seconds without a successful read of the policy after which callers may only read their own jobs. */
    val maxPolicyAgeS: Double = 5.0,
    /** The share, from 0 to 1, of the state service's write rate that the audit logs of all nodes may use together. */
    val auditLogWriteShare: Double = 0.2,
    /** The seconds between two checkpoints of the audit log. */
    val checkpointIntervalS: Double = 60.0,
    /** The denials a second for one principal or network beyond which its requests get status 429 unchecked. */
    val denialsPerS: Double = 2.0,
    /** The number of denials that one principal or network may use up at once. */
    val denialBurst: Double = 20.0,
    /** Whether heartbeats are accepted only from the address that the cloud lists for the worker's machine. */
    val workersAtListedAddress: Boolean = true,
)

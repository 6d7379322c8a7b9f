package plankwall.gateway

import plankwall.identity.PeerKey
import plankwall.identity.SigningKey

/** The settings of the access gateway and the audit log. Times in seconds unless the name says otherwise. */
class GatewaySettings(
    /** The name that tokens must be meant for: one for each installation. */
    val audience: String,
    /** The text of the first policy, for a state service that holds none. */
    val firstRights: String? = null,
    /** Signs checkpoints; null: none are written. */
    val nodeKey: SigningKey? = null,
    /** All of them are accepted, the first signs. Empty: frames of peers are not signed. */
    val peerKeys: List<PeerKey> = emptyList(),
    /** While keys are introduced: frames without a signature are accepted as well. */
    val allowUnsignedPeers: Boolean = false,
    val clockToleranceMs: Long = 2_000,
    val maxTokenS: Double = 60.0,
    /** After so long without having read the policy only one's own jobs may be read. */
    val failClosedS: Double = 5.0,
    /** The part of the state service's rate of changes that the audit log may use. */
    val trailShare: Double = 0.2,
    val sealS: Double = 60.0,
    /** Denials a second that one principal, or one network, is answered before it gets 429 unchecked. */
    val denialsPerS: Double = 2.0,
    val denialBurst: Double = 20.0,
    /** A worker must be at the address that the cloud lists for its machine. */
    val workersAtListedAddress: Boolean = true,
)

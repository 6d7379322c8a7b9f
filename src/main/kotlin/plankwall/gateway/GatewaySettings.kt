package plankwall.gateway

import plankwall.identity.PeerKey
import plankwall.identity.SigningKey

/** What the operators set about identities and trail. Times in seconds unless the name says otherwise. */
class GatewaySettings(
    /** The name that tokens must be meant for: one for each installation. */
    val audience: String,
    /** The text of the first version of the rights, for a state service that holds none. */
    val firstRights: String? = null,
    /** Signs checkpoints; null: none are written. */
    val nodeKey: SigningKey? = null,
    /** All of them are believed, the first signs. None: frames of peers are not signed. */
    val peerKeys: List<PeerKey> = emptyList(),
    /** While keys are being brought in: frames without a signature are believed as well. */
    val allowUnsignedPeers: Boolean = false,
    val clockToleranceMs: Long = 2_000,
    val maxTokenS: Double = 60.0,
    /** After so long without the state service, or without having read the rights, only own jobs may be looked at. */
    val failClosedS: Double = 5.0,
    /** The part of the state service's rate of changes that the trail may use. */
    val trailShare: Double = 0.2,
    val sealS: Double = 60.0,
    /** Denials a second that one principal, or one network, is answered before it gets 429 unjudged. */
    val denialsPerS: Double = 2.0,
    val denialBurst: Double = 20.0,
    /** A worker must be at the address that the cloud lists for its machine. */
    val workersAtListedAddress: Boolean = true,
)

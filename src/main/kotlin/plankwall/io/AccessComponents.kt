package plankwall.io

import plankwall.core.statemachine.AccessCheck
import plankwall.core.statemachine.Context
import plankwall.wire.FrameSigner

/**
 * The factories that a [Daemon] needs to authenticate its callers and peers.
 *
 * @property createAccessCheck creates the access check in front of the users' API, for the context of one controller
 * @property createFrameSigner creates the authentication of peer frames for one incarnation of the process; null if the
 *   operators configured no keys for peers
 */
class AccessComponents(
    val createAccessCheck: (Context) -> AccessCheck,
    val createFrameSigner: ((incarnation: Long) -> FrameSigner)?,
)

package plankwall.io

import plankwall.core.statemachine.AccessCheck
import plankwall.core.statemachine.Context
import plankwall.wire.FrameSeal

/**
 * What a daemon needs to authenticate its callers and peers. [frames] makes the seal of frames for one incarnation of
 * the process; null where the operators configured no keys for peers.
 */
class AccessComponents(val gate: (Context) -> AccessCheck, val frames: ((incarnation: Long) -> FrameSeal)?)

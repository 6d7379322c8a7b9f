package plankwall.io

import plankwall.core.statemachine.AccessCheck
import plankwall.core.statemachine.Context
import plankwall.wire.FrameSeal

/** What a daemon that wants to know who asks is given. [frames] makes the seal of this life of the process. */
class AccessComponents(val gate: (Context) -> AccessCheck, val frames: ((incarnation: Long) -> FrameSeal)?)

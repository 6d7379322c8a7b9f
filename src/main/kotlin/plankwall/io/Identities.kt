package plankwall.io

import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Gate
import plankwall.wire.FrameSeal

/** What a daemon that wants to know who asks is given. [frames] makes the seal of this life of the process. */
class Identities(val gate: (Context) -> Gate, val frames: ((incarnation: Long) -> FrameSeal)?)

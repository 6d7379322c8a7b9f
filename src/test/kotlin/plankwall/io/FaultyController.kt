package plankwall.io

import plankwall.core.statemachine.AccessCheck
import plankwall.core.statemachine.AdminRequest
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Credentials
import plankwall.core.statemachine.LeaseAuthority
import plankwall.core.statemachine.RequestId
import plankwall.model.Address
import plankwall.model.Peer
import plankwall.model.Tuning
import plankwall.simulation.SimulatedCluster
import plankwall.wire.FrameSigner
import plankwall.wire.Keys
import plankwall.wire.PeerCodec
import plankwall.wire.PeerMessage
import plankwall.wire.StateOp

/**
 * The program of a controller process of a test, which fails in one place. Its arguments are the number of the node, the
 * place, whether an error or an exception is raised there, the address of the state service, and the front port of each
 * node; peers listen on the port after that.
 */
object FaultyController {
    /** The ticks after which the fault is raised, so that the process has begun to serve. */
    private const val TICKS_BEFORE_FAULT = 5

    @JvmStatic
    fun main(args: Array<String>) {
        val node = args[0].toInt()
        val (place, kind, services) = args.drop(1)
        val ports = args.drop(4).map { it.toInt() }
        val settings = SimulatedCluster.settings("n$node", ports.size).copy(
            front = Address("127.0.0.1", ports[node]),
            internal = Address("127.0.0.1", ports[node] + 1),
            peers = ports.indices.minus(node).map { Peer("n$it", "a", "127.0.0.1", ports[it] + 1) },
            stateAddress = checkNotNull(Address.parse(services)),
            cloudAddress = checkNotNull(Address.parse(services)),
        )
        val components = AccessComponents({ FaultyAccessCheck(it, place, kind) }, { FaultySigner(place, kind) })
        ControllerProcess.run(settings, Tuning(), components)
    }

    private fun raise(kind: String): Nothing = if (kind == "error") throw StackOverflowError() else error("planted")

    private class FaultyAccessCheck(private val ctx: Context, private val place: String, private val kind: String) :
        AccessCheck {
        private var ticks = 0

        override fun authenticate(request: RequestId, credentials: Credentials, onAuthenticated: (Caller) -> Unit) {
            if (place == "request") raise(kind)
            ctx.out.answer(request, 401, ByteArray(0))
        }

        override fun handleAdmin(request: RequestId, credentials: Credentials, adminRequest: AdminRequest) = Unit

        override fun heartbeatRefusal(address: String, claimed: String, listed: String?): String? = null

        override fun tick(authority: LeaseAuthority?) {
            if (++ticks != TICKS_BEFORE_FAULT && !(place == "leader" && authority != null)) return
            when (place) {
                "tick" -> raise(kind)
                "leader" -> if (authority != null) raise(kind)
                "store reply" -> ctx.out.state(StateOp.Get(Keys.LEVEL)) { raise(kind) }
            }
        }
    }

    private class FaultySigner(private val place: String, private val kind: String) : FrameSigner {
        override val overhead = 0

        override fun sign(frame: ByteArray, wallMs: Long): ByteArray = frame

        override fun verify(received: ByteArray, wallMs: Long): PeerMessage =
            if (place == "peer frame") raise(kind) else PeerCodec.read(received)

        override fun admits(address: String): Boolean = true
    }
}

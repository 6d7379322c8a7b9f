package plankwall.simulation

import plankwall.core.Controller
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.core.statemachine.RequestId
import plankwall.gateway.AccessGateway
import plankwall.gateway.GatewaySettings
import plankwall.identity.PeerAuthenticator
import plankwall.identity.PeerSeal
import plankwall.model.Settings
import plankwall.wire.PeerCodec
import plankwall.wire.PeerMessage
import plankwall.wire.PeerStatus
import plankwall.wire.ProgressUpdate

/**
 * One controller of a [SimulatedCluster]: the real core with virtual clocks; [ControllerEffects] carries its calls to
 * the stand-ins over links that may fail.
 */
class SimulatedController(private val cluster: SimulatedCluster, val name: String, private val ownSettings: Settings) {
    private class LateInput(val processNumber: Int, val input: Input)

    private val clock = cluster.clock
    private val effects = ControllerEffects(cluster, this)
    private var core: Controller? = null
    private var nextRequest = 1L
    private val callers = HashMap<RequestId, (Int, ByteArray) -> Unit>()
    private var peerAuthenticator: PeerAuthenticator? = null
    private var frozenUntil = 0.0
    private val inputsWhileFrozen = ArrayList<LateInput>()

    /** Rises as the process starts and as it ends: what belongs to an earlier process is dropped. */
    internal var processNumber = 0
        private set

    /** The access gateway of the present process, where the cluster has gateways. */
    var accessGateway: AccessGateway? = null
        private set
    private val clockRate = 1.0 + (cluster.random.nextDouble() - 0.5) * 0.0009

    /** Whether the process runs. */
    val up: Boolean get() = core != null

    /** Whether this controller is the leader. */
    val leading: Boolean get() = core?.leading == true

    /** Whether the process stands still. */
    val frozen: Boolean get() = clock.now < frozenUntil

    /** Starts a new process. */
    fun start() {
        processNumber++
        val gateway = cluster.gatewaySettings?.invoke(name)
        val incarnation = processNumber.toLong() * 1_000_000 + name.hashCode() % 1000
        core = Controller(
            ownSettings,
            cluster.tuning,
            incarnation,
            cluster.random.nextLong(),
            gateway?.let { settings -> { ctx -> AccessGateway(ctx, settings).also { accessGateway = it } } },
        )
        peerAuthenticator = gateway?.let { newPeerAuthenticator(it, incarnation) }
        val startedAs = processNumber
        fun tick() {
            if (processNumber != startedAs || core == null) return
            onInput(Input.Tick)
            clock.after(TICK_S) { tick() }
        }
        clock.after(cluster.random.nextDouble() * TICK_S) { tick() }
    }

    private fun newPeerAuthenticator(gateway: GatewaySettings, incarnation: Long) = PeerAuthenticator(
        PeerSeal(name, incarnation, gateway.peerKeys, gateway.allowUnsignedPeers, gateway.clockToleranceMs),
    ) {
        null
    }

    /** Ends the process; the next one starts after [backAfter] seconds. */
    fun crash(backAfter: Double) {
        core = null
        processNumber++
        callers.clear()
        clock.after(backAfter) { start() }
    }

    /** Stands still for [forS] seconds while its clocks run on; inputs wait and are processed afterwards, in order. */
    fun freeze(forS: Double) {
        frozenUntil = clock.now + forS
        clock.after(forS) {
            val late = inputsWhileFrozen.toList()
            inputsWhileFrozen.clear()
            late.forEach { if (it.processNumber == processNumber) onInput(it.input) }
        }
    }

    /** Lets the core process [input], and carries out the effects. */
    fun onInput(input: Input) {
        val controller = core ?: return
        if (clock.now < frozenUntil) {
            if (input != Input.Tick) inputsWhileFrozen.add(LateInput(processNumber, input))
            return
        }
        val wasLeading = controller.leading
        val wanted = controller.step(clock.now * clockRate + 1000, cluster.wallMs(), input)
        if (controller.leading && !wasLeading) cluster.onElected(this)
        for (effect in wanted) {
            effects.perform(effect)
            // The remaining effects are lost with the process.
            if (core == null) return
        }
    }

    /** Receives the bytes of a frame from another controller, or from anybody who pretends to be one. */
    fun onFrame(bytes: ByteArray) {
        val authenticator = peerAuthenticator
        val sent = if (authenticator == null) PeerCodec.read(bytes) else authenticator.open(bytes, cluster.wallMs())
        val message = sent?.let(::asOwnVersion)
        check(!isPreviousVersion || (message is PeerStatus || message is ProgressUpdate)) {
            "a frame that $name can't read"
        }
        if (message != null) onInput(Input.PeerMessageReceived(message))
    }

    /** The bytes of the frame that carries [message] to other controllers. */
    internal fun frameOf(message: PeerMessage): ByteArray {
        val plain = PeerCodec.write(asOwnVersion(message))
        return peerAuthenticator?.seal(plain, cluster.wallMs()) ?: plain
    }

    private val isPreviousVersion: Boolean get() = name in cluster.faults.previousVersionNodes

    /** The previous version neither sends nor reads some fields. */
    private fun asOwnVersion(message: PeerMessage): PeerMessage = if (isPreviousVersion && message is PeerStatus) {
        message.copy(links = null, cancellations = null, sessions = null)
    } else {
        message
    }

    /** Sends a request to the process if it runs; [then] gets the answer. */
    fun sendRequest(input: (RequestId) -> Input, then: (status: Int, body: ByteArray) -> Unit) {
        if (core == null) return
        val request = RequestId(nextRequest++)
        callers[request] = then
        onInput(input(request))
    }

    internal fun answer(effect: Effect.Answer) {
        callers.remove(effect.request)?.invoke(effect.status, effect.body)
    }

    private companion object {
        const val TICK_S = 0.1
    }
}

package plankwall.simulation

import plankwall.core.Controller
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.core.statemachine.RequestId
import plankwall.gateway.AccessGateway
import plankwall.gateway.GatewaySettings
import plankwall.identity.PeerAuthenticator
import plankwall.identity.PeerFrameSigner
import plankwall.model.Settings
import plankwall.wire.PeerCodec
import plankwall.wire.PeerMessage
import plankwall.wire.PeerStatus
import plankwall.wire.ProgressUpdate

/**
 * One controller of a [SimulatedCluster]: the real core with virtual clocks. [ControllerEffects] performs the effects
 * that the core requests, against the simulated store, cloud, workers and controllers.
 */
class SimulatedController(private val cluster: SimulatedCluster, val name: String, private val ownSettings: Settings) {
    /** An input that arrived while the process was frozen. */
    private class DeferredInput(val processNumber: Int, val input: Input)

    private val clock = cluster.clock
    private val effects = ControllerEffects(cluster, this)
    private var core: Controller? = null
    private var nextRequest = 1L
    private val answerCallbacks = HashMap<RequestId, (Int, ByteArray) -> Unit>()
    private var peerAuthenticator: PeerAuthenticator? = null
    private var frozenUntil = 0.0
    private val inputsWhileFrozen = ArrayList<DeferredInput>()

    /** Rises when the process starts and when it ends; answers for an earlier process are dropped by it. */
    internal var processNumber = 0
        private set

    /** The access gateway of the current process, or null if the cluster has no gateways. */
    var accessGateway: AccessGateway? = null
        private set

    /** The rate of this controller's clock against virtual time, up to 0.045 % off. */
    private val clockRate = 1.0 + (cluster.random.nextDouble() - 0.5) * 0.0009

    /** Whether the process runs. */
    val isUp: Boolean get() = core != null

    /** Whether this controller is the leader. */
    val isLeader: Boolean get() = core?.isLeader == true

    /** Whether the process is frozen, see [freeze]. */
    val isFrozen: Boolean get() = clock.now < frozenUntil

    /** Starts a new process, with an empty core and a new incarnation number. */
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
        val startedProcessNumber = processNumber
        fun tick() {
            if (processNumber != startedProcessNumber || core == null) return
            onInput(Input.Tick)
            clock.after(TICK_S) { tick() }
        }
        clock.after(cluster.random.nextDouble() * TICK_S) { tick() }
    }

    private fun newPeerAuthenticator(gateway: GatewaySettings, incarnation: Long) = PeerAuthenticator(
        PeerFrameSigner(name, incarnation, gateway.peerKeys, gateway.allowUnsignedPeers, gateway.clockToleranceMs),
    ) {
        null
    }

    /** Ends the process; the next one starts after [restartAfterS] seconds. */
    fun crash(restartAfterS: Double) {
        core = null
        processNumber++
        answerCallbacks.clear()
        clock.after(restartAfterS) { start() }
    }

    /**
     * Freezes the process for [durationS] seconds while its clocks run on; inputs are processed afterwards, in order.
     */
    fun freeze(durationS: Double) {
        frozenUntil = clock.now + durationS
        clock.after(durationS) {
            val deferredInputs = inputsWhileFrozen.toList()
            inputsWhileFrozen.clear()
            deferredInputs.forEach { if (it.processNumber == processNumber) onInput(it.input) }
        }
    }

    /** Passes [input] to the core and performs the effects that it requests; does nothing if the process is down. */
    fun onInput(input: Input) {
        val runningCore = core ?: return
        if (clock.now < frozenUntil) {
            if (input != Input.Tick) inputsWhileFrozen.add(DeferredInput(processNumber, input))
            return
        }
        val wasLeading = runningCore.isLeader
        val requestedEffects = runningCore.step(clock.now * clockRate + 1000, cluster.wallMs(), input)
        if (runningCore.isLeader && !wasLeading) cluster.onElected(this)
        for (effect in requestedEffects) {
            effects.perform(effect)
            // An effect may end the process; the remaining ones are lost with it.
            if (core == null) return
        }
    }

    /**
     * Receives the bytes of a frame from another controller; with a gateway, a frame whose signature is not valid is
     * dropped.
     */
    fun onFrame(bytes: ByteArray) {
        val authenticator = peerAuthenticator
        val received = if (authenticator ==
            null
        ) {
            PeerCodec.read(bytes)
        } else {
            authenticator.verify(bytes, cluster.wallMs())
        }
        val message = received?.let(::asOwnVersion)
        check(!isPreviousVersion || (message is PeerStatus || message is ProgressUpdate)) {
            "$name, a controller of the previous version, got a frame of a kind that it can't read"
        }
        if (message != null) onInput(Input.PeerMessageReceived(message))
    }

    /**
     * Returns the bytes of the frame that carries [message] to other controllers, signed if the cluster has gateways.
     */
    internal fun frameOf(message: PeerMessage): ByteArray {
        val plain = PeerCodec.write(asOwnVersion(message))
        return peerAuthenticator?.sign(plain, cluster.wallMs()) ?: plain
    }

    private val isPreviousVersion: Boolean get() = name in cluster.faults.previousVersionNodes

    /** Returns [message] without the fields that the previous version neither sends nor reads, if this node runs it. */
    private fun asOwnVersion(message: PeerMessage): PeerMessage = if (isPreviousVersion && message is PeerStatus) {
        message.copy(links = null, cancellations = null, sessions = null)
    } else {
        message
    }

    /**
     * Sends a request to the process if it runs; [onAnswer] gets the answer, but is never called if the process ends
     * first.
     */
    fun sendRequest(input: (RequestId) -> Input, onAnswer: (status: Int, body: ByteArray) -> Unit) {
        if (core == null) return
        val request = RequestId(nextRequest++)
        answerCallbacks[request] = onAnswer
        onInput(input(request))
    }

    /** Passes the core's answer to the caller of its request. */
    internal fun answer(effect: Effect.Answer) {
        answerCallbacks.remove(effect.request)?.invoke(effect.status, effect.body)
    }

    private companion object {
        const val TICK_S = 0.1
    }
}

package plankwall.simulation

import plankwall.core.Controller
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.core.statemachine.RequestId
import plankwall.gateway.AccessGateway
import plankwall.identity.PeerAuthenticator
import plankwall.identity.PeerSeal
import plankwall.model.Settings
import plankwall.wire.CloudResult
import plankwall.wire.PeerCodec
import plankwall.wire.PeerStatus
import plankwall.wire.ProgressUpdate
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * One controller of a [SimulatedCluster]: the real core with virtual clocks; its calls go to the stand-ins over links that may
 * fail.
 */
class SimulatedController(private val cluster: SimulatedCluster, val name: String, private val own: Settings) {
    private val clock = cluster.clock
    private val state = cluster.state
    private val network: SimulatedNetwork get() = cluster.network
    private var core: Controller? = null
    private var life = 0
    private var nextRequest = 1L
    private val answers = HashMap<RequestId, (Int, ByteArray) -> Unit>()
    private var door: PeerAuthenticator? = null
    private var frozenUntil = 0.0
    private val backlog = ArrayList<Pair<Int, Input>>()

    /** The gate of the present life, where there are gates. */
    var accessGateway: AccessGateway? = null
        private set
    private val skew = 1.0 + (cluster.random.nextDouble() - 0.5) * 0.0009

    val up: Boolean get() = core != null
    val leading: Boolean get() = core?.leading == true
    val frozen: Boolean get() = clock.now < frozenUntil

    fun start() {
        life++
        val guarded = cluster.gatewaySettings?.invoke(name)
        val incarnation = life.toLong() * 1_000_000 + name.hashCode() % 1000
        core =
            Controller(
                own,
                cluster.tuning,
                incarnation,
                cluster.random.nextLong(),
                guarded?.let { g ->
                    { ctx ->
                        AccessGateway(ctx, g).also {
                            accessGateway =
                                it
                        }
                    }
                },
            )
        door =
            guarded?.let {
                PeerAuthenticator(
                    PeerSeal(name, incarnation, it.peerKeys, it.allowUnsignedPeers, it.clockToleranceMs),
                ) {
                    null
                }
            }
        val mine = life
        fun tick() {
            if (life != mine || core == null) return
            onInput(Input.Tick)
            clock.after(0.1) { tick() }
        }
        clock.after(cluster.random.nextDouble() * 0.1) { tick() }
    }

    fun crash(backAfter: Double) {
        core = null
        life++
        answers.clear()
        clock.after(backAfter) { start() }
    }

    /** Stands still while its clocks run on; what comes meanwhile is worked off afterwards, in order. */
    fun freeze(forS: Double) {
        frozenUntil = clock.now + forS
        clock.after(forS) {
            val late = backlog.toList()
            backlog.clear()
            late.forEach { (l, input) -> if (l == life) onInput(input) }
        }
    }

    fun onInput(input: Input) {
        val c = core ?: return
        if (clock.now < frozenUntil) {
            if (input != Input.Tick) backlog.add(life to input)
            return
        }
        val led = c.leading
        val effects = c.step(clock.now * skew + 1000, cluster.wallMs(), input)
        if (c.leading && !led) cluster.onElected(this)
        for (effect in effects) {
            perform(effect)
            // The rest of what it wanted done is lost with the process.
            if (core == null) return
        }
    }

    /** Bytes as they come over a link between controllers, from whomever. */
    fun onFrame(bytes: ByteArray) {
        val d = door
        val sent = if (d == null) PeerCodec.read(bytes) else d.open(bytes, cluster.wallMs())
        val message = if (name in cluster.previousVersionNodes &&
            sent is PeerStatus
        ) {
            sent.copy(links = null, cancellations = null, sessions = null)
        } else {
            sent
        }
        check(name !in cluster.previousVersionNodes || (message is PeerStatus || message is ProgressUpdate)) {
            "a frame that $name can't read"
        }
        if (message != null) onInput(Input.PeerMessageReceived(message))
    }

    fun sendRequest(input: (RequestId) -> Input, then: (Int, ByteArray) -> Unit) {
        if (core == null) return
        val request = RequestId(nextRequest++)
        answers[request] = then
        onInput(input(request))
    }

    private fun later(mine: Int, delay: Double, input: () -> Input) = clock.after(delay) {
        if (life ==
            mine
        ) {
            onInput(input())
        }
    }

    private fun perform(e: Effect) {
        val mine = life
        cluster.onEffect(this, e)
        if (life != mine) return
        when (e) {
            is Effect.Answer -> answers.remove(e.request)?.invoke(e.status, e.body)
            is Effect.StateCall -> stateCall(e, mine)
            is Effect.CloudCall -> cloudCall(e, mine)
            is Effect.WorkerPost -> if ("$name-workers" !in cluster.cuts) command(e, mine)
            is Effect.PeerSend -> if ("$name-peers" !in cluster.cuts) {
                val plain = PeerCodec.write(
                    if (name in cluster.previousVersionNodes &&
                        e.message is PeerStatus
                    ) {
                        e.message.copy(links = null, cancellations = null, sessions = null)
                    } else {
                        e.message
                    },
                )
                val bytes = door?.seal(plain, cluster.wallMs()) ?: plain
                cluster.nodes.filter {
                    it !== this &&
                        "${it.name}-peers" !in cluster.cuts &&
                        (e.to == null || e.to == it.name)
                }
                    .forEach { peer -> cluster.carryFrame(this, peer, bytes) }
            }
        }
    }

    private fun command(e: Effect.WorkerPost, mine: Int) {
        val worker = cluster.cloud.worker(e.address)?.takeIf { it.group.zone !in cluster.cutZones } ?: return
        if (worker.id in cluster.inboundBlocked) return cluster.countFault("commands lost")
        val zone = worker.group.zone
        val sentAt = clock.now
        network.carry(name, worker.id, zone, delayS = 0.01) {
            if (worker.hung) cluster.countFault("commands to the hung")
            worker.whenResumed {
                val answer = worker.command(SimulatedWorker.json.readTree(e.body))
                if (answer != null && clock.now - sentAt < COMMAND_TIMEOUT_S) {
                    network.carry(worker.id, name, zone, delayS = 0.01) {
                        if (life ==
                            mine
                        ) {
                            onInput(Input.WorkerReply(e.machine, answer.second))
                        }
                    }
                }
            }
        }
    }

    private fun stateCall(e: Effect.StateCall, mine: Int) {
        val answer = { result: StateResult -> later(mine, 0.005) { Input.StateReply(e.call, result) } }
        when {
            "$name-state" in cluster.cuts && e.op is StateOp.Watch -> clock.after(8.0) { answer(StateResult.Unknown) }
            "$name-state" in cluster.cuts -> answer(StateResult.Refused)
            e.op is StateOp.Txn && cluster.random.nextDouble() < cluster.lateWrites -> {
                // The caller gives up; the store executes it long after.
                cluster.countFault("late writes")
                later(mine, 1.5) { Input.StateReply(e.call, StateResult.Unknown) }
                clock.after(cluster.random.nextDouble() * 30) { state.run(e.op) {} }
            }
            e.op is StateOp.Txn &&
                cluster.lostCommitAnswers > 0 &&
                cluster.random.nextDouble() < cluster.lostCommitAnswers -> {
                cluster.countFault("lost answers")
                later(mine, 1.5) { Input.StateReply(e.call, StateResult.Unknown) }
                clock.after(0.005) {
                    state.run(e.op) {
                        if (it is StateResult.Committed) {
                            e.op.writes.forEach { w ->
                                cluster.countFault("lost answer: ${cluster.kindOf(w)}")
                            }
                        }
                    }
                }
            }
            else -> overWire(e, mine)
        }
    }

    private fun cloudCall(e: Effect.CloudCall, mine: Int) {
        val answer = once<CloudResult>(mine) { Input.CloudReply(e.call, it) }
        if (network.cutCount > 0) clock.after(CLOUD_TIMEOUT_S) { answer(CloudResult.Trouble) }
        network.carry(name, "cloud", delayS = 0.2, refused = { answer(CloudResult.Trouble) }) {
            val result = cluster.cloud.run(e.op)
            // Executed, but the answer is lost now and then.
            val told = if (cluster.random.nextDouble() < cluster.answerLoss) CloudResult.Trouble else result
            network.carry("cloud", name, delayS = 0.1, refused = { answer(CloudResult.Trouble) }) { answer(told) }
        }
    }

    /** One answer for each call: what comes after the caller has given up, or in another life, is heard by nobody. */
    private fun <R> once(mine: Int, input: (R) -> Input): (R) -> Unit {
        var open = true
        return { result ->
            if (open && life == mine) {
                open = false
                onInput(input(result))
            }
        }
    }

    private fun overWire(e: Effect.StateCall, mine: Int) {
        val answer = once<StateResult>(mine) { Input.StateReply(e.call, it) }
        if (network.cutCount >
            0
        ) {
            clock.after(
                (e.op as? StateOp.Watch)?.let {
                    it.waitMs / 1000.0 + 4.0
                } ?: 1.5,
            ) { answer(StateResult.Unknown) }
        }
        network.carry(name, "state", refused = { answer(StateResult.Refused) }) {
            state.run(e.op) { result ->
                whenServed(e.op) {
                    val told = if (e.op !is StateOp.Watch &&
                        cluster.random.nextDouble() < cluster.answerLoss
                    ) {
                        StateResult.Unknown
                    } else {
                        result
                    }
                    network.carry("state", name, refused = { answer(StateResult.Unknown) }) { answer(told) }
                }
            }
        }
    }

    /** The open watches of a node that is refused wait as they do in an outage. */
    private fun whenServed(op: StateOp, then: () -> Unit) {
        if (op is StateOp.Watch &&
            ("$name-state" in cluster.cuts || state.outage)
        ) {
            clock.after(0.1) { whenServed(op, then) }
        } else {
            then()
        }
    }

    private companion object {
        const val CLOUD_TIMEOUT_S = 5.0
        const val COMMAND_TIMEOUT_S = 3.0
    }
}

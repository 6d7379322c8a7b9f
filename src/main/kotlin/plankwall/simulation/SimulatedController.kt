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
class SimulatedController(private val world: SimulatedCluster, val name: String, private val own: Settings) {
    private val clock = world.clock
    private val state = world.state
    private val wiring: SimulatedNetwork get() = world.wiring
    private var core: Controller? = null
    private var life = 0
    private var nextRequest = 1L
    private val answers = HashMap<RequestId, (Int, ByteArray) -> Unit>()
    private var door: PeerAuthenticator? = null
    private var frozenUntil = 0.0
    private val backlog = ArrayList<Pair<Int, Input>>()

    /** The gate of the present life, where there are gates. */
    var house: AccessGateway? = null
        private set
    private val skew = 1.0 + (world.random.nextDouble() - 0.5) * 0.0009

    val up: Boolean get() = core != null
    val leading: Boolean get() = core?.leading == true
    val frozen: Boolean get() = clock.now < frozenUntil

    fun start() {
        life++
        val guarded = world.gate?.invoke(name)
        val incarnation = life.toLong() * 1_000_000 + name.hashCode() % 1000
        core =
            Controller(
                own,
                world.tuning,
                incarnation,
                world.random.nextLong(),
                guarded?.let { g ->
                    { ctx ->
                        AccessGateway(ctx, g).also {
                            house =
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
            feed(Input.Tick)
            clock.after(0.1) { tick() }
        }
        clock.after(world.random.nextDouble() * 0.1) { tick() }
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
            late.forEach { (l, input) -> if (l == life) feed(input) }
        }
    }

    fun feed(input: Input) {
        val c = core ?: return
        if (clock.now < frozenUntil) {
            if (input != Input.Tick) backlog.add(life to input)
            return
        }
        val led = c.leading
        val effects = c.step(clock.now * skew + 1000, world.wallMs(), input)
        if (c.leading && !led) world.won(this)
        for (effect in effects) {
            perform(effect)
            // The rest of what it wanted done is lost with the process.
            if (core == null) return
        }
    }

    /** Bytes as they come over a link between controllers, from whomever. */
    fun frame(bytes: ByteArray) {
        val d = door
        val sent = if (d == null) PeerCodec.read(bytes) else d.open(bytes, world.wallMs())
        val message = if (name in world.older &&
            sent is PeerStatus
        ) {
            sent.copy(links = null, cancellations = null, sessions = null)
        } else {
            sent
        }
        check(name !in world.older || (message is PeerStatus || message is ProgressUpdate)) {
            "a frame that $name can't read"
        }
        if (message != null) feed(Input.PeerMessageReceived(message))
    }

    fun ask(input: (RequestId) -> Input, then: (Int, ByteArray) -> Unit) {
        if (core == null) return
        val request = RequestId(nextRequest++)
        answers[request] = then
        feed(input(request))
    }

    private fun later(mine: Int, delay: Double, input: () -> Input) = clock.after(delay) {
        if (life ==
            mine
        ) {
            feed(input())
        }
    }

    private fun perform(e: Effect) {
        val mine = life
        world.onEffect(this, e)
        if (life != mine) return
        when (e) {
            is Effect.Answer -> answers.remove(e.request)?.invoke(e.status, e.body)
            is Effect.StateCall -> stateCall(e, mine)
            is Effect.CloudCall -> cloudCall(e, mine)
            is Effect.WorkerPost -> if ("$name-workers" !in world.cuts) command(e, mine)
            is Effect.PeerSend -> if ("$name-peers" !in world.cuts) {
                val plain = PeerCodec.write(
                    if (name in world.older &&
                        e.message is PeerStatus
                    ) {
                        e.message.copy(links = null, cancellations = null, sessions = null)
                    } else {
                        e.message
                    },
                )
                val bytes = door?.seal(plain, world.wallMs()) ?: plain
                world.nodes.filter {
                    it !== this &&
                        "${it.name}-peers" !in world.cuts &&
                        (e.to == null || e.to == it.name)
                }
                    .forEach { peer -> world.carryFrame(this, peer, bytes) }
            }
        }
    }

    private fun command(e: Effect.WorkerPost, mine: Int) {
        val worker = world.cloud.worker(e.address)?.takeIf { it.group.zone !in world.cutZones } ?: return
        if (worker.id in world.deaf) return world.feel("commands lost")
        val zone = worker.group.zone
        val sentAt = clock.now
        wiring.carry(name, worker.id, zone, delayS = 0.01) {
            if (worker.hung) world.feel("commands to the hung")
            worker.whenAwake {
                val answer = worker.command(SimulatedWorker.json.readTree(e.body))
                if (answer != null && clock.now - sentAt < COMMAND_PATIENCE_S) {
                    wiring.carry(worker.id, name, zone, delayS = 0.01) {
                        if (life ==
                            mine
                        ) {
                            feed(Input.WorkerReply(e.machine, answer.second))
                        }
                    }
                }
            }
        }
    }

    private fun stateCall(e: Effect.StateCall, mine: Int) {
        val answer = { result: StateResult -> later(mine, 0.005) { Input.StateReply(e.call, result) } }
        when {
            "$name-state" in world.cuts && e.op is StateOp.Watch -> clock.after(8.0) { answer(StateResult.Unknown) }
            "$name-state" in world.cuts -> answer(StateResult.Refused)
            e.op is StateOp.Txn && world.random.nextDouble() < world.lateWrites -> {
                // The caller gives up; the store executes it long after.
                world.feel("late writes")
                later(mine, 1.5) { Input.StateReply(e.call, StateResult.Unknown) }
                clock.after(world.random.nextDouble() * 30) { state.run(e.op) {} }
            }
            e.op is StateOp.Txn && world.lostAnswers > 0 && world.random.nextDouble() < world.lostAnswers -> {
                world.feel("lost answers")
                later(mine, 1.5) { Input.StateReply(e.call, StateResult.Unknown) }
                clock.after(0.005) {
                    state.run(e.op) {
                        if (it is StateResult.Committed) {
                            e.op.writes.forEach { w ->
                                world.feel("lost answer: ${world.kindOf(w)}")
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
        if (wiring.cuts > 0) clock.after(CLOUD_PATIENCE_S) { answer(CloudResult.Trouble) }
        wiring.carry(name, "cloud", delayS = 0.2, refused = { answer(CloudResult.Trouble) }) {
            val result = world.cloud.run(e.op)
            // Executed, but the answer is lost now and then.
            val told = if (world.random.nextDouble() < world.loss) CloudResult.Trouble else result
            wiring.carry("cloud", name, delayS = 0.1, refused = { answer(CloudResult.Trouble) }) { answer(told) }
        }
    }

    /** One answer for each call: what comes after the caller has given up, or in another life, is heard by nobody. */
    private fun <R> once(mine: Int, input: (R) -> Input): (R) -> Unit {
        var open = true
        return { result ->
            if (open && life == mine) {
                open = false
                feed(input(result))
            }
        }
    }

    private fun overWire(e: Effect.StateCall, mine: Int) {
        val answer = once<StateResult>(mine) { Input.StateReply(e.call, it) }
        if (wiring.cuts >
            0
        ) {
            clock.after(
                (e.op as? StateOp.Watch)?.let {
                    it.waitMs / 1000.0 + 4.0
                } ?: 1.5,
            ) { answer(StateResult.Unknown) }
        }
        wiring.carry(name, "state", refused = { answer(StateResult.Refused) }) {
            state.run(e.op) { result ->
                whenServed(e.op) {
                    val told = if (e.op !is StateOp.Watch &&
                        world.random.nextDouble() < world.loss
                    ) {
                        StateResult.Unknown
                    } else {
                        result
                    }
                    wiring.carry("state", name, refused = { answer(StateResult.Unknown) }) { answer(told) }
                }
            }
        }
    }

    /** The open watches of a node that is refused wait as they do in an outage. */
    private fun whenServed(op: StateOp, then: () -> Unit) {
        if (op is StateOp.Watch &&
            ("$name-state" in world.cuts || state.outage)
        ) {
            clock.after(0.1) { whenServed(op, then) }
        } else {
            then()
        }
    }

    private companion object {
        const val CLOUD_PATIENCE_S = 5.0
        const val COMMAND_PATIENCE_S = 3.0
    }
}

package plankwall.core.statemachine

import plankwall.model.ServiceLevelObjectives
import plankwall.model.Settings
import plankwall.model.SiteNames
import plankwall.model.Tuning
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import java.util.PriorityQueue
import java.util.Random

/** Seconds of the steady clock and milliseconds of the time of day, as of the input being handled. */
class Time {
    var now = 0.0
        private set
    var wallMs = 0L
        private set

    fun advance(now: Double, wallMs: Long) {
        // A clock that seems to step back must not make a lease look longer than it is.
        this.now = maxOf(this.now, now)
        this.wallMs = wallMs
    }
}

/** Collects what one step wants done, and keeps what is to follow once an answer comes. */
class Outbox {
    private var effects = ArrayList<Effect>()
    private var nextCall = 1L
    private val stateWaiting = HashMap<CallId, (StateResult) -> Unit>()
    private val cloudWaiting = HashMap<CallId, (CloudResult) -> Unit>()

    /** Hears every answer before whoever asked for it: what a link does is learned from all that passes over it. */
    var onState: (StateOp, StateResult) -> Unit = { _, _ -> }
    var onCloud: (CloudResult) -> Unit = {}

    fun add(effect: Effect) {
        effects.add(effect)
    }

    fun answer(request: RequestId, status: Int, body: ByteArray, retryAfterS: Int? = null, close: Boolean = false) =
        add(Effect.Answer(request, status, body, retryAfterS, close))

    fun state(op: StateOp, then: (StateResult) -> Unit) {
        val call = CallId(nextCall++)
        stateWaiting[call] = { result ->
            onState(op, result)
            then(result)
        }
        add(Effect.StateCall(call, op))
    }

    fun cloud(op: CloudOp, then: (CloudResult) -> Unit) {
        val call = CallId(nextCall++)
        cloudWaiting[call] = { result ->
            onCloud(result)
            then(result)
        }
        add(Effect.CloudCall(call, op))
    }

    fun resume(call: CallId, result: StateResult) {
        stateWaiting.remove(call)?.invoke(result)
    }

    fun resume(call: CallId, result: CloudResult) {
        cloudWaiting.remove(call)?.invoke(result)
    }

    fun drain(): List<Effect> {
        val taken = effects
        effects = ArrayList()
        return taken
    }
}

/** A rate with a burst, of one second's worth where nothing else is said. */
class TokenBucket(private val time: Time, private var perSecond: Double, private var burst: Double = perSecond) {
    private var left = burst
    private var at = 0.0

    /** From now on [rate] a second; what was saved up so far stays, as far as the new burst goes. */
    fun setRate(rate: Double) {
        available()
        perSecond = rate
        burst = rate
        left = minOf(left, burst)
    }

    fun available(): Double {
        left = minOf(burst, left + (time.now - at) * perSecond)
        at = time.now
        return left
    }

    /** Takes [n] whatever is left: what has been done anyway is made up for before anything else. */
    fun spend(n: Int) {
        available()
        left -= n
    }

    fun take(n: Int): Boolean {
        if (available() < n) return false
        left -= n
        return true
    }

    /**
     * Like [take], but what exceeds the whole burst is let through when it is full, or it would be refused for ever.
     */
    fun takeOrBorrow(n: Int): Boolean {
        if (available() < minOf(n.toDouble(), burst)) return false
        left -= n
        return true
    }
}

/** What all parts of the core share. */
class Context(val settings: Settings, val tuning: Tuning, val incarnation: Long, val random: Random) {
    val time = Time()
    val out = Outbox()
    val objectives = ServiceLevelObjectives(settings.objectives)
    val names = SiteNames(settings.teams.map { it.name })

    private val timers = PriorityQueue<Timer>(compareBy { it.at })

    private class Timer(val at: Double, val action: () -> Unit)

    val now: Double get() = time.now

    /** Runs [action] on the first tick after [delayS]. */
    fun runAfter(delayS: Double, action: () -> Unit) {
        timers.add(Timer(now + delayS, action))
    }

    fun runTimers() {
        while (timers.isNotEmpty() && timers.peek().at <= now) timers.poll().action()
    }

    /** How long a leader that lost the state service goes on answering check-ins (X in the design). */
    val outageGraceS: Double = tuning.outageGraceLeases * settings.workers.leaseS

    /** From this long after the report behind the last answer, a worker's lease is over by any clock. */
    val surelyOverS: Double = settings.workers.leaseS * 1.002 + 1.0
}

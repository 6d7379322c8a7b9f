package plankwall.simulation

import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.wire.CloudResult
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/** Carries out the effects of one [controller]: calls of the stand-ins over links that may fail, and their answers. */
internal class ControllerEffects(private val cluster: SimulatedCluster, private val controller: SimulatedController) {
    private val clock = cluster.clock
    private val state = cluster.state
    private val random = cluster.random
    private val name = controller.name
    private val faults: InjectedFaults get() = cluster.faults
    private val network: SimulatedNetwork get() = cluster.network

    fun perform(effect: Effect) {
        val process = controller.processNumber
        cluster.onEffect(controller, effect)
        if (controller.processNumber != process) return
        when (effect) {
            is Effect.Answer -> controller.answer(effect)
            is Effect.StateCall -> callStore(effect, process)
            is Effect.CloudCall -> callCloud(effect, process)
            is Effect.WorkerPost -> if ("$name-workers" !in faults.cuts) sendCommand(effect, process)
            is Effect.PeerSend -> if ("$name-peers" !in faults.cuts) sendToPeers(effect)
        }
    }

    private fun sendToPeers(effect: Effect.PeerSend) {
        val bytes = controller.frameOf(effect.message)
        cluster.nodes
            .filter {
                it !== controller && "${it.name}-peers" !in faults.cuts && (effect.to == null || effect.to == it.name)
            }
            .forEach { peer -> cluster.sendFrame(controller, peer, bytes) }
    }

    private fun sendCommand(effect: Effect.WorkerPost, process: Int) {
        val worker = cluster.cloud.worker(effect.address)?.takeIf { it.group.zone !in faults.cutZones } ?: return
        if (worker.id in faults.inboundBlocked) return faults.count("commands lost")
        val zone = worker.group.zone
        val sentAt = clock.now
        network.carry(name, worker.id, zone, delayS = COMMAND_DELAY_S) {
            if (worker.hung) faults.count("commands to the hung")
            worker.whenResumed {
                val answer = worker.command(SimulatedWorker.json.readTree(effect.body))
                if (answer != null && clock.now - sentAt < COMMAND_TIMEOUT_S) {
                    network.carry(worker.id, name, zone, delayS = COMMAND_DELAY_S) {
                        deliver(process, Input.WorkerReply(effect.machine, answer.second))
                    }
                }
            }
        }
    }

    private fun deliver(process: Int, input: Input) {
        if (controller.processNumber == process) controller.onInput(input)
    }

    private fun replyAfter(delayS: Double, process: Int, input: Input) = clock.after(delayS) { deliver(process, input) }

    private fun callStore(effect: Effect.StateCall, process: Int) {
        val isCut = "$name-state" in faults.cuts
        val op = effect.op
        val reply = { result: StateResult -> replyAfter(REPLY_DELAY_S, process, Input.StateReply(effect.call, result)) }
        when {
            isCut && op is StateOp.Watch -> clock.after(CUT_WATCH_S) { reply(StateResult.Unknown) }
            isCut -> reply(StateResult.Refused)
            op is StateOp.Txn && random.nextDouble() < faults.lateWrites -> {
                // The caller gives up; the store executes it long after.
                faults.count("late writes")
                replyAfter(STORE_TIMEOUT_S, process, Input.StateReply(effect.call, StateResult.Unknown))
                clock.after(random.nextDouble() * LATEST_WRITE_S) { state.run(op) {} }
            }
            op is StateOp.Txn && faults.lostCommitAnswers > 0 && random.nextDouble() < faults.lostCommitAnswers -> {
                faults.count("lost answers")
                replyAfter(STORE_TIMEOUT_S, process, Input.StateReply(effect.call, StateResult.Unknown))
                clock.after(REPLY_DELAY_S) { runWithoutAnswer(op) }
            }
            else -> callStoreOverNetwork(effect, process)
        }
    }

    private fun runWithoutAnswer(transaction: StateOp.Txn) = state.run(transaction) { result ->
        if (result is StateResult.Committed) {
            transaction.writes.forEach { faults.count("lost answer: ${keyPrefixOf(it)}") }
        }
    }

    private fun keyPrefixOf(write: Write): String = when (write) {
        is Write.Put -> write.key
        is Write.Remove -> write.key
    }.substringBefore('/')

    private fun callCloud(effect: Effect.CloudCall, process: Int) {
        val answer = firstAnswer<CloudResult>(process) { Input.CloudReply(effect.call, it) }
        if (network.cutCount > 0) clock.after(CLOUD_TIMEOUT_S) { answer(CloudResult.Trouble) }
        network.carry(name, "cloud", delayS = CLOUD_REQUEST_S, refused = { answer(CloudResult.Trouble) }) {
            val result = cluster.cloud.run(effect.op)
            // Executed, but the answer may be lost.
            val received = if (random.nextDouble() < faults.answerLoss) CloudResult.Trouble else result
            network.carry("cloud", name, delayS = CLOUD_ANSWER_S, refused = { answer(CloudResult.Trouble) }) {
                answer(received)
            }
        }
    }

    /** One answer for each call: later ones, and those for an earlier process, are dropped. */
    private fun <R> firstAnswer(process: Int, input: (R) -> Input): (R) -> Unit {
        var isOpen = true
        return { result ->
            if (isOpen && controller.processNumber == process) {
                isOpen = false
                controller.onInput(input(result))
            }
        }
    }

    private fun callStoreOverNetwork(effect: Effect.StateCall, process: Int) {
        val op = effect.op
        val answer = firstAnswer<StateResult>(process) { Input.StateReply(effect.call, it) }
        if (network.cutCount > 0) {
            val timeoutS = if (op is StateOp.Watch) op.waitMs / 1000.0 + WATCH_GRACE_S else STORE_TIMEOUT_S
            clock.after(timeoutS) { answer(StateResult.Unknown) }
        }
        network.carry(name, "state", refused = { answer(StateResult.Refused) }) {
            state.run(op) { result ->
                whenServed(op) {
                    val isLost = op !is StateOp.Watch && random.nextDouble() < faults.answerLoss
                    val received = if (isLost) StateResult.Unknown else result
                    network.carry("state", name, refused = { answer(StateResult.Unknown) }) { answer(received) }
                }
            }
        }
    }

    /** The open watches of a controller that the store refuses wait as they do in an outage. */
    private fun whenServed(op: StateOp, then: () -> Unit) {
        if (op is StateOp.Watch && ("$name-state" in faults.cuts || state.outage)) {
            clock.after(WATCH_RETRY_S) { whenServed(op, then) }
        } else {
            then()
        }
    }

    private companion object {
        const val CLOUD_TIMEOUT_S = 5.0
        const val CLOUD_REQUEST_S = 0.2
        const val CLOUD_ANSWER_S = 0.1
        const val COMMAND_TIMEOUT_S = 3.0
        const val COMMAND_DELAY_S = 0.01
        const val REPLY_DELAY_S = 0.005
        const val STORE_TIMEOUT_S = 1.5
        const val LATEST_WRITE_S = 30.0
        const val CUT_WATCH_S = 8.0
        const val WATCH_GRACE_S = 4.0
        const val WATCH_RETRY_S = 0.1
    }
}

package plankwall.simulation

import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.wire.CloudResult
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/** Performs the effects that the core of [controller] requests: calls over links that may fail, and their answers. */
internal class ControllerEffects(private val cluster: SimulatedCluster, private val controller: SimulatedController) {
    private val clock = cluster.clock
    private val state = cluster.state
    private val random = cluster.random
    private val name = controller.name
    private val faults: InjectedFaults get() = cluster.faults
    private val network: SimulatedNetwork get() = cluster.network

    /** Performs [effect] unless [SimulatedCluster.onEffect] ends the process first. */
    fun perform(effect: Effect) {
        val processNumber = controller.processNumber
        cluster.onEffect(controller, effect)
        if (controller.processNumber != processNumber) return
        when (effect) {
            is Effect.Answer -> controller.answer(effect)
            is Effect.StateCall -> callStore(effect, processNumber)
            is Effect.CloudCall -> callCloud(effect, processNumber)
            is Effect.WorkerPost -> if ("$name-workers" !in faults.cuts) sendCommand(effect, processNumber)
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

    private fun sendCommand(effect: Effect.WorkerPost, processNumber: Int) {
        val worker = cluster.cloud.worker(effect.address)?.takeIf { it.group.zone !in faults.cutZones } ?: return
        if (worker.id in faults.inboundBlocked) return faults.count("commands lost")
        val zone = worker.group.zone
        val sentAt = clock.now
        network.carry(name, worker.id, zone, delayS = COMMAND_DELAY_S) {
            if (worker.isHung) faults.count("commands to the hung")
            worker.runWhenResumed {
                val answer = worker.command(SimulatedWorker.json.readTree(effect.body))
                scheduleCopy(worker, effect)
                if (answer != null && clock.now - sentAt < COMMAND_TIMEOUT_S) {
                    network.carry(worker.id, name, zone, delayS = COMMAND_DELAY_S) {
                        deliver(processNumber, Input.WorkerReply(effect.machine, answer.second))
                    }
                }
            }
        }
    }

    /** Lets [worker] execute the command [effect] again later, with the probability that the faults set. */
    private fun scheduleCopy(worker: SimulatedWorker, effect: Effect.WorkerPost) {
        if (faults.lateCommandCopies == 0.0 || random.nextDouble() >= faults.lateCommandCopies) return
        clock.after(random.nextDouble() * 2 * cluster.settings.workers.leaseS) {
            worker.runWhenResumed {
                val answer = worker.command(SimulatedWorker.json.readTree(effect.body))
                if (answer?.first == HTTP_OK) faults.count("late copies of commands executed")
            }
        }
    }

    /** Passes [input] to the core unless the process for which it is intended has ended. */
    private fun deliver(processNumber: Int, input: Input) {
        if (controller.processNumber == processNumber) controller.onInput(input)
    }

    private fun replyAfter(delayS: Double, processNumber: Int, input: Input) =
        clock.after(delayS) { deliver(processNumber, input) }

    private fun callStore(effect: Effect.StateCall, processNumber: Int) {
        val isStoreCut = "$name-state" in faults.cuts
        val op = effect.op
        val replyLater = { result: StateResult ->
            replyAfter(REPLY_DELAY_S, processNumber, Input.StateReply(effect.call, result))
        }
        when {
            isStoreCut && op is StateOp.Watch -> clock.after(CUT_WATCH_TIMEOUT_S) { replyLater(StateResult.Unknown) }
            isStoreCut -> replyLater(StateResult.Refused)
            op is StateOp.Txn && random.nextDouble() < faults.lateWrites -> {
                // The caller gets no answer and stops waiting; the store executes the transaction, mostly after that.
                faults.count("late writes")
                replyAfter(STORE_TIMEOUT_S, processNumber, Input.StateReply(effect.call, StateResult.Unknown))
                clock.after(random.nextDouble() * MAX_LATE_WRITE_DELAY_S) { state.run(op) {} }
            }
            op is StateOp.Txn && faults.lostCommitAnswers > 0 && random.nextDouble() < faults.lostCommitAnswers -> {
                faults.count("lost answers")
                replyAfter(STORE_TIMEOUT_S, processNumber, Input.StateReply(effect.call, StateResult.Unknown))
                clock.after(REPLY_DELAY_S) { runWithoutAnswer(op) }
            }
            else -> callStoreOverNetwork(effect, processNumber)
        }
    }

    /** Runs [transaction] and counts the keys of a committed one, whose answer the caller never gets. */
    private fun runWithoutAnswer(transaction: StateOp.Txn) = state.run(transaction) { result ->
        if (result is StateResult.Committed) {
            transaction.writes.forEach { faults.count("lost answer: ${keyPrefixOf(it)}") }
        }
    }

    private fun keyPrefixOf(write: Write): String = when (write) {
        is Write.Put -> write.key
        is Write.Remove -> write.key
    }.substringBefore('/')

    private fun callCloud(effect: Effect.CloudCall, processNumber: Int) {
        val answerOnce = singleAnswerCallback<CloudResult>(processNumber) { Input.CloudReply(effect.call, it) }
        if (network.cutCount > 0) clock.after(CLOUD_TIMEOUT_S) { answerOnce(CloudResult.Trouble) }
        network.carry(name, "cloud", delayS = CLOUD_REQUEST_DELAY_S, onRefused = { answerOnce(CloudResult.Trouble) }) {
            val result = cluster.cloud.run(effect.op)
            // The cloud has executed the call, but its answer may be lost.
            val receivedResult = if (random.nextDouble() < faults.answerLoss) CloudResult.Trouble else result
            network.carry(
                "cloud",
                name,
                delayS = CLOUD_ANSWER_DELAY_S,
                onRefused = { answerOnce(CloudResult.Trouble) },
            ) {
                answerOnce(receivedResult)
            }
        }
    }

    /**
     * Returns a callback that passes on the first result of a call; later ones, and all after the process ended, are
     * dropped.
     */
    private fun <R> singleAnswerCallback(processNumber: Int, input: (R) -> Input): (R) -> Unit {
        var isOpen = true
        return { result ->
            if (isOpen && controller.processNumber == processNumber) {
                isOpen = false
                controller.onInput(input(result))
            }
        }
    }

    private fun callStoreOverNetwork(effect: Effect.StateCall, processNumber: Int) {
        val op = effect.op
        val answerOnce = singleAnswerCallback<StateResult>(processNumber) { Input.StateReply(effect.call, it) }
        if (network.cutCount > 0) {
            val timeoutS = if (op is StateOp.Watch) op.waitMs / 1000.0 + WATCH_TIMEOUT_MARGIN_S else STORE_TIMEOUT_S
            clock.after(timeoutS) { answerOnce(StateResult.Unknown) }
        }
        val isSlow = op !is StateOp.Watch && faults.slowStoreCalls > 0 && random.nextDouble() < faults.slowStoreCalls
        if (isSlow) faults.count("slow store calls")
        network.carry(name, "state", delayS = storeDelayS(isSlow), onRefused = { answerOnce(StateResult.Refused) }) {
            state.run(op) { result ->
                delayWhileWatchBlocked(op) {
                    val isLost = op !is StateOp.Watch && random.nextDouble() < faults.answerLoss
                    val receivedResult = if (isLost) StateResult.Unknown else StoreAnswers.asReceived(result)
                    network.carry(
                        "state",
                        name,
                        delayS = storeDelayS(isSlow),
                        onRefused = { answerOnce(StateResult.Unknown) },
                    ) {
                        answerOnce(receivedResult)
                    }
                }
            }
        }
    }

    private fun storeDelayS(isSlow: Boolean): Double =
        if (isSlow) random.nextDouble() * MAX_SLOW_STORE_DELAY_S else REPLY_DELAY_S

    /**
     * Calls [onServed] at once, but delays the answer to a watch while the store is down or cut off from the
     * controller.
     */
    private fun delayWhileWatchBlocked(op: StateOp, onServed: () -> Unit) {
        if (op is StateOp.Watch && ("$name-state" in faults.cuts || state.outage)) {
            clock.after(WATCH_RETRY_S) { delayWhileWatchBlocked(op, onServed) }
        } else {
            onServed()
        }
    }

    private companion object {
        const val CLOUD_TIMEOUT_S = 5.0
        const val CLOUD_REQUEST_DELAY_S = 0.2
        const val CLOUD_ANSWER_DELAY_S = 0.1
        const val COMMAND_TIMEOUT_S = 3.0
        const val COMMAND_DELAY_S = 0.01
        const val HTTP_OK = 200
        const val REPLY_DELAY_S = 0.005
        const val STORE_TIMEOUT_S = 1.5
        const val MAX_SLOW_STORE_DELAY_S = 0.6
        const val MAX_LATE_WRITE_DELAY_S = 30.0

        /** The time after which a watch over a cut link fails, in seconds; other store calls are refused at once. */
        const val CUT_WATCH_TIMEOUT_S = 8.0

        /** The maximum time, in seconds, by which a watch may exceed the time for which it was asked to wait. */
        const val WATCH_TIMEOUT_MARGIN_S = 4.0
        const val WATCH_RETRY_S = 0.1
    }
}

package plankwall.simulation

import com.fasterxml.jackson.databind.JsonNode
import plankwall.core.statemachine.Input
import plankwall.wire.HeartbeatSize
import plankwall.wire.HeartbeatStatus
import plankwall.wire.WorkerCodec

/** Carries heartbeats from workers to controllers and the answers back, subject to the cluster's [InjectedFaults]. */
internal class HeartbeatDelivery(private val cluster: SimulatedCluster) {
    private class HeartbeatCopy(val worker: SimulatedWorker, val heartbeat: HeartbeatStatus)

    private val clock = cluster.clock
    private val random = cluster.random
    private val faults = cluster.faults
    private val network = cluster.network

    /** Copies of heartbeats, kept until the next leader is elected. */
    private val copies = ArrayList<HeartbeatCopy>()

    /**
     * Sends [heartbeat] of [worker] to [node]. [onAnswer] gets the answer, or 503 if the link refuses the connection;
     * it is not called if the heartbeat or its answer is lost.
     */
    fun send(
        worker: SimulatedWorker,
        node: SimulatedController,
        heartbeat: HeartbeatStatus,
        onAnswer: (status: Int, body: JsonNode) -> Unit,
    ) {
        val zone = worker.group.zone
        if (!node.isUp || "${node.name}-workers" in faults.cuts || zone in faults.cutZones) return
        check(worker.id == heartbeat.machine)
        if (worker.id in faults.outboundBlocked) return faults.count("reports lost")
        if (isTooLong(heartbeat)) {
            faults.count("reports too long")
            network.carry(worker.id, node.name, zone) { onAnswer(BAD_REQUEST, NO_BODY) }
            return
        }
        keepOrScheduleCopies(worker, node, heartbeat)
        val sentAt = clock.now
        network.carry(worker.id, node.name, zone, onRefused = { onAnswer(UNAVAILABLE, NO_BODY) }) {
            if (node.isUp && clock.now - sentAt < SimulatedWorker.ANSWER_TIMEOUT_S) {
                cluster.onHeartbeatReceived(worker, node)
            }
            if (node.isUp) {
                node.sendRequest({ Input.Heartbeat(it, heartbeat) }) { status, body ->
                    deliverAnswer(worker, node, status, body, onAnswer)
                }
            }
        }
    }

    /** Whether [heartbeat] is longer than a request may be, so that every controller refuses it. */
    private fun isTooLong(heartbeat: HeartbeatStatus): Boolean = heartbeat.tasks.size > MANY_TASKS &&
        WorkerCodec.writeHeartbeat(heartbeat).size > HeartbeatSize.MAX_BODY_BYTES

    /** Keeps a copy for the next leader and schedules a late copy, each with the probability that the faults set. */
    private fun keepOrScheduleCopies(worker: SimulatedWorker, node: SimulatedController, heartbeat: HeartbeatStatus) {
        if (faults.copiesForNextLeader > 0 &&
            copies.size < MAX_COPIES &&
            random.nextDouble() < faults.copiesForNextLeader
        ) {
            copies.add(HeartbeatCopy(worker, heartbeat))
        }
        if (faults.lateHeartbeatCopies > 0 && random.nextDouble() < faults.lateHeartbeatCopies) {
            clock.after(2.0 + random.nextDouble() * cluster.settings.workers.leaseS * 2) {
                faults.count("late reports")
                if (node.isUp) node.sendRequest({ Input.Heartbeat(it, heartbeat) }) { _, _ -> }
            }
        }
    }

    private fun deliverAnswer(
        worker: SimulatedWorker,
        node: SimulatedController,
        status: Int,
        body: ByteArray,
        onAnswer: (status: Int, body: JsonNode) -> Unit,
    ) {
        if (random.nextDouble() < faults.answerLoss) return
        if (worker.id in faults.inboundBlocked) return faults.count("answers lost")
        if (status == 200) cluster.onHeartbeatServed(worker, node)
        network.carry(node.name, worker.id, worker.group.zone, onRefused = { onAnswer(UNAVAILABLE, NO_BODY) }) {
            onAnswer(status, SimulatedWorker.json.readTree(body))
        }
    }

    /** Sends each copy kept for the next leader to every controller twice, now that [leader] has been elected. */
    fun replayCopies(leader: SimulatedController) {
        val replayedCopies = copies.toList()
        copies.clear()
        replayedCopies.forEachIndexed { index, copy ->
            // Right after the election, and again while the new leader starts (0.3 s) or once it has acted (4 s); the
            // worker may be gone by then.
            listOf(0.01, if (index % 2 == 0) 0.3 else 4.0).forEach { delay ->
                clock.after(delay) {
                    faults.count("copies for the next")
                    cluster.nodes.filter { it.isUp }.forEach { node -> replay(copy, node, leader) }
                }
            }
        }
    }

    private fun replay(copy: HeartbeatCopy, node: SimulatedController, leader: SimulatedController) =
        node.sendRequest({ Input.Heartbeat(it, copy.heartbeat) }) { status, _ ->
            if (node === leader && status == 200) faults.count("copies taken of ${copy.worker.id}")
        }

    private companion object {
        const val MAX_COPIES = 60
        const val BAD_REQUEST = 400
        const val UNAVAILABLE = 503

        /** Heartbeats with fewer tasks are surely short enough, so their size is not computed. */
        const val MANY_TASKS = 100
        val NO_BODY: JsonNode = SimulatedWorker.json.nullNode()
    }
}

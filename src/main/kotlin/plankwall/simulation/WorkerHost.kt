package plankwall.simulation

import com.fasterxml.jackson.databind.JsonNode
import plankwall.model.JobSpec
import plankwall.model.Settings
import plankwall.wire.HeartbeatStatus
import java.util.Random

/**
 * The surroundings of a [SimulatedWorker]: its clock, the controllers that get its heartbeats, and the observers of its
 * tasks. A [SimulatedCluster] carries heartbeats in virtual time; the load test carries them over sockets.
 */
interface WorkerHost {
    /** The clock on which workers schedule heartbeats, lease checks and tasks. */
    val clock: SimulatedClock

    /** The source of every random choice of the workers, so that a seed determines a run. */
    val random: Random

    /** The settings of the cluster; workers take their lease duration and heartbeat period from them. */
    val settings: Settings

    /** The checker that is notified of the starts and ends of tasks. */
    val checker: RuleChecker

    /** The names of the controllers, in the order in which workers try them. */
    val nodeNames: List<String>

    /** Returns the specification of the job [id], or null if it was not submitted. */
    fun specOf(id: String): JobSpec?

    /** Returns whether the job [id] has an error of its own, so that its tasks fail on every machine. */
    fun isFaulty(id: String): Boolean

    /**
     * Carries [heartbeat] to the controller at index [node] of [nodeNames]; [onAnswer] is called with the answer, if
     * any.
     */
    fun sendHeartbeat(
        worker: SimulatedWorker,
        node: Int,
        heartbeat: HeartbeatStatus,
        onAnswer: (status: Int, body: JsonNode) -> Unit,
    )

    /** Called when a worker is about to forget that task number [task] of the job [id] is done. */
    fun checkStored(id: String, task: Int)

    /** Called when task number [task] of the job [id] has begun to run. */
    fun onStarted(id: String, task: Int)

    /** Called once for each task of the job [id] that has completed. */
    fun onCompleted(id: String)

    /** Called when the lease of [worker] expired while [tasks] of its tasks had not ended; it kills them. */
    fun onLeaseExpired(worker: SimulatedWorker, tasks: Int)
}

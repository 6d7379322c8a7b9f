package plankwall.simulation

import com.fasterxml.jackson.databind.JsonNode
import plankwall.model.JobSpec
import plankwall.model.Settings
import plankwall.wire.HeartbeatStatus
import java.util.Random

/**
 * The cluster around a [SimulatedWorker]: its clock, the controllers that it reports to, and the observers of what it
 * does.
 * A [SimulatedCluster] carries reports in virtual time; the scale run carries them over sockets.
 */
interface WorkerHost {
    val clock: SimulatedClock
    val random: Random
    val settings: Settings
    val checker: RuleChecker

    /** The controllers, in the order in which workers try them. */
    val nodeNames: List<String>

    /** The description of a job that was submitted, or null. */
    fun specOf(id: String): JobSpec?

    /** Whether the job was submitted with a mistake and fails wherever it runs. */
    fun isFaulty(id: String): Boolean

    /** Carries [heartbeat] to the controller at index [node]; [then] gets the answer, if there is one. */
    fun sendHeartbeat(
        worker: SimulatedWorker,
        node: Int,
        heartbeat: HeartbeatStatus,
        then: (status: Int, body: JsonNode) -> Unit,
    )

    /** A worker is about to forget that a task is done. */
    fun checkStored(id: String, task: Int)

    /** A task of the job has begun to run. */
    fun onStarted(id: String, task: Int)

    /** A task of the job has completed; called once for each. */
    fun onCompleted(id: String)

    /** A worker's lease ran out while [tasks] of its tasks had not ended. */
    fun onLeaseExpired(worker: SimulatedWorker, tasks: Int)
}

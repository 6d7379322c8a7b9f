package plankwall.core.api

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.statemachine.Context
import plankwall.model.JobStage
import plankwall.model.JobView
import plankwall.model.Tuning
import plankwall.simulation.SimulatedCluster
import java.util.Random

/** Tests that a known final stage is never followed by an answer with another. */
class FinalStagesTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1, Random(1))
    private val finalStages = FinalStages(ctx)

    private fun view(stage: JobStage) = JobView("job-000001", stage, 0, 0)

    /** The final stage is known at 10 s; the request arrives at [askedAtS] and is answered at 20 s. */
    @ParameterizedTest(name = "{0} is {1}, a request from {3} s is to be told {2}: {4}")
    @CsvSource(
        "CANCELLED, read, PENDING, 9, CANCELLED, 0",
        "CANCELLED, told, PENDING, 9, CANCELLED, 0",
        "DONE, read, RUNNING, 10, DONE, 0",
        "CANCELLED, told, PENDING, 11, , 1",
        "DONE, read, RUNNING, 11, , 1",
        "DONE, told, CANCELLED, 9, , 1",
        "CANCELLED, read, DONE, 11, , 1",
        "DONE, told, DONE, 9, DONE, 0",
        "CANCELLED, read, CANCELLED, 11, CANCELLED, 0",
    )
    fun `an answer never follows a known final stage with another`(
        known: JobStage,
        how: String,
        answer: JobStage,
        askedAtS: Double,
        expected: JobStage?,
        contradictions: Int,
    ) {
        ctx.time.advance(10.0, 0)
        if (how ==
            "read"
        ) {
            finalStages.recordRead(view(known), "final record", 5)
        } else {
            finalStages.latest(view(known), 9.0)
        }
        ctx.time.advance(20.0, 0)
        assertEquals(expected, finalStages.latest(view(answer), askedAtS)?.stage)
        assertEquals(contradictions, finalStages.contradictions)
        assertEquals(known, finalStages.latest(view(known), 20.0)?.stage, "the known stage is kept")
    }
}

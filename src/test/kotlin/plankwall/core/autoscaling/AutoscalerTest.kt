package plankwall.core.autoscaling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.failuredetector.FailureDetector
import plankwall.core.placement.Placer
import plankwall.core.statemachine.Effect
import plankwall.core.store.LeaderStore
import plankwall.fixtures.CoreParts
import plankwall.wire.ListedState
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/** Tests that the autoscaler decides nothing while its decisions can't be stored. */
class AutoscalerTest {
    private val core = CoreParts()
    private val ctx = core.ctx

    private fun acquireLeadership() {
        core.leadership.tick()
        repeat(3) {
            val call = ctx.out.drain().filterIsInstance<Effect.StateCall>().single()
            ctx.out.resume(
                call.call,
                when (call.op) {
                    is StateOp.Get -> StateResult.Item(null)
                    is StateOp.Grant -> StateResult.Granted(7)
                    else -> StateResult.Committed(41)
                },
            )
        }
    }

    /**
     * Guards against decisions that are never stored: a leader that was partitioned off with its zone logged requests
     * and returns of machines for half a minute after another node had become leader.
     */
    @ParameterizedTest(name = "{0} s after the lease was renewed: machine returned {1}")
    @CsvSource("0, true", "60, false")
    fun `a leader returns a failed machine only while its lease is valid`(afterS: Double, returned: Boolean) {
        acquireLeadership()
        val autoscaler =
            Autoscaler(
                ctx,
                LeaderStore(ctx, core.leadership),
                core.schedulerState,
                core.fleet,
                Placer(ctx, core.schedulerState, core.fleet),
                FailureDetector(ctx, core.fleet, 0.0),
                0.0,
            ) {
                0.0
            }
        val failedMachine = core.machine("i-000001").apply { listed = ListedState.FAILED }
        ctx.time.advance(ctx.now + afterS, 0)
        autoscaler.tick()
        assertEquals(returned, failedMachine.isBeingScaledIn)
    }
}

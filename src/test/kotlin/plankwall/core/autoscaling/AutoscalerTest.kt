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

class AutoscalerTest {
    private val core = CoreParts()
    private val ctx = core.ctx

    private fun win() {
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

    /** A leader cut off with its zone logged rentals and returns for half a minute after another had won. */
    @ParameterizedTest(name = "{0} s after its lease was renewed: returned {1}")
    @CsvSource("0, true", "60, false")
    fun `what can't be stored is not decided`(afterS: Double, returned: Boolean) {
        win()
        val loop =
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
        val failed = core.machine("i-000001").apply { listed = ListedState.FAILED }
        ctx.time.advance(ctx.now + afterS, 0)
        loop.tick()
        assertEquals(returned, failed.isBeingScaledIn)
    }
}

package plankwall.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.state.ZoneConstraint
import plankwall.fixtures.CoreParts
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster

/** A task may fetch its image on a cold machine now, or wait for a machine that has it. */
class CachedImageCapacityTest {
    private val core = CoreParts()
    private val ctx = core.ctx
    private val cachedImages = CachedImageCapacity(ctx, FreeCapacity(ctx, core.fleet))

    private fun learn(number: Int, shape: Shape, gpus: Long, gb: Double, waitedS: Double = 0.0) = core.learn(
        SimulatedCluster.job(number, shape, tasks = 1, gpus = gpus, runS = 60.0).copy(image = "image", imageGb = gb),
        waitedS,
    )

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, shape, image in GB (and seconds to fetch), seconds until the warm machine has room, seconds waited,
        // held
        "'room comes much sooner than the image would', ARRAY, 40, 10, 0, true",
        "'room comes a little sooner: estimates are often wrong', ARRAY, 40, 30, 0, false",
        "'what has waited for long waits no more', ARRAY, 40, 10, 15, false",
        "'a small image is not worth waiting', ARRAY, 6, 1, 0, false",
        "'a replica is wanted at once', SERVICE, 40, 10, 0, false",
    )
    fun `waits for a warm machine only where that is clearly sooner`(
        name: String,
        shape: Shape,
        gb: Double,
        endsInS: Double,
        waitedS: Double,
        held: Boolean,
    ) {
        val busy = core.machine("i-1")
        core.schedulerState.place(learn(1, Shape.ARRAY, 4, gb), 0, busy, 1).runningSince = ctx.now - 60.0 + endsInS
        busy.recordImage(checkNotNull(core.schedulerState.find("job-000001")).image, gb, ctx.now - 1)
        val cold = core.machine("i-2")
        val job = learn(2, shape, 2, gb, waitedS)
        assertEquals(held, cachedImages.promiseSoonerMachine(job, cold, listOf(busy, cold), ZoneConstraint(job)), name)
        // One room is promised once.
        assertEquals(
            false,
            cachedImages.promiseSoonerMachine(learn(3, shape, 2, gb), cold, listOf(busy, cold), ZoneConstraint(job)) &&
                held,
        )
    }
}

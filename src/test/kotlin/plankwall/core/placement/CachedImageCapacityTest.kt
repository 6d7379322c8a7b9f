package plankwall.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.state.ZoneConstraint
import plankwall.fixtures.CoreParts
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster

/** Tests whether a task fetches its image onto a machine without it now, or waits for a machine that has it cached. */
class CachedImageCapacityTest {
    private val core = CoreParts()
    private val ctx = core.ctx
    private val cachedImages = CachedImageCapacity(ctx, FreeCapacity(ctx, core.fleet))

    private fun learn(number: Int, shape: Shape, gpus: Long, imageGb: Double, waitedS: Double = 0.0) = core.learn(
        SimulatedCluster.job(number, shape, tasks = 1, gpus = gpus, runS = 60.0)
            .copy(image = "image", imageGb = imageGb),
        waitedS,
    )

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, shape, image size in GB (also the seconds to fetch it), seconds until the machine with the image has
        // free capacity, seconds waited, whether the task waits
        "'a task waits when capacity comes free much sooner than the image would arrive', ARRAY, 40, 10, 0, true",
        "'a task does not wait for a small gain, since estimates are often wrong', ARRAY, 40, 30, 0, false",
        "'a task that has waited for long waits no more', ARRAY, 40, 10, 15, false",
        "'a task does not wait when its image is small', ARRAY, 6, 1, 0, false",
        "'a replica does not wait, since it is needed at once', SERVICE, 40, 10, 0, false",
    )
    fun `a task waits for a machine with its image only where that is clearly sooner`(
        name: String,
        shape: Shape,
        imageGb: Double,
        endsInS: Double,
        waitedS: Double,
        expectedToWait: Boolean,
    ) {
        val cachingMachine = core.machine("i-1")
        core.schedulerState.place(learn(1, Shape.ARRAY, 4, imageGb), 0, cachingMachine, 1).runningSince =
            ctx.now - 60.0 + endsInS
        cachingMachine.imageCache.record(
            checkNotNull(core.schedulerState.find("job-000001")).image,
            imageGb,
            ctx.now - 1,
        )
        val coldMachine = core.machine("i-2")
        val job = learn(2, shape, 2, imageGb, waitedS)
        assertEquals(
            expectedToWait,
            cachedImages.promiseSoonerMachine(
                job,
                coldMachine,
                listOf(cachingMachine, coldMachine),
                ZoneConstraint(job),
            ),
            name,
        )
        // The same free capacity is not promised to a second task.
        assertEquals(
            false,
            cachedImages.promiseSoonerMachine(
                learn(3, shape, 2, imageGb),
                coldMachine,
                listOf(cachingMachine, coldMachine),
                ZoneConstraint(job),
            ) &&
                expectedToWait,
        )
    }
}

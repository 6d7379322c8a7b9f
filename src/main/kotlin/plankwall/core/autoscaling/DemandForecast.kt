package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.core.statemachine.Context
import plankwall.model.Resources
import plankwall.model.Shape

/** Room for work that should arrive within a boot, less what should end by then; apart, what may use spot machines. */
class DemandForecast(val spot: Resources, val other: Resources) {
    val all: Resources get() = spot + other

    companion object {
        val NONE = DemandForecast(Resources.NONE, Resources.NONE)
    }
}

/** Watches what arrives of a part of all jobs, and says by how much it should grow. */
class DemandForecaster(private val ctx: Context, private val since: Double, private val counts: (Job) -> Boolean) {
    private val spot = ArrivalRate()
    private val other = ArrivalRate()

    fun forecast(live: Collection<Job>, leadS: Double): DemandForecast {
        val (forSpot, forOther) = live.filter { it.ready && counts(it) }.partition { it.spec.spot }
        return DemandForecast(net(spot, forSpot, leadS), net(other, forOther, leadS))
    }

    private fun net(rate: ArrivalRate, jobs: List<Job>, leadS: Double): Resources {
        // What was there at the take-over did not arrive since.
        rate.record(ctx.now, jobs.filter { it.readyAt > since + 1.0 })
        val leaving = jobs.flatMap { it.placements.values }
            .filter {
                it.job.spec.shape != Shape.SERVICE &&
                    it.runningSince > 0 &&
                    it.runningSince + it.job.spec.estimateS < ctx.now + leadS
            }
            .fold(Resources.NONE) { sum, p -> sum + p.job.spec.need }
        return (rate.expectedWithin(leadS) - leaving).atLeastNothing()
    }
}

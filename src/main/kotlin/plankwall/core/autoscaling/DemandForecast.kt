package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.core.state.Placement
import plankwall.core.statemachine.Context
import plankwall.model.Resources
import plankwall.model.Shape

/**
 * Room for tasks that should arrive within a boot, less what should end by then: apart, that of tasks that may use
 * [spot] machines and that of all [other] tasks.
 */
class DemandForecast(val spot: Resources, val other: Resources) {
    /** Both together. */
    val all: Resources get() = spot + other

    companion object {
        /** Nothing is expected. */
        val NONE = DemandForecast(Resources.NONE, Resources.NONE)
    }
}

/** Forecasts the demand of the jobs that [counts] holds for, from what arrived of them after [since]. */
class DemandForecaster(private val ctx: Context, private val since: Double, private val counts: (Job) -> Boolean) {
    private val spot = ArrivalRate()
    private val other = ArrivalRate()

    /** Records the [live] jobs, and says what should arrive within [leadS] beyond what should end by then. */
    fun forecast(live: Collection<Job>, leadS: Double): DemandForecast {
        val (forSpot, forOther) = live.filter { it.ready && counts(it) }.partition { it.spec.spot }
        return DemandForecast(netArrivals(spot, forSpot, leadS), netArrivals(other, forOther, leadS))
    }

    private fun netArrivals(rate: ArrivalRate, jobs: List<Job>, leadS: Double): Resources {
        // What was there at the failover did not arrive since.
        rate.record(ctx.now, jobs.filter { it.readyAt > since + 1.0 })
        val ending = jobs.flatMap { it.placements.values }
            .filter { endsWithin(it, leadS) }
            .fold(Resources.NONE) { sum, placement -> sum + placement.job.spec.need }
        return (rate.expectedWithin(leadS) - ending).atLeastNothing()
    }

    private fun endsWithin(placement: Placement, leadS: Double): Boolean = placement.job.spec.shape != Shape.SERVICE &&
        placement.runningSince > 0 &&
        placement.runningSince + placement.job.spec.estimateS < ctx.now + leadS
}

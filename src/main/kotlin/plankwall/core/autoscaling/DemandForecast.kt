package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.core.state.Placement
import plankwall.core.statemachine.Context
import plankwall.model.Resources
import plankwall.model.Shape

/**
 * The resources expected to be needed for tasks that arrive within the lead time, less those freed by tasks that should
 * end by then: separately for tasks that may use [spot] machines and for all [other] tasks.
 */
class DemandForecast(val spot: Resources, val other: Resources) {
    /** The sum of both parts. */
    val total: Resources get() = spot + other

    companion object {
        /** The forecast that no demand is expected. */
        val NONE = DemandForecast(Resources.NONE, Resources.NONE)
    }
}

/**
 * Forecasts the demand of the jobs for which [isCounted] returns true, from those that arrived after [startedAt], which
 * is in seconds of the monotonic clock.
 */
class DemandForecaster(
    private val ctx: Context,
    private val startedAt: Double,
    private val isCounted: (Job) -> Boolean,
) {
    private val spotRate = ArrivalRate()
    private val otherRate = ArrivalRate()

    /**
     * Records the [live] jobs, and forecasts the demand that arrives within [leadTimeS] seconds beyond what ends by
     * then. The lead time is that of a machine's boot.
     */
    fun forecast(live: Collection<Job>, leadTimeS: Double): DemandForecast {
        val (spotJobs, otherJobs) = live.filter { it.ready && isCounted(it) }.partition { it.spec.spot }
        return DemandForecast(
            forecastNetDemand(spotRate, spotJobs, leadTimeS),
            forecastNetDemand(otherRate, otherJobs, leadTimeS),
        )
    }

    private fun forecastNetDemand(rate: ArrivalRate, jobs: List<Job>, leadTimeS: Double): Resources {
        // Jobs that this leader read from the store when it took over did not arrive then; only later ones count.
        rate.record(ctx.now, jobs.filter { it.readyAt > startedAt + 1.0 })
        val freedByThen = jobs.flatMap { it.placements.values }
            .filter { endsWithin(it, leadTimeS) }
            .fold(Resources.NONE) { sum, placement -> sum + placement.job.spec.need }
        return (rate.expectedWithin(leadTimeS) - freedByThen).coerceAtLeastZero()
    }

    private fun endsWithin(placement: Placement, leadTimeS: Double): Boolean =
        placement.job.spec.shape != Shape.SERVICE &&
            placement.runningSince > 0 &&
            placement.runningSince + placement.job.spec.estimateS < ctx.now + leadTimeS
}

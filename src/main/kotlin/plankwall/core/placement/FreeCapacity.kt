package plankwall.core.placement

import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.ZoneConstraint
import plankwall.core.statemachine.Context
import plankwall.model.MachineType
import plankwall.model.Resources
import plankwall.model.Shape

/** What room there is, whose it is, and which of it suits a task best. */
class FreeCapacity(private val ctx: Context, private val fleet: Fleet) {
    private val reserved = HashMap<Job, Int>()

    /** Reservations end when their job needs them no more, or when the room did not come in time. */
    fun beginPass() {
        reserved.clear()
        for (m in fleet.machines) {
            if (m.held !== Resources.NONE) m.held = Resources.NONE
            if (m.reservations.isEmpty()) continue
            m.reservations.removeIf { r ->
                val over = ctx.now >= r.until || r.job.cancelled || reserved(r.job) >= r.job.waiting.size
                if (!over) reserved.merge(r.job, 1, Int::plus)
                over
            }
        }
    }

    fun reserved(job: Job): Int = reserved[job] ?: 0

    fun reserve(job: Job, m: Machine, untilS: Double) {
        m.reservations.add(Machine.Reservation(job, untilS))
        reserved.merge(job, 1, Int::plus)
    }

    /**
     * What tasks of [job] may take here. Room that was made for another job of no lower standing is not its own, nor is
     * what this pass has kept for a gang, whose standing is higher since it came first.
     */
    fun openTo(job: Job, m: Machine): Resources {
        if (m.reservations.isEmpty() && m.held === Resources.NONE) return m.free
        var room = m.free - m.held
        for (r in m.reservations) if (r.job !== job && r.job.priority >= job.priority) room -= r.job.spec.need
        return room
    }

    fun suits(job: Job, m: Machine, zones: ZoneConstraint): Boolean = Placer.allowed(job.spec, m) &&
        zones.allows(m) &&
        m.fitsReport &&
        m.ix.value !in job.failedOn &&
        !(job.bestEffort && wouldStayFor(job, m))

    /**
     * Whether an ordinary machine could soon go back but for a spare-time task put there: none of its work is to stay.
     * Spot machines cost a third, and beside replicas the machine stays anyway; work that may not use spot machines has
     * no other place.
     */
    private fun wouldStayFor(job: Job, m: Machine): Boolean =
        job.spec.spot && m.group?.spot == false && (m.surplus || (m.lastingShare == 0.0 && !job.starving))

    /** Whether a task of [job] may go to [m] and has room there. */
    fun admits(job: Job, m: Machine, zones: ZoneConstraint): Boolean =
        job.spec.need.fitsIn(m.free) && suits(job, m, zones) && job.spec.need.fitsIn(openTo(job, m))

    fun best(job: Job, candidates: List<Machine>, zones: ZoneConstraint): Machine? {
        var found: Machine? = null
        var lowest = Double.MAX_VALUE
        for (m in candidates) {
            if (!admits(job, m, zones)) continue
            val score = score(job, m)
            if (score < lowest) {
                lowest = score
                found = m
            }
        }
        return found
    }

    /** Seconds until one task of [job] should fit, if nothing else comes; null if nobody can say. */
    fun roomIn(job: Job, m: Machine): Double? {
        var free = m.free
        val ends = m.placements.values.mapNotNull { p ->
            p.endsIn(ctx.now)?.let { it to p.job.spec.need }
        }.sortedBy { it.first }
        for ((endIn, need) in ends) {
            free += need
            if (job.spec.need.fitsIn(free)) return endIn
        }
        return null
    }

    /** Lower is better: seconds until the image is there, then tight fit, then cheap machines for those who may. */
    fun score(job: Job, m: Machine): Double {
        val type = m.type ?: return Double.MAX_VALUE
        val after = m.free - job.spec.need
        val idle = share(after.gpus, type.capacity.gpus) + share(after.cpus, type.capacity.cpus)
        val kind = if (job.spec.spot && m.group?.spot == false) SPOT_PREFERENCE_S else 0.0
        val wait = m.fetchWait(job.image, job.spec.imageGb, ctx.now)
        val spared = if (m.surplus) surplusS(job, type) else 0.0
        // Replicas side by side leave other machines to tasks that end, and those machines can go back when they have.
        // For a replica that only breaks ties: it is wanted at once, and a fetch takes longer.
        val mixed = if (job.spec.shape == Shape.SERVICE) (1.0 - m.lastingShare) * TIE_S else m.lastingShare * APART_S
        return wait + m.fetchDelay(job.image, job.spec.imageGb, ctx.now) + idle * FIT_S + kind + spared + mixed
    }

    /**
     * How much later a task may start so that a surplus machine runs empty: as much as another fetch costs, unless that
     * is much of what the task itself takes. Replicas are wanted at once.
     */
    private fun surplusS(job: Job, type: MachineType): Double = if (job.spec.shape == Shape.SERVICE) {
        SPARED_BY_REPLICAS_S
    } else {
        minOf(type.fetchS(job.spec.imageGb) + 1.0, job.spec.estimateS * SPARED_PART)
    }

    private fun share(part: Long, whole: Long): Double = if (whole <= 0) 0.0 else part.toDouble() / whole

    private companion object {
        const val FIT_S = 4.0
        const val APART_S = 6.0
        const val TIE_S = 1.5
        const val SPARED_BY_REPLICAS_S = 1.0
        const val SPARED_PART = 0.15
        const val SPOT_PREFERENCE_S = 6.0
    }
}

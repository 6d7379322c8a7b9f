package plankwall.core.state

import plankwall.model.Priority
import plankwall.model.Resources

/**
 * Everything that decides whether a task fits on a machine, except the placements of its job's other tasks. The
 * priority is included because it decides which reserved capacity the task may use. If a placement pass found no
 * machine for one job of a class, it need not search again for the others.
 */
data class EquivalenceClass(
    val need: Resources,
    val types: List<String>?,
    val zone: String?,
    val spot: Boolean,
    val priority: Priority,
    val bestEffort: Boolean,
    val starving: Boolean,
)

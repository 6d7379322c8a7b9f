package plankwall.core.state

import plankwall.model.Priority
import plankwall.model.Resources

/**
 * All that decides whether a task fits somewhere, its job's other tasks aside. The priority is part of it because it
 * decides which reserved capacity is open to the task. What did not fit once need not be tried again for another job
 * of the same class within a placement pass.
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

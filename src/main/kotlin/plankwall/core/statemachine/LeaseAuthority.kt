package plankwall.core.statemachine

/** The leader's authority to write to the store, delegated to the access gateway while this node leads. */
interface LeaseAuthority {
    /** The epoch of this node's leadership. */
    val epoch: Long

    /** Whether there is room for a write that no request waits for. */
    fun mayWrite(): Boolean
}

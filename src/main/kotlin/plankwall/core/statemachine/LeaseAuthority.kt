package plankwall.core.statemachine

/** The leader's authority to write to the store, which the access gateway may use while this node leads. */
interface LeaseAuthority {
    /** The epoch of this node's leadership. */
    val epoch: Long

    /** Returns whether the write budget allows a write that no request waits for. */
    fun mayWrite(): Boolean
}

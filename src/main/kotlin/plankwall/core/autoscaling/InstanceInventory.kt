package plankwall.core.autoscaling

import plankwall.core.state.BootingMachine
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.ListedMachine
import plankwall.wire.ListedState

/** Follows the cloud's list and catalogue on the leader's behalf, in few calls. */
class InstanceInventory(
    private val ctx: Context,
    private val store: LeaderStore,
    private val fleet: Fleet,
    private val memory: AutoscalerState,
) {
    private var nextList = 0.0
    private var listing = false
    private var nextCatalog = 0.0

    fun poll() {
        if (!listing && ctx.now >= nextList) {
            listing = true
            list(null, ArrayList())
        }
        if (ctx.now >= nextCatalog) {
            nextCatalog = ctx.now + if (fleet.catalog == null) 1.0 else CATALOG_S
            ctx.out.cloud(CloudOp.GetCatalog) { result ->
                if (store.active && result is CloudResult.CatalogRead) fleet.catalog = result.catalog
            }
        }
    }

    private fun list(after: String?, found: ArrayList<ListedMachine>) {
        ctx.out.cloud(CloudOp.ListMachines(after, LIST_PAGE)) { result ->
            if (!store.active) return@cloud
            if (result !is CloudResult.Listed) {
                listing = false
                nextList = ctx.now + 2.0
                return@cloud
            }
            found.addAll(result.machines)
            if (result.more && result.machines.isNotEmpty()) {
                list(result.machines.last().id, found)
            } else {
                listing = false
                nextList = ctx.now + LIST_S
                listed(found)
            }
        }
    }

    /** The list is late and may be older than the last one: it can add machines, never prove that a task is gone. */
    private fun listed(all: List<ListedMachine>) {
        val names = HashSet<String>()
        for (l in all) {
            names.add(l.id)
            if (fleet.isGone(l.id)) continue
            val known = fleet.find(l.id)
            val m = known ?: fleet.machine(l.id)
            fleet.describe(m, l)
            m.listed = l.state
            m.missingSince = Machine.NEVER
            if (!m.registered && !m.returning && l.id !in fleet.arrivals && l.state == ListedState.BOOTING) {
                // Rented by somebody whose record of it was lost: it counts as arriving, from the age the list gives.
                val ageMs = (l.ageS * 1000).toLong()
                fleet.arrivals[l.id] = BootingMachine(l.id, l.group, ctx.now - l.ageS, ctx.time.wallMs - ageMs)
                memory.dirty = true
            }
        }
        for (m in fleet.machines) {
            if (m.listed != null && m.id !in names && m.missingSince == Machine.NEVER) m.missingSince = ctx.now
        }
    }

    private companion object {
        const val LIST_S = 3.0
        const val LIST_PAGE = 500
        const val CATALOG_S = 60.0
    }
}

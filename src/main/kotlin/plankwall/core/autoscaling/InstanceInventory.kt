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

/** Follows the cloud's list of machines and its catalog of machine types, in few calls. */
class InstanceInventory(
    private val ctx: Context,
    private val store: LeaderStore,
    private val fleet: Fleet,
    private val state: AutoscalerState,
) {
    private var nextListAt = 0.0
    private var isListing = false
    private var nextCatalogAt = 0.0

    /** Asks the cloud for what is due. */
    fun poll() {
        if (!isListing && ctx.now >= nextListAt) {
            isListing = true
            readPage(null, ArrayList())
        }
        if (ctx.now >= nextCatalogAt) {
            nextCatalogAt = ctx.now + if (fleet.catalog == null) CATALOG_RETRY_S else CATALOG_INTERVAL_S
            ctx.out.cloud(CloudOp.GetCatalog) { result ->
                if (store.active && result is CloudResult.CatalogRead) fleet.catalog = result.catalog
            }
        }
    }

    /** Reads the list's page that follows the machine [after], and all further ones, to those [found] so far. */
    private fun readPage(after: String?, found: ArrayList<ListedMachine>) {
        ctx.out.cloud(CloudOp.ListMachines(after, LIST_PAGE)) { result ->
            if (!store.active) return@cloud
            if (result !is CloudResult.Listed) {
                endListing(LIST_RETRY_S)
                return@cloud
            }
            found.addAll(result.machines)
            if (result.more && result.machines.isNotEmpty()) {
                readPage(result.machines.last().id, found)
            } else {
                endListing(LIST_INTERVAL_S)
                onListed(found)
            }
        }
    }

    private fun endListing(pauseS: Double) {
        isListing = false
        nextListAt = ctx.now + pauseS
    }

    /** The list is late and may be older than the last one: it can add machines, never prove that a task is gone. */
    private fun onListed(all: List<ListedMachine>) {
        val listedIds = HashSet<String>()
        for (listed in all) {
            listedIds.add(listed.id)
            if (!fleet.isGone(listed.id)) update(fleet.machine(listed.id), listed)
        }
        for (machine in fleet.machines) {
            if (machine.listed == null || machine.id in listedIds) continue
            if (machine.missingSince == Machine.NEVER) machine.missingSince = ctx.now
        }
    }

    private fun update(machine: Machine, listed: ListedMachine) {
        fleet.describe(machine, listed)
        machine.listed = listed.state
        machine.missingSince = Machine.NEVER
        if (machine.registered || machine.returning || listed.id in fleet.arrivals) return
        if (listed.state != ListedState.BOOTING) return
        // Requested by a leader whose record of it was lost: it counts as arriving, from the age that the list gives.
        val ageMs = (listed.ageS * 1000).toLong()
        fleet.arrivals[listed.id] =
            BootingMachine(listed.id, listed.group, ctx.now - listed.ageS, ctx.time.wallMs - ageMs)
        state.dirty = true
    }

    private companion object {
        const val LIST_INTERVAL_S = 3.0
        const val LIST_RETRY_S = 2.0
        const val LIST_PAGE = 500
        const val CATALOG_INTERVAL_S = 60.0
        const val CATALOG_RETRY_S = 1.0
    }
}

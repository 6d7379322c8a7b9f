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

/** Reads the cloud's list of machines and its catalog of machine types at intervals, with few calls. */
class InstanceInventory(
    private val ctx: Context,
    private val store: LeaderStore,
    private val fleet: Fleet,
    private val autoscalerState: AutoscalerState,
) {
    private var nextListAt = 0.0
    private var isListing = false
    private var nextCatalogAt = 0.0

    /** Requests the list of machines and the catalog from the cloud if their next poll is due. */
    fun poll() {
        if (!isListing && ctx.now >= nextListAt) {
            isListing = true
            readPage(null, ArrayList())
        }
        if (ctx.now >= nextCatalogAt) {
            nextCatalogAt = ctx.now + if (fleet.catalog == null) CATALOG_RETRY_S else CATALOG_INTERVAL_S
            ctx.out.cloud(CloudOp.GetCatalog) { result ->
                if (store.isTermActive && result is CloudResult.CatalogRead) fleet.catalog = result.catalog
            }
        }
    }

    /**
     * Reads the page of the list that follows the machine [afterId], or the first one if that is null, and then all
     * further pages. Adds their machines to [foundMachines].
     */
    private fun readPage(afterId: String?, foundMachines: ArrayList<ListedMachine>) {
        ctx.out.cloud(CloudOp.ListMachines(afterId, LIST_PAGE_SIZE)) { result ->
            if (!store.isTermActive) return@cloud
            if (result !is CloudResult.Listed) {
                endListing(LIST_RETRY_S)
                return@cloud
            }
            foundMachines.addAll(result.machines)
            if (result.more && result.machines.isNotEmpty()) {
                readPage(result.machines.last().id, foundMachines)
            } else {
                endListing(LIST_INTERVAL_S)
                onListed(foundMachines)
            }
        }
    }

    private fun endListing(pauseS: Double) {
        isListing = false
        nextListAt = ctx.now + pauseS
    }

    /**
     * Updates the fleet by the cloud's list. The list lags and may be older than the one before, so it can add machines
     * but never prove that a task is gone.
     */
    private fun onListed(listedMachines: List<ListedMachine>) {
        val listedIds = HashSet<String>()
        for (listed in listedMachines) {
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
        if (machine.isRegistered || machine.isBeingScaledIn || listed.id in fleet.bootingMachines) return
        if (listed.state != ListedState.BOOTING) return
        // An earlier leader requested it and its record of it was lost. It counts as booting since the time that
        // follows from the age in the list.
        val ageMs = (listed.ageS * 1000).toLong()
        fleet.bootingMachines[listed.id] =
            BootingMachine(listed.id, listed.group, ctx.now - listed.ageS, ctx.time.wallMs - ageMs)
        autoscalerState.isDirty = true
    }

    private companion object {
        const val LIST_INTERVAL_S = 3.0
        const val LIST_RETRY_S = 2.0
        const val LIST_PAGE_SIZE = 500
        const val CATALOG_INTERVAL_S = 60.0
        const val CATALOG_RETRY_S = 1.0
    }
}

package plankwall.loadtest

import plankwall.io.HttpReply
import plankwall.io.HttpRequest
import plankwall.simulation.SimulatedStore
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.CloudServiceCodec
import plankwall.wire.JobCodec

/**
 * The HTTP interface of the simulated cloud for one controller.
 *
 * @param meter counts the controller's requests
 * @param rateLimit limits the requests of all controllers together
 */
class CloudEndpoint(
    private val cluster: LoadTestCluster,
    private val meter: NodeMeter,
    private val rateLimit: SimulatedStore.Meter,
) {
    /** Answers one request; a request beyond the rate limit gets status 429. */
    fun handle(request: HttpRequest): HttpReply {
        meter.cloudRequests++
        val op = readOp(request) ?: return HttpReply(404, JobCodec.error("no such path"))
        return cluster.runCaughtUp {
            if (rateLimit.tryConsume(cluster.clock.now, 1)) {
                replyFor(cluster.cloud.run(op))
            } else {
                HttpReply(429, JobCodec.error("too many requests"), 1)
            }
        }
    }

    /** Returns the operation that [request] asks for, or null if there is none at its path. */
    private fun readOp(request: HttpRequest): CloudOp? = when {
        request.path == "/catalog" -> CloudOp.GetCatalog
        request.path == "/machines/delete" -> CloudServiceCodec.readDelete(request.body)
        request.path == "/machines" && request.method == "POST" -> CloudServiceCodec.readRent(request.body)
        request.path == "/machines" -> readMachineListRequest(request.query)
        else -> null
    }

    /** Returns the request for one page of the list of machines that [query] describes. */
    private fun readMachineListRequest(query: String): CloudOp {
        val fields = query.split('&').associate { it.substringBefore('=') to it.substringAfter('=', "") }
        return CloudOp.ListMachines(
            fields["from"],
            (fields["page"]?.toIntOrNull() ?: MAX_LISTED_MACHINES).coerceIn(1, MAX_LISTED_MACHINES),
        )
    }

    /**
     * Returns the HTTP answer for [result]. In the bodies of errors, "malformed" means that the request could not be
     * read and "trouble" that it was refused or not answered; "none" means no error.
     */
    private fun replyFor(result: CloudResult): HttpReply = when (result) {
        is CloudResult.CatalogRead -> HttpReply(200, CloudServiceCodec.writeCatalog(result.catalog))
        is CloudResult.Rented -> HttpReply(200, CloudServiceCodec.writeRented(result.machines))
        is CloudResult.Listed -> HttpReply(200, CloudServiceCodec.writeListed(result))
        CloudResult.Deleted -> HttpReply(200, JobCodec.error("none"))
        CloudResult.NoCapacity -> HttpReply(503, JobCodec.error("no capacity"))
        CloudResult.Malformed -> HttpReply(400, JobCodec.error("malformed"))
        CloudResult.Trouble -> HttpReply(503, JobCodec.error("trouble"))
    }

    private companion object {
        const val MAX_LISTED_MACHINES = 500
    }
}

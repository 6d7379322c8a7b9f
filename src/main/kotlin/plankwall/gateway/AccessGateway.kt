package plankwall.gateway

import plankwall.audit.AuditLogSealer
import plankwall.audit.AuditLogWriter
import plankwall.core.statemachine.AccessCheck
import plankwall.core.statemachine.AdminRequest
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Credentials
import plankwall.core.statemachine.LeaseAuthority
import plankwall.core.statemachine.RequestId
import plankwall.core.statemachine.Verdict
import plankwall.identity.Networks

/**
 * The access check of a controller whose operators require that every request comes from a known principal. It
 * authenticates callers, authorizes their actions by the published policy, and records each decision in the audit log.
 * This class only connects the components that do this work; each of them holds its own state.
 */
class AccessGateway(private val ctx: Context, private val settings: GatewaySettings) : AccessCheck {
    private val policies = PolicyStore(ctx, settings.initialPolicyText)
    private val auditLog = AuditLogWriter(ctx, ctx.settings.node, settings.auditLogWriteShare)
    private val sealer = AuditLogSealer(ctx, settings.nodeKey, settings.checkpointIntervalS)
    private val entryFactory = AuditEntryFactory(ctx, policies)
    private val denials = DenialLimits(
        byPrincipal = DenialLimiter(ctx.time, settings.denialsPerS, settings.denialBurst),
        byNetwork = DenialLimiter(ctx.time, settings.denialsPerS, settings.denialBurst),
    )
    private val authenticator = RequestAuthenticator(ctx, settings, policies, auditLog, entryFactory, denials)
    private val revocations = RevocationTask(ctx, policies, auditLog, entryFactory)
    private val admin = AdminService(ctx, policies, authenticator)
    private var nextShedReportAt = 0.0

    /** The version of the policy that this node applies; 0 while it has not loaded any. */
    val version: Long get() = policies.policy.version

    /** The networks from which the current policy lets peers open connections; null if it lets them from anywhere. */
    val peerNetworks: Networks? get() = policies.policy.peerNetworks

    override fun tick(authority: LeaseAuthority?) {
        entryFactory.epoch = authority?.epoch ?: 0L
        policies.tick()
        auditLog.tick()
        sealer.tick(authority)
        revocations.tick(authority)
        if (ctx.now >= nextShedReportAt) {
            nextShedReportAt = ctx.now + SHED_REPORT_INTERVAL_S
            reportShed("principal", denials.byPrincipal)
            reportShed("network", denials.byNetwork)
        }
    }

    /**
     * Logs and records how many requests of each name were refused unchecked since the last report. [kind]: what
     * [limiter] limits, `principal` or `network`.
     */
    private fun reportShed(kind: String, limiter: DenialLimiter) {
        limiter.takeShedCounts().forEach { (name, count) ->
            log.info("requests shed {}={} count={}", kind, name, count)
            val entry = entryFactory.create(
                RequestOrigin(name, "", ""),
                "shed",
                kind,
                Verdict(false, "too many denials"),
                STATUS_TOO_MANY,
                note = "$count requests",
            )
            // No caller waits for this entry. If it can't be stored, the log line above is the only record.
            auditLog.record(entry) { }
        }
    }

    override fun authenticate(request: RequestId, credentials: Credentials, onAuthenticated: (Caller) -> Unit) =
        authenticator.authenticate(request, credentials) { onAuthenticated(it) }

    override fun handleAdmin(request: RequestId, credentials: Credentials, adminRequest: AdminRequest) =
        admin.handle(request, credentials, adminRequest)

    override fun heartbeatRefusal(address: String, claimed: String, listed: String?): String? {
        val ranges = policies.policy.workerNetworks
        return when {
            ranges != null && !ranges.contains(address) -> "workers may not report from this network"
            !settings.workersAtListedAddress || listed.isNullOrEmpty() -> null
            listed != claimed -> "the machine is listed at another address"
            !Networks.isSameHost(listed, address) -> "the report comes from another address than the machine's"
            else -> null
        }
    }

    private companion object {
        /** The time between two reports of requests that were refused unchecked. */
        const val SHED_REPORT_INTERVAL_S = 5.0
        const val STATUS_TOO_MANY = 429
    }
}

package plankwall.wire

import net.jqwik.api.Arbitraries.bigDecimals
import net.jqwik.api.Arbitraries.doubles
import net.jqwik.api.Arbitraries.frequencyOf
import net.jqwik.api.Arbitraries.integers
import net.jqwik.api.Arbitraries.just
import net.jqwik.api.Arbitraries.longs
import net.jqwik.api.Arbitraries.maps
import net.jqwik.api.Arbitraries.of
import net.jqwik.api.Arbitraries.oneOf
import net.jqwik.api.Arbitraries.strings
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators.combine
import net.jqwik.api.Tuple
import plankwall.audit.AuditEntry
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.JobFacts
import plankwall.model.JobStage
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster
import plankwall.simulation.SimulatedWorker
import java.math.BigDecimal
import java.util.BitSet

/** Generators of what the codecs read and write, over the bounds of each field. */
internal object WireArbitraries {
    /** How many amounts in range come to one that is not. */
    private const val AMOUNTS_IN_RANGE = 60
    private fun json(value: Any?): String = SimulatedWorker.json.writeValueAsString(value)

    private fun <T> Arbitrary<T>.few(): Arbitrary<List<T>> = list().ofMaxSize(5)

    private val flag = of(true, false)
    private val number = longs().greaterOrEqual(0)
    private val text = oneOf(strings().all().ofMaxLength(200), strings().ascii().ofMaxLength(40))
    private val name = text.filter { it.isNotEmpty() }
    private val jobId = longs().between(0, 999_999_999_999_999_999).map { "job-$it" }

    /** Names that frames can carry, of up to 200 bytes in UTF-8. */
    private val frameName = oneOf(
        integers().between(0, 999_999).map { "i-%06d".format(it) },
        strings().withCharRange('a', '\uD7FF').withChars('\u0000', '/', '9', '\uFFFD').ofMinLength(1).ofMaxLength(66),
        just("x".repeat(200)),
        just("\uD83D\uDE80".repeat(50)),
    )
    private val frameText = oneOf(just(""), frameName)

    /** Amounts in range as users may write them. */
    val amountText: Arbitrary<String> = oneOf(
        doubles().between(0.0, 1e9).map { it.toString() },
        bigDecimals().between(BigDecimal.ZERO, BigDecimal("1E9")).ofScale(60).map { it.toPlainString() },
        combine(longs().between(0, Long.MAX_VALUE), integers().between(-90, -10)).`as` { digits, exponent ->
            "${digits}E$exponent"
        },
        of("0", "0.000", "1E-60", "1E9", "1000000000.0", "999999999.999999999"),
    )

    /** Amounts of which a few are out of range. */
    private val anyAmountText = frequencyOf(
        Tuple.of(AMOUNTS_IN_RANGE, amountText),
        Tuple.of(1, of("-1", "1E10", "99999999999999999999", "1E2147483647", "1E-2147483647", "1E99999999999")),
    )
    private val amount = amountText.map { Amounts.toDouble(BigDecimal(it)) }

    /** The text of submissions, most of them valid. */
    val submission: Arbitrary<String> = combine(
        combine(jobId, name, name, name, of("sweep", "ensemble", "service"), of("critical", "low")).`as` {
                id,
                jobClass,
                team,
                image,
                shape,
                priority,
            ->
            """"id":"$id","docket":${json(jobClass)},"crew":${json(team)},"mould":${json(image)},""" +
                """"shape":"$shape","urgency":"$priority""""
        },
        combine(anyAmountText, anyAmountText, anyAmountText).`as` { cpus, gpus, memory ->
            """"cores":$cpus,"accelerators":$gpus,"ram_gb":$memory"""
        },
        combine(anyAmountText, anyAmountText, anyAmountText, anyAmountText, anyAmountText.injectNull(0.3)).`as` {
                image,
                estimate,
                checkpoint,
                save,
                deadline,
            ->
            """"size_gb":$image,"guess_s":$estimate,"snapshot_s":$checkpoint,"stow_s":$save,"due_s":$deadline"""
        },
        combine(name.few().injectNull(0.3), text.injectNull(0.5), jobId.few(), integers().between(1, 100_000)).`as` {
                types,
                zone,
                dependencies,
                tasks,
            ->
            """"builds":${json(types)},"yard":${json(zone)},"awaits":${json(dependencies)},"pieces":$tasks"""
        },
        combine(flag, flag, flag).`as` { oneZone, spread, spot ->
            """"together":$oneZone,"scatter":$spread,"loaners":$spot"""
        },
    ).`as` { names, needs, amounts, lists, flags -> "{$names,$needs,$amounts,$lists,$flags}" }

    /** The text of catalogs as a cloud may send them, most of them valid. */
    val catalogAnswer: Arbitrary<String> = combine(
        name,
        frameName.few(),
        anyAmountText.list().ofSize(8),
    ).`as` { type, zones, amounts ->
        val fields = listOf(
            "cores",
            "accelerators",
            "ram_gb",
            "cache_gb",
            "pull_gb_per_s",
            "rate",
            "low_price",
            "ready_s",
        ).zip(amounts) { field, amount -> """"$field":$amount""" }
        """{"name":${json(type)},"yards":${json(zones)},${fields.joinToString(",")}}"""
    }.few().map { """{"builds":[${it.joinToString(",")}]}""" }

    private val anySpec = SimulatedCluster.job(1)
    private val jobRecord = combine(
        number,
        number,
        integers().greaterOrEqual(1),
        combine(name, flag, number).`as` { owner, cancel, revoked ->
            Ownership(owner, cancel, revoked)
        }.injectNull(0.5),
    ).`as` { submittedMs, cancelledMs, pageSize, owner ->
        JobRecord(anySpec, submittedMs, cancelledMs, pageSize, owner)
    }

    private val page = combine(
        integers().between(0, 100_000).few(),
        combine(integers().between(0, 100_000), number, name, number).`as` { task, attempt, machine, session ->
            StoredPlacement(task, attempt, machine, session)
        }.few(),
        integers().between(0, 256),
    ).`as` { done, placements, partSize ->
        PageRecord(BitSet().apply { done.forEach { set(it) } }, placements, partSize)
    }

    private val facts = combine(name, text, text, of(Priority.entries), of(Shape.entries)).`as` {
            owner,
            jobClass,
            team,
            priority,
            shape,
        ->
        JobFacts(owner, jobClass, team, priority, shape)
    }
    private val final = combine(
        of(JobStage.DONE, JobStage.CANCELLED),
        integers().between(0, 100_000),
        number,
        facts.injectNull(0.5),
    ).`as` { stage, done, endedMs, jobFacts -> FinalRecord(stage, done, endedMs, jobFacts) }

    private val group = combine(text, text, flag).`as` { type, zone, spot -> GroupKey(type, zone, spot) }
    private val machine = oneOf(integers().between(0, 40).map { "i-%02d".format(it + 80) }, name)

    /** Booting machines are stored by group, machines being scaled in by name. */
    private val fleet = combine(
        combine(text, group, integers()).`as` { request, key, count -> StoredScaleOut(request, key, count) }.few(),
        combine(machine, group, of(7L, Long.MAX_VALUE)).`as` { id, key, atMs -> StoredBootingMachine(id, key, atMs) }
            .few().map { list -> list.groupBy { it.group to it.requestedMs }.values.flatten() },
        machine.few().map { it.sorted() },
        integers().greaterOrEqual(0),
    ).`as` { requests, booting, scaledIn, further -> FleetRecord(requests, booting, scaledIn, further) }

    private val rightsHead = combine(number, integers().greaterOrEqual(0), text, text, number).`as` {
            version,
            parts,
            digest,
            by,
            atMs,
        ->
        RightsHead(version, parts, digest, by, atMs)
    }

    /** A key and a record of each kind; the job's description and the machine types are those of the texts above. */
    val records: Map<Class<out Stored>, Pair<String, Arbitrary<out Stored>>> = mapOf(
        LeaderRecord::class.java to
            (Keys.LEADER to combine(text, longs()).`as` { node, incarnation -> LeaderRecord(node, incarnation) }),
        LevelRecord::class.java to (Keys.LEVEL to integers().map { LevelRecord(it) }),
        JobRecord::class.java to (Keys.job("job-000001") to jobRecord),
        PageRecord::class.java to (Keys.page("job-000001", 3) to page),
        FinalRecord::class.java to (Keys.final("job-000001") to final),
        FleetRecord::class.java to (Keys.FLEET to fleet),
        CatalogRecord::class.java to
            (Keys.CATALOG to integers().greaterOrEqual(0).map { CatalogRecord(Catalog(emptyList()), it) }),
        RightsHead::class.java to (AccessKeys.HEAD to rightsHead),
        RightsPart::class.java to (AccessKeys.part(1, 0) to text.map { RightsPart(it) }),
        RightsApplied::class.java to (AccessKeys.APPLIED to number.map { RightsApplied(it) }),
        AuditSegment::class.java to
            (
                AccessKeys.segment("n0", 1) to combine(number, text, text.few()).`as` { a, b, c ->
                    AuditSegment(a, b, c)
                }
                ),
        AuditSeal::class.java to (AccessKeys.seal(1) to text.map { AuditSeal(it) }),
    )

    val auditEntry: Arbitrary<AuditEntry> = combine(
        combine(text, text, text, text).`as` { principal, key, network, action ->
            GoldenValues.entry.copy(principal = principal, key = key, network = network, action = action)
        },
        combine(text, text, text, text, text).`as` { id, subject, rule, request, note ->
            GoldenValues.entry.copy(id = id, subject = subject, rule = rule, request = request, note = note)
        },
        number.list().ofSize(3),
        integers(),
        flag,
    ).`as` { caller, entry, (atMs, epoch, version), status, allowed ->
        entry.copy(
            atMs = atMs,
            epoch = epoch,
            principal = caller.principal,
            key = caller.key,
            network = caller.network,
            action = caller.action,
            allowed = allowed,
            version = version,
            status = status,
        )
    }

    private val task = combine(
        jobId,
        integers().between(0, 100_000),
        number,
        of(TaskStage.entries),
        of(ExitCause.entries).injectNull(0.5),
        flag,
    ).`as` { job, task, attempt, stage, cause, saved -> TaskStatus(job, task, attempt, stage, cause, saved) }

    val heartbeat: Arbitrary<HeartbeatStatus> = combine(
        combine(frameName, frameName).`as` { id, zone -> id to zone },
        combine(frameText, frameText).`as` { address, type -> address to type },
        combine(flag, amount.injectNull(0.5)).`as` { spot, notice -> spot to notice },
        number.list().ofSize(3),
        task.few(),
    ).`as` { (id, zone), (address, type), (spot, notice), (session, seq, token), tasks ->
        HeartbeatStatus(id, address, type, zone, spot, session, seq, token, notice, tasks)
    }

    private val links = combine(
        combine(longs(), maps(frameName, longs()).ofMaxSize(4), integers().few()).`as` { a, b, c -> Triple(a, b, c) },
        combine(integers(), integers()).`as` { cloudAge, workers -> cloudAge to workers },
        combine(frameName, integers(), integers()).`as` { zone, known, late -> ZoneReach(zone, known, late) }.few(),
        combine(frameName, longs(), integers()).`as` { a, b, c -> LeaderSighting(a, b, c) }.injectNull(0.3),
        frameName.injectNull(0.3),
    ).`as` { (seq, echoes, ages), (cloudAge, workers), zones, leader, successor ->
        ReachabilityReport(seq, echoes, ages, cloudAge, workers, zones, leader, successor)
    }
    private val cancellations = combine(longs().greaterOrEqual(1), jobId.few(), longs(), number).`as` { a, b, c, d ->
        CancellationUpdate(a, b, c, d)
    }
    private val share = combine(frameName, integers().greaterOrEqual(1)).`as` { node, weight ->
        SessionShare(node, weight)
    }
    private val plan =
        combine(longs(), maps(frameName, share.few()).ofMaxSize(3)).`as` { epoch, zones -> SessionPlan(epoch, zones) }
    private val sessions =
        combine(integers().between(0, 1_000_000), plan.injectNull(0.3)).`as` { a, b -> SessionUpdate(a, b) }
    private val status = combine(
        combine(frameName, longs(), longs(), longs(), integers(), integers()).`as` { node, a, b, c, workers, level ->
            PeerStatus(node, a, b, true, c, true, workers, level)
        },
        combine(flag, flag).`as` { leading, reachable -> leading to reachable },
        integers().between(0, 3),
        combine(links, cancellations, sessions).`as` { a, b, c -> Triple(a, b, c) },
    ).`as` { status, (leading, reachable), sections, (links, cancellations, sessions) ->
        status.copy(
            leading = leading,
            isStoreReachable = reachable,
            links = links.takeIf { sections > 0 },
            cancellations = cancellations.takeIf { sections > 1 },
            sessions = sessions.takeIf { sections > 2 },
        )
    }
    private val body = strings().ofMaxLength(60).map { it.encodeToByteArray() }
    private val batched = oneOf(
        combine(longs(), frameText, heartbeat).`as` { id, address, full -> FullHeartbeat(id, address, full) },
        combine(longs(), frameText, frameName, number.list().ofSize(3)).`as` {
                id,
                address,
                machine,
                (base, seq, token),
            ->
            UnchangedHeartbeat(id, address, machine, base, seq, token)
        },
    )

    val frames: Map<Class<out PeerMessage>, Arbitrary<out PeerMessage>> = mapOf(
        PeerStatus::class.java to status,
        ProgressUpdate::class.java to combine(
            longs(),
            combine(jobId, integers(), integers()).`as` { id, done, running -> JobProgress(id, done, running) }.few(),
        ).`as` { epoch, jobs -> ProgressUpdate(epoch, jobs) },
        RelayedHeartbeat::class.java to
            combine(frameName, longs(), longs(), frameText, heartbeat).`as` { a, b, c, d, e ->
                RelayedHeartbeat(a, b, c, d, e)
            },
        RelayedAnswer::class.java to combine(frameName, longs(), integers(), body).`as` { a, b, c, d ->
            RelayedAnswer(a, b, c, d)
        },
        HeartbeatBatch::class.java to combine(frameName, longs(), longs(), batched.few()).`as` { a, b, c, d ->
            HeartbeatBatch(a, b, c, d)
        },
        AnswerBatch::class.java to combine(
            frameName,
            longs(),
            combine(longs(), integers(), body).`as` { id, status, bytes -> BatchedAnswer(id, status, bytes) }.few(),
        ).`as` { a, b, c -> AnswerBatch(a, b, c) },
    )
}

package plankwall.cli.access

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import plankwall.authorization.InvalidPolicyException
import plankwall.authorization.Policy
import plankwall.authorization.PolicyReader
import plankwall.authorization.RuleOutcome
import plankwall.cli.remote.NodeCalls
import plankwall.cli.settings.InvalidSettingsException
import plankwall.core.statemachine.Action
import plankwall.model.JobFacts
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.wire.AdminCodec
import plankwall.wire.JobCodec
import plankwall.wire.MalformedMessageException
import java.io.File
import java.io.IOException
import java.util.concurrent.Callable

@Command(
    name = "rights",
    description = ["Check, explain, test and publish who may do what."],
    mixinStandardHelpOptions = true,
    subcommands = [
        CheckRights::class, ExplainRights::class, TestRights::class, ShowRights::class, PublishRights::class,
        RollBackRights::class,
    ],
)
class RightsCommand : Runnable {
    override fun run() = picocli.CommandLine.usage(this, System.out)
}

internal fun readRights(file: File): Policy = try {
    PolicyReader.read(file.readText(), 1)
} catch (e: InvalidPolicyException) {
    throw InvalidSettingsException("$file: ${e.message}")
} catch (e: IOException) {
    throw InvalidSettingsException("$file: can't be read: ${e.message}")
}

private fun action(word: String): Action = Action.entries.find { it.word == word }
    ?: throw InvalidSettingsException(
        "no action is called '$word'; there are ${Action.entries.joinToString(", ") {
            it.word
        }}",
    )

@Command(
    name = "check",
    description = ["Say what is wrong with a text of rights, or what it holds."],
    mixinStandardHelpOptions = true,
)
class CheckRights : Callable<Int> {
    @Parameters(paramLabel = "FILE", description = ["The text."])
    lateinit var file: File

    override fun call(): Int {
        val policy = readRights(file)
        val (able, idle) = policy.principals.values.partition { policy.rulesOf(it.name).any { r -> r.allows } }
        println("$file: ${policy.principals.size} people, services and nodes, ${able.size} of them with rights")
        idle.filter {
            it.kind != plankwall.authorization.PrincipalKind.NODE
        }.forEach { println("note: nothing is allowed to ${it.name}") }
        if (able.none {
                policy.authorize(it.name, Action.ADMINISTER, null).allowed
            }
        ) {
            println("note: nobody may administer: these rights could not be changed any more")
        }
        return 0
    }
}

/** What a question about rights says of the job. */
class JobOptions {
    @Option(names = ["--class"], description = ["The job's class."])
    var jobClass: String? = null

    @Option(names = ["--team"], description = ["Its team."])
    var team: String? = null

    @Option(names = ["--owner"], description = ["Who submitted it."])
    var owner: String? = null

    @Option(names = ["--priority"], description = ["critical, urgent, normal or low."])
    var priority: String? = null

    @Option(names = ["--shape"], description = ["sweep, ensemble or service."])
    var shape: String? = null

    fun facts(): JobFacts? = if (listOf(jobClass, team, owner, priority, shape).all {
            it == null
        }
    ) {
        null
    } else {
        facts(jobClass, team, owner, priority, shape)
    }
}

private fun facts(jobClass: String?, team: String?, owner: String?, priority: String?, shape: String?) = JobFacts(
    owner,
    jobClass.orEmpty(),
    team.orEmpty(),
    priority?.let { JobCodec.priorityWords[it] ?: throw InvalidSettingsException("no priority is called '$it'") }
        ?: Priority.NORMAL,
    shape?.let { JobCodec.shapeWords[it] ?: throw InvalidSettingsException("no shape is called '$it'") } ?: Shape.ARRAY,
)

@Command(
    name = "explain",
    description = ["Say which rule decides a request, and how the others stand to it."],
    mixinStandardHelpOptions = true,
)
class ExplainRights : Callable<Int> {
    @Parameters(index = "0", paramLabel = "FILE")
    lateinit var file: File

    @Parameters(index = "1", paramLabel = "WHO")
    lateinit var who: String

    @Parameters(index = "2", paramLabel = "ACTION")
    lateinit var wanted: String

    @Mixin
    lateinit var job: JobOptions

    override fun call(): Int {
        val policy = readRights(file)
        val action = action(wanted)
        val verdict = policy.authorize(who, action, job.facts())
        println("$who ${if (verdict.allowed) "may" else "may not"} ${action.word}: ${verdict.rule}")
        for (e in policy.explain(who, action, job.facts())) {
            val how = when (e.standing) {
                RuleOutcome.DECIDES -> "decides"
                RuleOutcome.APPLIES -> if (e.rule.allows ==
                    verdict.allowed
                ) {
                    "says the same"
                } else {
                    "would say otherwise, but a deny wins"
                }
                RuleOutcome.OTHER_ACTION -> "is about something else"
                RuleOutcome.CONDITION_FAILS -> "its condition does not hold"
            }
            println(
                "  line ${e.rule.line}: ${if (e.rule.allows) "allow" else "deny"} ${e.rule.actions.joinToString(", ") {
                    it.word
                }} (${e.rule.name}): $how",
            )
        }
        return 0
    }
}

@Command(
    name = "test",
    mixinStandardHelpOptions = true,
    description = [
        "Try a text against expectations: a YAML list of maps with who, may or may_not, " +
            "and class, team, owner, priority, shape.",
    ],
)
class TestRights : Callable<Int> {
    @Parameters(index = "0", paramLabel = "FILE")
    lateinit var file: File

    @Parameters(index = "1", paramLabel = "EXPECTATIONS")
    lateinit var expectations: File

    override fun call(): Int {
        val policy = readRights(file)
        val rows = try {
            YAMLMapper().readTree(expectations)
        } catch (e: JacksonException) {
            throw InvalidSettingsException("$expectations: not YAML: ${e.originalMessage}")
        } catch (e: IOException) {
            throw InvalidSettingsException("$expectations: can't be read: ${e.message}")
        }
        if (rows == null ||
            !rows.isArray ||
            rows.isEmpty
        ) {
            throw InvalidSettingsException("$expectations: a list of expectations is wanted")
        }
        val wrong = rows.mapIndexedNotNull { n, row -> wrongWith(policy, n + 1, row) }
        wrong.forEach { println(it) }
        println("${rows.size() - wrong.size} passed, ${wrong.size} failed")
        return if (wrong.isEmpty()) 0 else 1
    }

    private fun wrongWith(policy: Policy, n: Int, row: JsonNode): String? {
        row.fieldNames().forEach {
            if (it !in
                FIELDS
            ) {
                throw InvalidSettingsException(
                    "$expectations: expectation $n: $it: unknown; known are ${FIELDS.joinToString(", ")}",
                )
            }
        }
        fun field(name: String): String? = row.get(name)?.asText()
        val who = field("who") ?: throw InvalidSettingsException("$expectations: expectation $n: who: missing")
        val may = row.has("may")
        if (may ==
            row.has("may_not")
        ) {
            throw InvalidSettingsException("$expectations: expectation $n: either may or may_not")
        }
        val words = row.get(if (may) "may" else "may_not").let { v ->
            if (v.isArray) v.map { it.asText() } else listOf(v.asText())
        }
        val facts = if (JOB_FIELDS.none {
                row.has(it)
            }
        ) {
            null
        } else {
            facts(field("class"), field("team"), field("owner"), field("priority"), field("shape"))
        }
        for (word in words) {
            val verdict = policy.authorize(who, action(word), facts)
            if (verdict.allowed !=
                may
            ) {
                return "expectation $n: $who ${if (verdict.allowed) "may" else "may not"} $word: ${verdict.rule}"
            }
        }
        return null
    }

    private companion object {
        val JOB_FIELDS = setOf("class", "team", "owner", "priority", "shape")
        val FIELDS = setOf("who", "may", "may_not") + JOB_FIELDS
    }
}

/** What the commands share that ask a node about its rights. */
abstract class RemoteRights : Callable<Int> {
    @Mixin
    protected lateinit var calls: NodeCalls

    /** Null, with a line that says why, if they can't be had. */
    protected fun current(path: String = "/api/rights"): AdminCodec.RightsView? {
        val answer = calls.ask("GET", path)
        if (answer == null || !answer.good) {
            if (answer != null) calls.report(answer)
            return null
        }
        return try {
            AdminCodec.readRights(answer.body.encodeToByteArray())
        } catch (e: MalformedMessageException) {
            throw InvalidSettingsException("the answer can't be read: ${e.message}")
        }
    }
}

@Command(
    name = "show",
    description = ["Print the rights as they are published, or were."],
    mixinStandardHelpOptions = true,
)
class ShowRights : RemoteRights() {
    @Option(names = ["--version-number"], paramLabel = "N", description = ["An earlier version."])
    var version: Long? = null

    override fun call(): Int {
        val view = current(version?.let { "/api/rights/$it" } ?: "/api/rights") ?: return 1
        System.err.println("version ${view.version}${if (view.by.isEmpty()) "" else " by ${view.by}"}")
        print(view.text)
        return 0
    }
}

@Command(
    name = "publish",
    description = ["Make a text the rights that hold, everywhere within a second."],
    mixinStandardHelpOptions = true,
)
class PublishRights : RemoteRights() {
    @Parameters(paramLabel = "FILE")
    lateinit var file: File

    @Option(
        names = ["--base"],
        paramLabel = "N",
        description = ["The version it follows, if another one in between is to stop it. Default: the present one."],
    )
    var base: Long? = null

    override fun call(): Int {
        readRights(file)
        val follows = base ?: current()?.version ?: return 1
        return calls.report(calls.ask("POST", "/api/rights", AdminCodec.publish(follows, file.readText())))
    }
}

@Command(
    name = "rollback",
    description = ["Publish an earlier version's text again, as a new version."],
    mixinStandardHelpOptions = true,
)
class RollBackRights : RemoteRights() {
    @Option(names = ["--to"], required = true, paramLabel = "N")
    var to: Long = 0

    override fun call(): Int {
        val follows = current()?.version ?: return 1
        return calls.report(calls.ask("POST", "/api/rights", AdminCodec.rollback(follows, to)))
    }
}

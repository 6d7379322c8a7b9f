package plankwall.cli.access

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters
import plankwall.authorization.Policy
import plankwall.cli.settings.InvalidSettingsException
import java.io.File
import java.io.IOException
import java.util.concurrent.Callable

/** Tests a policy against a file of expectations. */
@Command(
    name = "test",
    mixinStandardHelpOptions = true,
    description = [
        "Test a policy against expectations: a YAML list of maps with who, may or may_not, " +
            "and class, team, owner, priority, shape.",
    ],
)
class TestRights : Callable<Int> {
    @Parameters(index = "0", paramLabel = "FILE")
    lateinit var file: File

    @Parameters(index = "1", paramLabel = "EXPECTATIONS")
    lateinit var expectations: File

    override fun call(): Int {
        val policy = readPolicy(file)
        val rows = readRows()
        val failures = rows.mapIndexedNotNull { index, row -> findFailure(policy, index + 1, row) }
        failures.forEach { println(it) }
        println("${rows.size() - failures.size} passed, ${failures.size} failed")
        return if (failures.isEmpty()) 0 else 1
    }

    private fun readRows(): JsonNode {
        val rows = try {
            YAMLMapper().readTree(expectations)
        } catch (e: JacksonException) {
            throw InvalidSettingsException("$expectations", "not YAML: ${e.originalMessage}", e)
        } catch (e: IOException) {
            throw InvalidSettingsException("$expectations", "can't be read: ${e.message}", e)
        }
        if (rows == null || !rows.isArray || rows.isEmpty) {
            throw InvalidSettingsException("$expectations", "must be a list of one or more expectations")
        }
        return rows
    }

    /** Returns how [policy] fails the expectation in [row], the [number]th of the file; null if it meets it. */
    private fun findFailure(policy: Policy, number: Int, row: JsonNode): String? {
        row.fieldNames().forEach {
            if (it !in FIELDS) invalid(number, "$it: unknown; the known fields are ${FIELDS.joinToString(", ")}")
        }
        fun field(name: String): String? = row.get(name)?.asText()
        val who = field("who") ?: invalid(number, "who: missing")
        val expectAllowed = row.has("may")
        if (expectAllowed == row.has("may_not")) invalid(number, "must have either may or may_not")
        val facts = if (JOB_FIELDS.none { row.has(it) }) {
            null
        } else {
            JobAttributes(field("class"), field("team"), field("owner"), field("priority"), field("shape")).toJobFacts()
        }
        for (word in actionWords(row.get(if (expectAllowed) "may" else "may_not"))) {
            val verdict = policy.authorize(who, readAction(word), facts)
            if (verdict.allowed != expectAllowed) {
                return "expectation $number: $who ${if (verdict.allowed) "may" else "may not"} $word: ${verdict.rule}"
            }
        }
        return null
    }

    /** Returns the action words in [node], which is one word or a list of them. */
    private fun actionWords(node: JsonNode): List<String> =
        if (node.isArray) node.map { it.asText() } else listOf(node.asText())

    private fun invalid(number: Int, problem: String): Nothing =
        throw InvalidSettingsException("$expectations", "expectation $number: $problem")

    private companion object {
        val JOB_FIELDS = setOf("class", "team", "owner", "priority", "shape")
        val FIELDS = setOf("who", "may", "may_not") + JOB_FIELDS
    }
}

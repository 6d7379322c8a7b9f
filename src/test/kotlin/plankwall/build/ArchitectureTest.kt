package plankwall.build

import com.tngtech.archunit.core.domain.JavaClass
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Which package may use which. A direction that is not in the table has to be argued for in docs/design.md first. */
class ArchitectureTest {
    private val core =
        setOf(
            "core.step", "core.links", "core.cancellations", "core.lead", "core.jobs", "core.backlog", "core.placing",
            "core.outlook", "core.sessions", "core.relay", "core.rental", "core.workers", "core.front",
        )

    private val allowed: Map<String, Set<String>> = mapOf(
        "model" to emptySet(),
        "wire" to setOf("model"),
        "core.step" to setOf("model", "wire"),
        "core.links" to setOf("model", "wire", "core.step"),
        "core.cancellations" to setOf("model", "wire", "core.step", "core.links"),
        "core.lead" to setOf("model", "wire", "core.step", "core.links", "core.cancellations"),
        "core.jobs" to setOf("model", "wire", "core.step", "core.lead"),
        "core.backlog" to setOf("model", "wire", "core.step", "core.jobs"),
        "core.placing" to setOf("model", "wire", "core.step", "core.jobs", "core.backlog"),
        "core.outlook" to setOf("model", "wire", "core.step", "core.jobs"),
        "core.sessions" to setOf("model", "wire", "core.step", "core.links", "core.jobs"),
        "core.relay" to
            setOf(
                "model",
                "wire",
                "core.step",
                "core.links",
                "core.lead",
                "core.jobs",
                "core.outlook",
                "core.sessions",
            ),
        "core.rental" to
            setOf(
                "model",
                "wire",
                "core.step",
                "core.lead",
                "core.jobs",
                "core.backlog",
                "core.placing",
                "core.outlook",
            ),
        "core.workers" to setOf("model", "wire", "core.step", "core.lead", "core.jobs"),
        "core.front" to
            setOf("model", "wire", "core.step", "core.links", "core.cancellations", "core.lead", "core.jobs"),
        "core" to setOf("model", "wire") + core,
        "identity" to setOf("model", "wire", "core.step"),
        "access.grammar" to emptySet(),
        "access" to setOf("model", "wire", "core.step", "identity", "access.grammar"),
        "audit" to setOf("model", "wire", "core.step", "identity"),
        "gate" to setOf("model", "wire", "core.step", "identity", "access", "audit"),
        "lab" to setOf("model", "wire", "core", "core.step", "identity", "gate"),
        "io" to setOf("model", "wire", "core", "core.step"),
        "lab.scale" to setOf("model", "wire", "io", "lab"),
        "cli.settings" to setOf("model", "identity", "access", "gate"),
        "cli.remote" to setOf("identity", "cli.settings"),
        "cli.access" to setOf(
            "model",
            "wire",
            "core.step",
            "identity",
            "access",
            "audit",
            "cli.settings",
            "cli.remote",
        ),
        "cli" to
            setOf(
                "model", "wire", "core.step", "io", "identity", "gate", "lab", "lab.scale", "cli.settings",
                "cli.remote", "cli.access",
            ),
    )

    private val classes = ClassFileImporter().withImportOption(
        ImportOption.DoNotIncludeTests(),
    ).importPackages("plankwall")

    private fun name(c: JavaClass): String = c.baseComponentType.packageName.removePrefix("plankwall").removePrefix(".")

    @Test
    fun `packages use only what stands below them`() {
        val wrong = classes.flatMap { c ->
            c.directDependenciesFromSelf.map { Triple(name(c), it.targetClass, it.description) }
        }
            .filter { (from, target, _) ->
                target.baseComponentType.packageName.startsWith("plankwall") &&
                    name(target) != from
            }
            .filter { (from, target, _) -> name(target) !in allowed[from].orEmpty() }
            .map { it.third }
        assertEquals(emptyList<String>(), wrong)
    }

    @Test
    fun `every package is in the table, and the table has no cycle`() {
        assertEquals(allowed.keys, classes.map { name(it) }.toSet())
        // Taking away what uses nothing that is left must in the end take away everything.
        val left = allowed.toMutableMap()
        while (left.keys.removeIf { from -> left.getValue(from).none { it in left.keys } }) Unit
        assertTrue(left.isEmpty(), "a cycle among ${left.keys}")
    }

    @Test
    fun `the core has no threads, sockets, files or clocks`() {
        val forbidden =
            listOf(
                "java.io.File",
                "java.nio.file",
                "java.net",
                "java.util.concurrent",
                "kotlinx.coroutines",
                "io.ktor",
                "java.time.Clock",
            )
        val wrong = classes.filter { name(it).startsWith("core") }.flatMap { it.directDependenciesFromSelf }
            .filter { d -> forbidden.any { d.targetClass.name.startsWith(it) } }.map { it.description }
        assertEquals(emptyList<String>(), wrong)
    }
}

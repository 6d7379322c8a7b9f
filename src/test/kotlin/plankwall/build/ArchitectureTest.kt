package plankwall.build

import com.tngtech.archunit.core.domain.JavaClass
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Tests which package uses which others. A dependency that is not in the table has to be justified in docs/design.md
 * before it is added.
 */
class ArchitectureTest {
    private val corePackages =
        setOf(
            "core.statemachine", "core.connectivity", "core.cancellations", "core.store", "core.election", "core.state",
            "core.queue", "core.placement",
            "core.failuredetector", "core.sessions", "core.relay", "core.autoscaling", "core.heartbeat", "core.api",
        )

    /** The packages that each package may use. */
    private val allowedPackages: Map<String, Set<String>> = mapOf(
        "model" to emptySet(),
        "wire" to setOf("model"),
        "core.statemachine" to setOf("model", "wire"),
        "core.connectivity" to setOf("model", "wire", "core.statemachine"),
        "core.cancellations" to setOf("model", "wire", "core.statemachine", "core.connectivity"),
        "core.election" to
            setOf("model", "wire", "core.statemachine", "core.connectivity", "core.cancellations"),
        "core.store" to setOf("model", "wire", "core.statemachine", "core.election"),
        "core.state" to setOf("model", "wire", "core.statemachine", "core.store", "core.election"),
        "core.queue" to setOf("model", "wire", "core.statemachine", "core.state"),
        "core.placement" to setOf("model", "wire", "core.statemachine", "core.state", "core.queue"),
        "core.failuredetector" to setOf("model", "wire", "core.statemachine", "core.state"),
        "core.sessions" to setOf("model", "wire", "core.statemachine", "core.connectivity", "core.state"),
        "core.relay" to
            setOf(
                "model",
                "wire",
                "core.statemachine",
                "core.connectivity",
                "core.store", "core.election",
                "core.state",
                "core.failuredetector",
                "core.sessions",
            ),
        "core.autoscaling" to
            setOf(
                "model",
                "wire",
                "core.statemachine",
                "core.store", "core.election",
                "core.state",
                "core.queue",
                "core.placement",
                "core.failuredetector",
            ),
        "core.heartbeat" to setOf("model", "wire", "core.statemachine", "core.store", "core.election", "core.state"),
        "core.api" to
            setOf(
                "model",
                "wire",
                "core.statemachine",
                "core.connectivity",
                "core.cancellations",
                "core.store",
                "core.election",
                "core.state",
            ),
        "core" to setOf("model", "wire") + corePackages,
        "identity" to setOf("model", "wire", "core.statemachine"),
        "authorization.grammar" to emptySet(),
        "authorization" to setOf("model", "wire", "core.statemachine", "identity", "authorization.grammar"),
        "audit" to setOf("model", "wire", "core.statemachine", "identity"),
        "gateway" to setOf("model", "wire", "core.statemachine", "identity", "authorization", "audit"),
        "simulation" to setOf("model", "wire", "core", "core.statemachine", "identity", "gateway"),
        "io" to setOf("model", "wire", "core", "core.statemachine"),
        "loadtest" to setOf("model", "wire", "io", "simulation"),
        "cli.settings" to setOf("model", "identity", "authorization", "gateway"),
        "cli.remote" to setOf("identity", "cli.settings"),
        "cli.access" to setOf(
            "model",
            "wire",
            "core.statemachine",
            "identity",
            "authorization",
            "audit",
            "cli.settings",
            "cli.remote",
        ),
        "cli" to
            setOf(
                "model", "wire", "core.statemachine", "io", "identity", "gateway", "simulation", "loadtest",
                "cli.settings",
                "cli.remote", "cli.access",
            ),
    )

    private val classes = ClassFileImporter().withImportOption(
        ImportOption.DoNotIncludeTests(),
    ).importPackages("plankwall")

    private fun packageOf(type: JavaClass): String =
        type.baseComponentType.packageName.removePrefix("plankwall").removePrefix(".")

    @Test
    fun `a package uses only the packages that the table allows it`() {
        val violations = classes.flatMap { type ->
            type.directDependenciesFromSelf.map { Triple(packageOf(type), it.targetClass, it.description) }
        }
            .filter { (from, target, _) ->
                target.baseComponentType.packageName.startsWith("plankwall") &&
                    packageOf(target) != from
            }
            .filter { (from, target, _) -> packageOf(target) !in allowedPackages[from].orEmpty() }
            .map { it.third }
        assertEquals(emptyList<String>(), violations)
    }

    @Test
    fun `every package is in the table, and the table has no cycle`() {
        assertEquals(allowedPackages.keys, classes.map { packageOf(it) }.toSet())
        // Repeatedly removing the packages that use none of the remaining ones removes all, unless there is a cycle.
        val remaining = allowedPackages.toMutableMap()
        while (remaining.keys.removeIf { from -> remaining.getValue(from).none { it in remaining.keys } }) Unit
        assertTrue(remaining.isEmpty(), "a cycle among ${remaining.keys}")
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
        val violations = classes.filter { packageOf(it).startsWith("core") }.flatMap { it.directDependenciesFromSelf }
            .filter { dependency -> forbidden.any { dependency.targetClass.name.startsWith(it) } }
            .map { it.description }
        assertEquals(emptyList<String>(), violations)
    }
}

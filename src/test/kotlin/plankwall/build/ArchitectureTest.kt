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
            "core.statemachine", "core.connectivity", "core.cancellations", "core.store", "core.election", "core.state",
            "core.queue", "core.placement",
            "core.failuredetector", "core.sessions", "core.relay", "core.autoscaling", "core.heartbeat", "core.api",
        )

    private val allowed: Map<String, Set<String>> = mapOf(
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
        "core" to setOf("model", "wire") + core,
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

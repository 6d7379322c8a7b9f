package plankwall.cli.settings

import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import picocli.CommandLine
import plankwall.cli.access.AuditCommand
import plankwall.cli.access.KeysCommand
import plankwall.cli.access.RightsCommand
import java.io.ByteArrayOutputStream
import java.io.File
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.attribute.PosixFilePermissions

/** Tests the identities settings, key files, and the commands that write or check keys, rights and audit logs. */
class IdentitiesFileTest {
    @TempDir
    lateinit var folder: File

    /** Runs [command] with [args]; returns its exit code and what it printed. */
    private fun run(command: Any, vararg args: String): Pair<Int, String> {
        val out = ByteArrayOutputStream()
        val originalOut = System.out
        System.setOut(PrintStream(out))
        try {
            val commandLine = CommandLine(command).setExecutionExceptionHandler { exception, _, _ ->
                if (exception is InvalidSettingsException) 2.also { println(exception.message) } else throw exception
            }
            return commandLine.execute(*args) to out.toString()
        } finally {
            System.setOut(originalOut)
        }
    }

    private fun writeFile(name: String, text: String): File = folder.resolve(name).also { it.writeText(text) }

    @Test
    fun `a new key is readable by its owner only, is not overwritten, and its statement is accepted by the policy`() {
        val keyFile = folder.resolve("lea.key")
        val (exitCode, statement) = run(KeysCommand(), "new", "lea", "--out", keyFile.path)
        assertEquals(0, exitCode)
        assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(keyFile.toPath())))
        assertEquals("lea", KeyFiles.readSigningKey(keyFile).principal)
        assertEquals(
            2,
            run(KeysCommand(), "new", "lea", "--out", keyFile.path).first,
            "an existing key is not overwritten",
        )
        val policyFile = writeFile("rights", statement + "role r { allow show; allow administer; } grant r to lea;")
        assertTrue(
            "1 people, services and nodes, 1 of them with rights" in
                run(RightsCommand(), "check", policyFile.path).second,
        )
        for (mode in listOf("rw-r-----", "rw----r--", "rw--w----")) {
            Files.setPosixFilePermissions(keyFile.toPath(), PosixFilePermissions.fromString(mode))
            assertTrue(
                "mode 0600" in assertThrows(InvalidSettingsException::class.java) {
                    KeyFiles.readSigningKey(keyFile)
                }.message.orEmpty(),
                mode,
            )
        }
    }

    @Test
    fun `no error message or printed form of a key contains its secret`() {
        val keyFile = folder.resolve("a.key")
        run(KeysCommand(), "new", "a", "--out", keyFile.path)
        val secret = Regex("\"d\":\"([^\"]+)\"").find(keyFile.readText())?.groupValues?.get(1).orEmpty()
        assertEquals(43, secret.length)
        val readKey = KeyFiles.readSigningKey(keyFile)
        val brokenTexts =
            listOf(
                keyFile.readText().replace("Ed25519", "X25519"),
                keyFile.readText().replace("\"kid\"", "\"kit\""),
                keyFile.readText().dropLast(4),
                keyFile.readText().replace(
                    secret,
                    secret.dropLast(3) + "!!!",
                ),
            )
        val messages = brokenTexts.map { text ->
            keyFile.writeText(text)
            assertThrows(InvalidSettingsException::class.java) { KeyFiles.readSigningKey(keyFile) }.message.orEmpty()
        } + readKey.toString()
        messages.forEach { assertFalse(secret.take(8) in it, it) }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "audience: site | ",
            "audience: site\\nseal_s: 5\\ntrail_share: 0.5\\nunsigned_peers: allow | ",
            "seal_s: 5 | audience: missing",
            "audience: site\\nseals_s: 5 | seals_s: unknown",
            "audience: site\\ntrail_share: 2 | trail_share: 2",
            "audience: site\\nunsigned_peers: maybe | refuse or allow",
            "audience: site\\nworkers_at_listed_address: 3 | true or false",
            "audience: site\\nrights_file: nowhere | nowhere",
            "audience: site\\nnode_key_file: nowhere | nowhere",
            "audience: site\\nrights_file: bad | line 1, column 6",
            "audience: site\\npeer_keys_file: open | mode 0600",
            "- audience | must be a map",
        ],
    )
    fun `valid identities settings are read, and an invalid key, value or file is named in the error`(
        settingsText: String,
        expectedProblem: String?,
    ) {
        writeFile("bad", "role { }")
        writeFile("open", "keys: []")
        val root = YAMLMapper().readTree(settingsText.replace("\\n", "\n"))
        if (expectedProblem == null) {
            assertEquals("site", IdentitiesFile.read(root, folder).audience)
        } else {
            assertTrue(
                expectedProblem in
                    assertThrows(InvalidSettingsException::class.java) {
                        IdentitiesFile.read(root, folder)
                    }.message.orEmpty(),
            )
        }
    }

    @Test
    fun `generated peer keys are read, and a key shorter than 32 bytes is refused`() {
        val keyFile = folder.resolve("peers.keys")
        assertEquals(0, run(KeysCommand(), "peers", "--id", "2026-12", "--out", keyFile.path).first)
        assertEquals(listOf("2026-12"), KeyFiles.readPeerKeys(keyFile).map { it.id })
        keyFile.writeText("keys:\n  - id: a\n    secret: c2hvcnQ=\n")
        assertTrue(
            "32 bytes" in
                assertThrows(InvalidSettingsException::class.java) { KeyFiles.readPeerKeys(keyFile) }.message.orEmpty(),
        )
    }

    @Test
    fun `rights explain names the deciding rule, and rights test accepts expectations without job attributes`() {
        val policyFile =
            writeFile(
                "rights",
                "person lea { } person max { }\nrole r { allow submit where class is solve; allow show; }\ngrant r to lea;\nrule no: deny show to lea where team is red;\n",
            )
        val (exitCode, explanation) = run(RightsCommand(), "explain", policyFile.path, "lea", "show", "--team", "red")
        assertEquals(0, exitCode)
        assertTrue(
            "lea may not show: rule no" in explanation && "line 4: deny show (rule no): decides" in explanation,
            explanation,
        )
        val fulfilledFile =
            writeFile(
                "good.yaml",
                "- {who: lea, may: [submit], class: solve}\n- {who: lea, may_not: submit, class: other}\n- {who: lea, may_not: administer}\n- {who: max, may_not: show}\n",
            )
        assertEquals(0 to "4 passed, 0 failed\n", run(RightsCommand(), "test", policyFile.path, fulfilledFile.path))
        val unfulfilledFile =
            writeFile("bad.yaml", "- {who: lea, may: submit, class: other}\n- {who: max, may_not: show}\n")
        assertEquals(
            1 to "expectation 1: lea may not submit: nothing allows it\n1 passed, 1 failed\n",
            run(RightsCommand(), "test", policyFile.path, unfulfilledFile.path),
        )
        assertEquals(
            2,
            run(RightsCommand(), "test", policyFile.path, writeFile("x.yaml", "- {whom: lea, may: show}\n").path).first,
        )
    }

    @Test
    fun `verify exits with 2 for an empty or truncated copy of the audit log and with 1 for a tampered one`() {
        val policyFile = writeFile("rights", "person lea { }")
        assertEquals(2, run(AuditCommand(), "verify", writeFile("empty", "").path, "--rights", policyFile.path).first)
        assertEquals(
            2,
            run(
                AuditCommand(),
                "verify",
                writeFile("cut", "{\"node\":\"n0\",\"segm").path,
                "--rights",
                policyFile.path,
            ).first,
        )
        assertEquals(
            1,
            run(
                AuditCommand(),
                "verify",
                writeFile("odd", "{\"node\":\"n0\",\"segment\":0,\"value\":{\"f\":0,\"b\":\"x\",\"l\":[\"a\"]}}").path,
                "--rights",
                policyFile.path,
            ).first,
        )
    }
}

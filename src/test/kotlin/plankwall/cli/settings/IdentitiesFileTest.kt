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

class IdentitiesFileTest {
    @TempDir
    lateinit var folder: File

    private fun run(command: Any, vararg args: String): Pair<Int, String> {
        val out = ByteArrayOutputStream()
        val old = System.out
        System.setOut(PrintStream(out))
        try {
            val line = CommandLine(command).setExecutionExceptionHandler { e, _, _ ->
                if (e is InvalidSettingsException) 2.also { println(e.message) } else throw e
            }
            return line.execute(*args) to out.toString()
        } finally {
            System.setOut(old)
        }
    }

    private fun file(name: String, text: String): File = folder.resolve(name).also { it.writeText(text) }

    @Test
    fun `a key is made, kept from others, and makes its owner known`() {
        val key = folder.resolve("lea.key")
        val (code, statement) = run(KeysCommand(), "new", "lea", "--out", key.path)
        assertEquals(0, code)
        assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(key.toPath())))
        assertEquals("lea", KeyFiles.readSigningKey(key).principal)
        assertEquals(2, run(KeysCommand(), "new", "lea", "--out", key.path).first, "never written over")
        val rights = file("rights", statement + "role r { allow show; allow administer; } grant r to lea;")
        assertTrue(
            "1 people, services and nodes, 1 of them with rights" in run(RightsCommand(), "check", rights.path).second,
        )
        for (mode in listOf("rw-r-----", "rw----r--", "rw--w----")) {
            Files.setPosixFilePermissions(key.toPath(), PosixFilePermissions.fromString(mode))
            assertTrue(
                "mode 0600" in assertThrows(InvalidSettingsException::class.java) {
                    KeyFiles.readSigningKey(key)
                }.message.orEmpty(),
                mode,
            )
        }
    }

    @Test
    fun `no word about a key holds any of it`() {
        val key = folder.resolve("a.key")
        run(KeysCommand(), "new", "a", "--out", key.path)
        val secret = Regex("\"d\":\"([^\"]+)\"").find(key.readText())?.groupValues?.get(1).orEmpty()
        assertEquals(43, secret.length)
        val read = KeyFiles.readSigningKey(key)
        val broken =
            listOf(
                key.readText().replace("Ed25519", "X25519"),
                key.readText().replace("\"kid\"", "\"kit\""),
                key.readText().dropLast(4),
                key.readText().replace(
                    secret,
                    secret.dropLast(3) + "!!!",
                ),
            )
        val words = broken.map { text ->
            key.writeText(text)
            assertThrows(InvalidSettingsException::class.java) { KeyFiles.readSigningKey(key) }.message.orEmpty()
        } + read.toString()
        words.forEach { assertFalse(secret.take(8) in it, it) }
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
    fun `what may stand in the file, and one clear line for what may not`(text: String, wrong: String?) {
        file("bad", "role { }")
        file("open", "keys: []")
        val root = YAMLMapper().readTree(text.replace("\\n", "\n"))
        if (wrong == null) {
            assertEquals("site", IdentitiesFile.read(root, folder).audience)
        } else {
            assertTrue(
                wrong in
                    assertThrows(InvalidSettingsException::class.java) {
                        IdentitiesFile.read(root, folder)
                    }.message.orEmpty(),
            )
        }
    }

    @Test
    fun `peer keys are read in their order, and short ones are refused`() {
        val made = folder.resolve("peers.keys")
        assertEquals(0, run(KeysCommand(), "peers", "--id", "2026-12", "--out", made.path).first)
        assertEquals(listOf("2026-12"), KeyFiles.readPeerKeys(made).map { it.id })
        made.writeText("keys:\n  - id: a\n    secret: c2hvcnQ=\n")
        assertTrue(
            "32 bytes" in
                assertThrows(InvalidSettingsException::class.java) { KeyFiles.readPeerKeys(made) }.message.orEmpty(),
        )
    }

    @Test
    fun `rights are explained and tested, also when nothing is expected of the job`() {
        val rights =
            file(
                "rights",
                "person lea { } person max { }\nrole r { allow submit where class is solve; allow show; }\ngrant r to lea;\nrule no: deny show to lea where team is red;\n",
            )
        val (code, told) = run(RightsCommand(), "explain", rights.path, "lea", "show", "--team", "red")
        assertEquals(0, code)
        assertTrue("lea may not show: rule no" in told && "line 4: deny show (rule no): decides" in told, told)
        val good =
            file(
                "good.yaml",
                "- {who: lea, may: [submit], class: solve}\n- {who: lea, may_not: submit, class: other}\n- {who: lea, may_not: administer}\n- {who: max, may_not: show}\n",
            )
        assertEquals(0 to "4 passed, 0 failed\n", run(RightsCommand(), "test", rights.path, good.path))
        val bad = file("bad.yaml", "- {who: lea, may: submit, class: other}\n- {who: max, may_not: show}\n")
        assertEquals(
            1 to "expectation 1: lea may not submit: nothing allows it\n1 passed, 1 failed\n",
            run(RightsCommand(), "test", rights.path, bad.path),
        )
        assertEquals(
            2,
            run(RightsCommand(), "test", rights.path, file("x.yaml", "- {whom: lea, may: show}\n").path).first,
        )
    }

    @Test
    fun `a copy of a trail that is cut off or no copy at all is told from one that was tampered with`() {
        val rights = file("rights", "person lea { }")
        assertEquals(2, run(AuditCommand(), "verify", file("empty", "").path, "--rights", rights.path).first)
        assertEquals(
            2,
            run(AuditCommand(), "verify", file("cut", "{\"node\":\"n0\",\"segm").path, "--rights", rights.path).first,
        )
        assertEquals(
            1,
            run(
                AuditCommand(),
                "verify",
                file("odd", "{\"node\":\"n0\",\"segment\":0,\"value\":{\"f\":0,\"b\":\"x\",\"l\":[\"a\"]}}").path,
                "--rights",
                rights.path,
            ).first,
        )
    }
}

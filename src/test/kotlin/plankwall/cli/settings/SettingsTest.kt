package plankwall.cli.settings

import com.fasterxml.jackson.dataformat.toml.TomlMapper
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.model.StateLimits

/** Tests the reading of the platform's settings file and of the tuning file. */
class SettingsTest {
    private val validToml = """
        node = "n0"
        site = "a"
        front = "10.0.0.1:8080"
        internal_addr = "10.0.0.1:8081"
        new_field = 3
        [external]
        cloud = "10.2.0.2:1"
        state = "10.2.0.1:2"
        [settings]
        zones = ["a"]
        [settings.workers]
        report_s = 3.0
        lease_s = 18.0
        [settings.state]
        rps = 250.0
        write_rps = 100.0
        value_kb = 8.0
        txn_ops = 48
        [settings.cloud]
        rps = 8.0
    """.trimIndent()

    @Test
    fun `an unknown field of the platform settings is ignored`() {
        assertEquals(18.0, SettingsFile.read(TomlMapper().readTree(validToml)).workers.leaseS)
    }

    @ParameterizedTest
    @CsvSource(
        "'front = \"10.0.0.1:8080\"', 'front = \"here\"', front",
        "'lease_s = 18.0', 'lease_s = -1', lease_s",
        "'lease_s = 18.0', 'lease_s = \"long\"', lease_s",
        "'value_kb = 8.0', '', value_kb",
        "'[settings.cloud]', '[settings.fog]', settings.cloud",
        "'node = \"n0\"', '', node",
    )
    fun `an invalid platform setting is refused with its key`(old: String, new: String, key: String) {
        val exception =
            assertThrows(InvalidSettingsException::class.java) {
                SettingsFile.read(TomlMapper().readTree(validToml.replace(old, new)))
            }
        assertTrue(key in exception.message.orEmpty(), exception.message)
    }

    private val announcedToml = validToml.replace(
        "[settings.cloud]",
        "[settings.state.next]\nwrite_rps = 70.0\nvalue_kb = 2.0\ntxn_ops = 10\n[settings.cloud]",
    )

    @Test
    fun `an announced limit of the state service already applies if it is lower than the present one`() {
        assertEquals(
            StateLimits(250.0, 70.0, 2.0, 10),
            SettingsFile.read(TomlMapper().readTree(announcedToml)).strictestStateLimits,
        )
        val largerToml = announcedToml.replace("value_kb = 2.0", "value_kb = 32.0")
        assertEquals(8.0, SettingsFile.read(TomlMapper().readTree(largerToml)).strictestStateLimits.valueKb)
        val settingsWithoutNext = SettingsFile.read(TomlMapper().readTree(validToml))
        assertEquals(settingsWithoutNext.state, settingsWithoutNext.strictestStateLimits)
    }

    @ParameterizedTest
    @CsvSource(
        "'value_kb = 2.0', 'value_kb = 0.5', state.next.value_kb, 1.0..64.0",
        "'txn_ops = 10', '', state.next.txn_ops, 4.0..10000.0",
        "'write_rps = 70.0', 'write_rps = \"few\"', state.next.write_rps, 1.0..1000000.0",
        "'txn_ops = 10', 'txn_ops = 10\nrps = 0', state.next.rps, 1.0..1000000.0",
    )
    fun `an invalid announced limit is refused with its key and range`(
        old: String,
        new: String,
        key: String,
        range: String,
    ) {
        val exception =
            assertThrows(InvalidSettingsException::class.java) {
                SettingsFile.read(TomlMapper().readTree(announcedToml.replace(old, new.replace("\\n", "\n"))))
            }
        assertTrue(
            key in exception.message.orEmpty() && range in exception.message.orEmpty(),
            exception.message,
        )
    }

    @ParameterizedTest
    @CsvSource(
        "'unneeded_secs: 5', unneeded_secs",
        "'halt_unready_share: 2', 0.01..1.0",
        "'unready_s: soon', unready_s",
        "'- 3', map",
        "'leader_lease_s: true', leader_lease_s",
    )
    fun `an invalid tuning setting is refused with its key or range`(yaml: String, expectedProblem: String) {
        val exception =
            assertThrows(InvalidSettingsException::class.java) { TuningFile.read(YAMLMapper().readTree(yaml)) }
        assertTrue(expectedProblem in exception.message.orEmpty(), exception.message)
    }

    @Test
    fun `a tuning setting is read, and an empty file gives the default`() {
        assertEquals(77.0, TuningFile.read(YAMLMapper().readTree("unneeded_s: 77")).unneededS)
        assertEquals(0.0, TuningFile.read(YAMLMapper().readTree("")).unneededS)
    }
}

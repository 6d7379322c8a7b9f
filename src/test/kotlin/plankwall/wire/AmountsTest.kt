package plankwall.wire

import com.fasterxml.jackson.databind.node.ObjectNode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.fixtures.EarlierBuilds
import plankwall.fixtures.RecordJson
import plankwall.simulation.SimulatedCluster
import plankwall.simulation.SimulatedWorker

/** Tests that amounts are stored in a form that this build and earlier ones can read. */
class AmountsTest {
    /**
     * Guards against accepted amounts that are stored with more decimals than readers allow: one such record made every
     * read of the jobs fail on every controller.
     */
    @ParameterizedTest(name = "{0} of {1}")
    @CsvSource(
        "guess_s, 1E-60, 1E-9",
        "guess_s, 0.000000000000000000000000000000000000000000000000000000000001, 1E-9",
        "guess_s, 1234567E-60, 1E-9",
        "size_gb, 1E-59, 1E-9",
        "snapshot_s, 1E-60, 1E-9",
        "stow_s, 12345678901234567E-60, 1E-9",
        "due_s, 1E-60, 1E-9",
        "guess_s, 1.0000000000000001E-9, 1.0000000000000001E-9",
        "guess_s, 0E-60, 0.0",
        "due_s, 999999999.999999999, 1E9",
        "guess_s, 240.12345678901234, 240.12345678901234",
    )
    fun `an accepted amount is read back as an equal value, also by earlier builds`(
        field: String,
        amount: String,
        expected: Double,
    ) {
        val submission = JobCodec.description(SimulatedCluster.job(1).copy(deadlineS = 900.0)).decodeToString()
        val spec = JobCodec.read(
            submission.replace(Regex("\"$field\":[^,}]*"), "\"$field\":$amount").encodeToByteArray(),
        )
        val record = JobRecord(spec, 5, 0, 100)
        val stored = RecordJson.encode(record)
        assertEquals(record, RecordJson.decode(Keys.job(spec.id), stored))
        assertEquals(spec, JobCodec.read(JobCodec.description(spec)))
        assertEquals(emptyList<String>(), EarlierBuilds.unreadableNumbers(stored), stored)
        assertEquals(expected, SimulatedWorker.json.readTree(stored).at("/spec/$field").doubleValue())
    }

    /** Guards against machine types whose stored form can't be read: then no controller knows any machine type. */
    @ParameterizedTest(name = "{0} of {1}")
    @CsvSource(
        "rate, 1E-60", "low_price, 1E-60", "ready_s, 1E-59", "cache_gb, 1E-60", "rate, -1E-60",
        "cache_gb, 999999999999999999.9", "pull_gb_per_s, 999999999999999999.9", "ram_gb, 9007199254740993.007",
        "cores, 9223372036854775.807", "ram_gb, 1E-60", "cores, -2.5",
    )
    fun `a catalog that the cloud may send is read back as an equal value, also by earlier builds`(
        field: String,
        amount: String,
    ) {
        val answer = SimulatedWorker.json.readTree(CloudServiceCodec.writeCatalog(SimulatedCluster.CATALOG))
        (answer.at("/builds/0") as ObjectNode).put(field, amount.toBigDecimal())
        val record = CatalogRecord(CloudCodec.readCatalog(SimulatedWorker.json.writeValueAsBytes(answer)))
        val stored = RecordJson.encode(record)
        assertEquals(record, RecordJson.decode(Keys.CATALOG, stored))
        assertEquals(emptyList<String>(), EarlierBuilds.unreadableNumbers(stored), stored)
    }

    /**
     * Guards against records of earlier builds that this one can't read: they stored any amount that they accepted, in
     * the shortest decimal form of a Double.
     */
    @ParameterizedTest
    @CsvSource("1.0E-60", "4.9406564584124654E-58", "1.2345678901234567E-44", "9.999999999999999E8", "1.0E9")
    fun `a job record that an earlier build stored is read, and earlier builds can read it when it is rewritten`(
        amount: String,
    ) {
        val stored = RecordJson.encode(JobRecord(SimulatedCluster.job(1), 5, 0, 100))
            .replace(Regex("\"(size_gb|guess_s|snapshot_s|stow_s)\":[^,}]*"), "\"$1\":$amount")
        val record = RecordJson.decode(Keys.job("job-000001"), stored) as JobRecord
        assertTrue(record.spec.estimateS > 0 && record.spec.checkpointS > 0, "$record")
        val rewritten = RecordJson.encode(record.copy(cancelledMs = 6))
        assertEquals(record.copy(cancelledMs = 6), RecordJson.decode(Keys.job("job-000001"), rewritten))
        assertEquals(emptyList<String>(), EarlierBuilds.unreadableNumbers(rewritten), rewritten)
    }

    /** Guards against machine types of earlier builds that this one can't read. */
    @ParameterizedTest
    @CsvSource("rate, 1.0E-60", "cache_gb, 1.0E18", "ready_s, -1.0E18", "ram_gb, 9.223372036854775E15")
    fun `a catalog that an earlier build stored is read`(field: String, amount: String) {
        val stored = RecordJson.encode(CatalogRecord(SimulatedCluster.CATALOG))
            .replace(Regex("\"$field\":[^,}]*"), "\"$field\":$amount")
        val record = RecordJson.decode(Keys.CATALOG, stored) as CatalogRecord
        assertEquals(listOf("box"), record.catalog.types.map { it.name })
        assertEquals(record, RecordJson.decode(Keys.CATALOG, RecordJson.encode(record)))
    }
}

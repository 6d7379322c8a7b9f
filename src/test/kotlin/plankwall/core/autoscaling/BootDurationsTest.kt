package plankwall.core.autoscaling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.simulation.SimulatedCluster

/** For how long a machine on its way is counted on, after boots of machines whose type should take 10 s. */
class BootDurationsTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "'nothing seen yet', 0, 0, 0, 0, 15",
        "'too few seen', 5, 40, 0, 0, 15",
        "'quick boots do not make it impatient', 100, 5, 0, 0, 15",
        "'one straggler in twenty does not make it patient', 95, 10, 5, 80, 15",
        "'when all are slow it waits longer', 60, 20, 0, 0, 24",
        "'and forgets slow times', 60, 20, 100, 10, 15",
    )
    fun `stragglers are not counted on for long`(
        name: String,
        first: Int,
        firstS: Double,
        then: Int,
        thenS: Double,
        overdueAfterS: Double,
    ) {
        val type = SimulatedCluster.CATALOG.types.single()
        val boots = BootDurations()
        repeat(first) { boots.record(type, firstS) }
        repeat(then) { boots.record(type, thenS) }
        assertEquals(overdueAfterS, boots.overdueAfterS(type), 0.5, name)
    }
}

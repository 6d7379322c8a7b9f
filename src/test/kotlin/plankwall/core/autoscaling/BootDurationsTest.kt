package plankwall.core.autoscaling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.simulation.SimulatedCluster

/**
 * Tests after how long a booting machine is overdue, given earlier boots of its type, which nominally boots in 10 s.
 */
class BootDurationsTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, earlier boots and the seconds that each took, later boots and the seconds that each took, seconds until
        // a boot is overdue
        "'the nominal limit holds before any boot', 0, 0, 0, 0, 15",
        "'the nominal limit holds after too few boots', 5, 40, 0, 0, 15",
        "'quick boots do not lower the limit', 100, 5, 0, 0, 15",
        "'one slow boot in twenty does not raise the limit', 95, 10, 5, 80, 15",
        "'the limit rises when all boots are slow', 60, 20, 0, 0, 24",
        "'the limit falls again when boots become quick', 60, 20, 100, 10, 15",
    )
    fun `a boot is overdue when it takes clearly longer than nearly all others`(
        name: String,
        earlierBoots: Int,
        earlierS: Double,
        laterBoots: Int,
        laterS: Double,
        overdueAfterS: Double,
    ) {
        val type = SimulatedCluster.CATALOG.types.single()
        val boots = BootDurations()
        repeat(earlierBoots) { boots.record(type, earlierS) }
        repeat(laterBoots) { boots.record(type, laterS) }
        assertEquals(overdueAfterS, boots.overdueAfterS(type), 0.5, name)
    }
}

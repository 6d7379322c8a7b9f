package plankwall

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.rental.Estimator
import plankwall.core.rental.Growth
import plankwall.sim.CoreParts
import plankwall.sim.World

/** What is rented for one waiting task beside one busy machine. */
class EstimatorTest {
    private val core = CoreParts()
    private val ctx = core.ctx

    private fun learn(number: Int, gpus: Long, runS: Double, waitedS: Double) =
        core.learn(World.job(number, tasks = 1, gpus = gpus, runS = runS), waitedS)

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, accelerators wanted, seconds waited, seconds until the running task should end, arriving machines, machines rented
        "'room comes free before a new machine could', 4, 0, 5, 0, 0",
        "'a task put off with that for a while is put off no more', 4, 10, 5, 0, 1",
        "'room comes free too late', 4, 0, 100, 0, 1",
        "'room is left', 1, 60, 100, 0, 0",
        "'a machine is on its way', 4, 60, 100, 1, 0",
    )
    fun `rents what nothing else will give`(name: String, gpus: Long, waitedS: Double, endsInS: Double, arriving: Int, rented: Int) {
        val m = core.machine("i-000001")
        val runS = maxOf(20.0, endsInS * 2)
        val running = learn(1, 3, runS, 300.0)
        core.book.place(running, 0, m, 1).runningSince = ctx.now - runS + endsInS
        val waiting = learn(4, gpus, 20.0, waitedS)
        val wanted = Estimator(ctx, core.book, World.CATALOG).estimate(
            listOf(m), listOf(waiting), { it.waiting.size }, List(arriving) { CoreParts.GROUP }, { true }, Growth.NONE, { 0 },
        )
        assertEquals(rented, wanted.values.sum(), name)
    }
}

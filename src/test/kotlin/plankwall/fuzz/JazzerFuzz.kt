package plankwall.fuzz

import com.code_intelligence.jazzer.api.FuzzedDataProvider
import com.code_intelligence.jazzer.junit.FuzzTest

/**
 * Jazzer looks for inputs by what they reach. Not among the tests of a build, which give the same verdict every time:
 * one target is run by `JAZZER_FUZZ=1 mvn test -Dtest=JazzerFuzz#token`, and what it finds joins the seeds in
 * `src/test/resources`.
 */
class JazzerFuzz {
    @FuzzTest(maxDuration = "10m")
    fun rights(data: FuzzedDataProvider) = Targets.run("rights", data.consumeRemainingAsBytes())

    @FuzzTest(maxDuration = "10m")
    fun token(data: FuzzedDataProvider) = Targets.run("token", data.consumeRemainingAsBytes())

    @FuzzTest(maxDuration = "10m")
    fun frame(data: FuzzedDataProvider) = Targets.run("frame", data.consumeRemainingAsBytes())

    @FuzzTest(maxDuration = "10m")
    fun auditLog(data: FuzzedDataProvider) = Targets.run("trail", data.consumeRemainingAsBytes())

    @FuzzTest(maxDuration = "10m")
    fun network(data: FuzzedDataProvider) = Targets.run("network", data.consumeRemainingAsBytes())
}

package plankwall.fuzz

import com.code_intelligence.jazzer.api.FuzzedDataProvider
import com.code_intelligence.jazzer.junit.FuzzTest

/**
 * Runs the fuzz targets with Jazzer, which searches for inputs by the code that they reach. It is not part of the tests
 * of a build, which give the same result in every run. `JAZZER_FUZZ=1 mvn test -Dtest=JazzerFuzz#token` runs one
 * target; inputs that it finds are added to the seeds in `src/test/resources`.
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
    fun message(data: FuzzedDataProvider) = Targets.run("message", data.consumeRemainingAsBytes())

    @FuzzTest(maxDuration = "10m")
    fun network(data: FuzzedDataProvider) = Targets.run("network", data.consumeRemainingAsBytes())
}

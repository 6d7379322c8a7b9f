package plankwall.load

import org.HdrHistogram.Histogram
import plankwall.identity.SigningKey
import plankwall.identity.Tokens
import java.io.File
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.time.Duration
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Measures by hand, not in CI: three real processes on loopback under submissions, with identities on and off by turns
 * in one run. Run by `mvn -q test-compile exec:java -Dexec.classpathScope=test
 * -Dexec.mainClass=plankwall.load.SignedLoadKt`.
 */
class SignedLoad(
    private val jar: File,
    private val services: LoopbackServices,
    private val signed: Boolean,
    round: Int,
) : AutoCloseable {
    private val folder = Files.createTempDirectory("plankwall-load").toFile()
    private val key = SigningKey.generate("loader", "k1")
    private val fronts = List(3) { free() }
    private val inner = List(3) { free() }
    private val nodes: List<Process>
    private val ids = AtomicInteger()
    private val base = 1_000_000 * (round + 1)
    private val client = HttpClient.newBuilder().version(
        HttpClient.Version.HTTP_1_1,
    ).connectTimeout(Duration.ofSeconds(2)).build()

    init {
        folder.resolve("rights").writeText(
            """service loader { key k1 "${key.x}"; } service other { } role all { allow anything where team is t; allow administer, show; } grant all to loader;""",
        )
        folder.resolve(
            "identities.yaml",
        ).writeText(
            "audience: load\nrights_file: rights\ndenials_per_s: 10000\ndenial_burst: 10000\ntrail_share: 0.9\n",
        )
        nodes = List(3) { start(it) }
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20)
        while (System.nanoTime() < end && !fronts.all { up(it) }) Thread.sleep(100)
        check(fronts.all { up(it) }) { "nodes did not come up: see $folder" }
        Thread.sleep(2000)
    }

    private fun free(): Int = ServerSocket(0).use { it.localPort }

    private fun start(n: Int): Process {
        val known = (0..2).filter {
            it != n
        }.joinToString("\n") { "[[known]]\nnode = \"n$it\"\nsite = \"a\"\naddress = \"127.0.0.1:${inner[it]}\"" }
        val config = folder.resolve("n$n.toml")
        config.writeText(
            """
            node = "n$n"
            site = "a"
            front = "127.0.0.1:${fronts[n]}"
            internal_addr = "127.0.0.1:${inner[n]}"
            """.trimIndent() + "\n$known\n" + """
            [external]
            cloud = "${services.address}"
            state = "${services.address}"
            [settings]
            zones = ["a"]
            [[settings.teams]]
            name = "t"
            [settings.workers]
            report_s = 3.0
            lease_s = 20.0
            [settings.state]
            rps = 100000.0
            write_rps = 100000.0
            value_kb = ${System.getenv("LOAD_KB") ?: "8.0"}
            txn_ops = 48
            [settings.cloud]
            rps = 5.0
            """.trimIndent(),
        )
        val flags = (
            "-Xmx64m -Xms32m -Xss256k -XX:MaxMetaspaceSize=64m -XX:ReservedCodeCacheSize=24m " +
                "-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto"
            ).split(
            ' ',
        )
        val proofs = if (signed) listOf("--identities", folder.resolve("identities.yaml").path) else emptyList()
        return ProcessBuilder(
            listOf("java") + flags + listOf("-jar", jar.path, "serve", "--config", config.path) + proofs,
        )
            .redirectError(folder.resolve("n$n.log")).also { it.environment()["LOG_LEVEL"] = "error" }.start()
    }

    private fun up(port: Int): Boolean = try {
        client.send(
            HttpRequest.newBuilder(URI("http://127.0.0.1:$port/up")).timeout(Duration.ofSeconds(1)).build(),
            HttpResponse.BodyHandlers.discarding(),
        ).statusCode() ==
            200
    } catch (_: java.io.IOException) {
        false
    }

    /** Signing is the client's time, so a request is ready before its time is taken. */
    private fun request(method: String, path: String, body: String, n: Int): HttpRequest {
        val request = HttpRequest.newBuilder(
            URI("http://127.0.0.1:${fronts[n % 3]}$path"),
        ).timeout(Duration.ofSeconds(5))
            .method(
                method,
                if (body.isEmpty()) HttpRequest.BodyPublishers.noBody() else HttpRequest.BodyPublishers.ofString(body),
            )
        if (signed) {
            val bytes = body.encodeToByteArray()
            request.header(
                "Authorization",
                Tokens.authorization(
                    Tokens.sign(
                        key,
                        "load",
                        "t${ids.getAndIncrement()}",
                        System.currentTimeMillis(),
                        30,
                        Tokens.fingerprintOf(method, path, bytes),
                    ),
                ),
            )
        }
        return request.build()
    }

    private fun send(request: HttpRequest): Int = try {
        client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode()
    } catch (_: java.io.IOException) {
        0
    }

    private fun cpuMs(): Long = nodes.sumOf { it.info().totalCpuDuration().orElse(Duration.ZERO).toMillis() }

    class Result(
        val signed: Boolean,
        val what: String,
        val perSecond: Double,
        val latency: Histogram,
        val cpuMsEach: Double,
        val changesEach: Double,
        val statuses: Map<Int, Int>,
    ) {
        override fun toString() =
            "%-8s %-8s %7.1f/s  p50 %6.2f  p99 %6.2f  p99.9 %6.2f ms  cpu %.2f ms each  %.3f changes each  %s".format(
                if (signed) "signed" else "plain", what, perSecond, latency.getValueAtPercentile(50.0) / 1000.0,
                latency.getValueAtPercentile(99.0) / 1000.0,
                latency.getValueAtPercentile(99.9) / 1000.0, cpuMsEach, changesEach, statuses.toSortedMap(),
            )
    }

    /** [count] requests by [clients] at once, [perSecond] in all. */
    fun run(what: String, offset: Int, count: Int, clients: Int, perSecond: Int): Result {
        val latency = Histogram(60_000_000, 3)
        val next = AtomicInteger()
        val failed = java.util.concurrent.ConcurrentHashMap<Int, Int>()
        val pool = Executors.newFixedThreadPool(clients)
        val cpu = cpuMs()
        val changes = services.changes.get()
        val began = System.nanoTime()
        val last = AtomicLong()
        repeat(clients) {
            pool.execute {
                while (true) {
                    val n = next.getAndIncrement()
                    if (n >= count) break
                    val due = began + n * 1_000_000_000L / perSecond
                    val wait = due - System.nanoTime()
                    if (wait > 0) TimeUnit.NANOSECONDS.sleep(wait)
                    val request = request(what, base + offset + n)
                    val at = System.nanoTime()
                    val status = send(request)
                    val took = (System.nanoTime() - at) / 1000
                    synchronized(latency) { latency.recordValue(took.coerceAtMost(60_000_000)) }
                    failed.merge(status, 1, Int::plus)
                    last.set(System.nanoTime())
                }
            }
        }
        pool.shutdown()
        check(pool.awaitTermination(5, TimeUnit.MINUTES)) { "the load did not end" }
        val seconds = (last.get() - began) / 1e9
        return Result(
            signed,
            what,
            count / seconds,
            latency,
            (cpuMs() - cpu).toDouble() / count,
            (services.changes.get() - changes).toDouble() / count,
            failed,
        )
    }

    private fun request(what: String, n: Int): HttpRequest {
        val id = "job-%09d".format(n)
        fun job(team: String) = """{"id":"$id","docket":"c","crew":"$team","shape":"sweep","urgency":"low",""" +
            """"pieces":1,"cores":1.0,"accelerators":0.0,"ram_gb":1.0,""" +
            """"mould":"m","size_gb":1.0,"guess_s":1.0,"snapshot_s":0.0,"stow_s":0.0}"""
        return when (what) {
            "submit" -> request("POST", "/api/jobs", job("t"), n)
            "denied" -> request("POST", "/api/jobs", job("u"), n)
            else -> request("GET", "/api/jobs/$id", "", n)
        }
    }

    override fun close() {
        nodes.forEach { it.destroyForcibly().waitFor() }
        folder.deleteRecursively()
    }
}

fun main() {
    // Else every answer of the stand-ins waits for an acknowledgement, some 40 ms.
    System.setProperty("sun.net.httpserver.nodelay", "true")
    val jar = File("target/plankwall.jar")
    for (round in 0 until 2) {
        for (signed in (
            System.getenv("LOAD_ONLY")?.let { listOf(it == "signed") }
                ?: listOf(false, true)
            )) {
            LoopbackServices().use { services ->
                SignedLoad(jar, services, signed, round).use { load ->
                    load.run("submit", 0, 500, 8, 200)
                    println(load.run("submit", 10_000, 2000, 8, 100))
                    println(load.run("submit", 20_000, 3000, 32, 100_000))
                    println(load.run("show", 10_000, 2000, 8, 200))
                    if (signed) println(load.run("denied", 30_000, 6000, 300, 450))
                }
            }
        }
    }
}

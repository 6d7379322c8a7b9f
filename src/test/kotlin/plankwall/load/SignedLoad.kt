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
 * Measures throughput, latency and CPU time of three controllers that run as real processes on loopback. One run
 * measures by turns with signed requests and without identities. Run by hand, not in CI, with
 * `mvn -q test-compile exec:java -Dexec.classpathScope=test
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
    private val frontPorts = List(3) { findFreePort() }
    private val internalPorts = List(3) { findFreePort() }
    private val nodes: List<Process>
    private val nextTokenId = AtomicInteger()

    /** The first job number of this round, so that no two rounds use the same jobs. */
    private val firstJob = 1_000_000 * (round + 1)
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
        nodes = List(3) { startNode(it) }
        val deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20)
        while (System.nanoTime() < deadlineNs && !frontPorts.all { isUp(it) }) Thread.sleep(100)
        check(frontPorts.all { isUp(it) }) { "nodes did not come up: see $folder" }
        Thread.sleep(2000)
    }

    private fun findFreePort(): Int = ServerSocket(0).use { it.localPort }

    private fun startNode(index: Int): Process {
        val peers = (0..2).filter {
            it != index
        }
            .joinToString("\n") {
                "[[known]]\nnode = \"n$it\"\nsite = \"a\"\naddress = \"127.0.0.1:${internalPorts[it]}\""
            }
        val config = folder.resolve("n$index.toml")
        config.writeText(
            """
            node = "n$index"
            site = "a"
            front = "127.0.0.1:${frontPorts[index]}"
            internal_addr = "127.0.0.1:${internalPorts[index]}"
            """.trimIndent() + "\n$peers\n" + """
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
        val identityArgs = if (signed) listOf("--identities", folder.resolve("identities.yaml").path) else emptyList()
        return ProcessBuilder(
            listOf("java") + flags + listOf("-jar", jar.path, "serve", "--config", config.path) + identityArgs,
        )
            .redirectError(folder.resolve("n$index.log")).also { it.environment()["LOG_LEVEL"] = "error" }.start()
    }

    private fun isUp(port: Int): Boolean = try {
        client.send(
            HttpRequest.newBuilder(URI("http://127.0.0.1:$port/up")).timeout(Duration.ofSeconds(1)).build(),
            HttpResponse.BodyHandlers.discarding(),
        ).statusCode() ==
            200
    } catch (_: java.io.IOException) {
        false
    }

    /**
     * Returns a request to one of the nodes, chosen by [number]. It is complete with its signature before its latency
     * is measured, because signing takes the client's time, not the server's.
     */
    private fun buildRequest(method: String, path: String, body: String, number: Int): HttpRequest {
        val builder = HttpRequest.newBuilder(
            URI("http://127.0.0.1:${frontPorts[number % 3]}$path"),
        ).timeout(Duration.ofSeconds(5))
            .method(
                method,
                if (body.isEmpty()) HttpRequest.BodyPublishers.noBody() else HttpRequest.BodyPublishers.ofString(body),
            )
        if (signed) {
            val bytes = body.encodeToByteArray()
            builder.header(
                "Authorization",
                Tokens.authorization(
                    Tokens.sign(
                        key,
                        "load",
                        "t${nextTokenId.getAndIncrement()}",
                        System.currentTimeMillis(),
                        30,
                        Tokens.fingerprintOf(method, path, bytes),
                    ),
                ),
            )
        }
        return builder.build()
    }

    /** Sends [request]; returns its status, or 0 if the connection failed. */
    private fun send(request: HttpRequest): Int = try {
        client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode()
    } catch (_: java.io.IOException) {
        0
    }

    /** The CPU time that all nodes have used so far. */
    private fun cpuMs(): Long = nodes.sumOf { it.info().totalCpuDuration().orElse(Duration.ZERO).toMillis() }

    /** The result of one [run]. [cpuMsEach], [changesEach]: per request. [statuses]: the count of answers by status. */
    class Result(
        val signed: Boolean,
        val requestKind: String,
        val perSecond: Double,
        val latency: Histogram,
        val cpuMsEach: Double,
        val changesEach: Double,
        val statuses: Map<Int, Int>,
    ) {
        override fun toString() =
            "%-8s %-8s %7.1f/s  p50 %6.2f  p99 %6.2f  p99.9 %6.2f ms  cpu %.2f ms each  %.3f changes each  %s".format(
                if (signed) "signed" else "plain", requestKind, perSecond, latency.getValueAtPercentile(50.0) / 1000.0,
                latency.getValueAtPercentile(99.0) / 1000.0,
                latency.getValueAtPercentile(99.9) / 1000.0, cpuMsEach, changesEach, statuses.toSortedMap(),
            )
    }

    /**
     * Sends [count] requests of one kind with [clients] concurrent clients, [perSecond] in total. [requestKind]:
     * submit, denied or show. [offset]: the first job number within this round.
     */
    fun run(requestKind: String, offset: Int, count: Int, clients: Int, perSecond: Int): Result {
        val latency = Histogram(60_000_000, 3)
        val nextIndex = AtomicInteger()
        val statuses = java.util.concurrent.ConcurrentHashMap<Int, Int>()
        val pool = Executors.newFixedThreadPool(clients)
        val cpuMsBefore = cpuMs()
        val changesBefore = services.changes.get()
        val startedNs = System.nanoTime()
        val lastAnswerNs = AtomicLong()
        repeat(clients) {
            pool.execute {
                while (true) {
                    val index = nextIndex.getAndIncrement()
                    if (index >= count) break
                    val dueNs = startedNs + index * 1_000_000_000L / perSecond
                    val waitNs = dueNs - System.nanoTime()
                    if (waitNs > 0) TimeUnit.NANOSECONDS.sleep(waitNs)
                    val request = buildRequest(requestKind, firstJob + offset + index)
                    val sentNs = System.nanoTime()
                    val status = send(request)
                    val latencyUs = (System.nanoTime() - sentNs) / 1000
                    synchronized(latency) { latency.recordValue(latencyUs.coerceAtMost(60_000_000)) }
                    statuses.merge(status, 1, Int::plus)
                    lastAnswerNs.set(System.nanoTime())
                }
            }
        }
        pool.shutdown()
        check(pool.awaitTermination(5, TimeUnit.MINUTES)) { "the load did not end" }
        val seconds = (lastAnswerNs.get() - startedNs) / 1e9
        return Result(
            signed,
            requestKind,
            count / seconds,
            latency,
            (cpuMs() - cpuMsBefore).toDouble() / count,
            (services.changes.get() - changesBefore).toDouble() / count,
            statuses,
        )
    }

    /** Returns a request of this kind about the job [jobNumber]. A denied one submits for a team without rights. */
    private fun buildRequest(requestKind: String, jobNumber: Int): HttpRequest {
        val id = "job-%09d".format(jobNumber)
        fun jobOf(team: String) = """{"id":"$id","docket":"c","crew":"$team","shape":"sweep","urgency":"low",""" +
            """"pieces":1,"cores":1.0,"accelerators":0.0,"ram_gb":1.0,""" +
            """"mould":"m","size_gb":1.0,"guess_s":1.0,"snapshot_s":0.0,"stow_s":0.0}"""
        return when (requestKind) {
            "submit" -> buildRequest("POST", "/api/jobs", jobOf("t"), jobNumber)
            "denied" -> buildRequest("POST", "/api/jobs", jobOf("u"), jobNumber)
            else -> buildRequest("GET", "/api/jobs/$id", "", jobNumber)
        }
    }

    override fun close() {
        nodes.forEach { it.destroyForcibly().waitFor() }
        folder.deleteRecursively()
    }
}

fun main() {
    // Without this setting, each answer of the stand-ins waits about 40 ms for an acknowledgement.
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

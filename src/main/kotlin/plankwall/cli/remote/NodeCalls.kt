package plankwall.cli.remote

import picocli.CommandLine.Option
import plankwall.cli.settings.InvalidSettingsException
import plankwall.cli.settings.KeyFiles
import plankwall.identity.SigningKey
import plankwall.identity.Tokens
import java.io.File
import java.io.IOException
import java.net.URI
import java.net.URISyntaxException
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.UUID

/** What the commands that talk to a running node share: where it is, and who asks. */
class NodeCalls {
    @Option(
        names = ["--node"],
        required = true,
        paramLabel = "HOST:PORT",
        description = ["A controller's front address."],
    )
    lateinit var node: String

    @Option(
        names = ["--key"],
        paramLabel = "FILE",
        defaultValue = "\${env:PLANKWALL_KEY}",
        description = ["Your private key, where the service wants to know who asks. Default: \$PLANKWALL_KEY."],
    )
    var keyFile: File? = null

    @Option(
        names = ["--audience"],
        paramLabel = "NAME",
        defaultValue = "\${env:PLANKWALL_AUDIENCE:-plankwall}",
        description = ["The installation that the proof is meant for. Default: \$PLANKWALL_AUDIENCE, or plankwall."],
    )
    var audience: String = "plankwall"

    private val key: SigningKey? by lazy { keyFile?.let { KeyFiles.signing(it) } }
    private val client =
        lazy { HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build() }

    class Answer(val status: Int, val body: String) {
        val isSuccess: Boolean get() = status in 200..299
    }

    /** Null, with a line that says why, if there was no answer. */
    fun ask(method: String, path: String, body: ByteArray? = null): Answer? {
        val publisher = if (body == null) {
            HttpRequest.BodyPublishers.noBody()
        } else {
            HttpRequest.BodyPublishers.ofByteArray(body)
        }
        val request = try {
            HttpRequest.newBuilder(URI("http://$node$path")).method(method, publisher).timeout(TIMEOUT)
        } catch (e: URISyntaxException) {
            throw InvalidSettingsException("--node", e.message.orEmpty(), e)
        } catch (e: IllegalArgumentException) {
            throw InvalidSettingsException("--node", e.message.orEmpty(), e)
        }
        key?.let { request.header("Authorization", proof(it, method, path, body ?: ByteArray(0))) }
        return try {
            val response = client.value.send(request.build(), HttpResponse.BodyHandlers.ofString())
            Answer(response.statusCode(), response.body())
        } catch (e: IOException) {
            System.err.println("plankwall: $node: ${e.message ?: e.javaClass.simpleName}")
            null
        }
    }

    /** Made anew for each request and good for that one only. */
    private fun proof(key: SigningKey, method: String, path: String, body: ByteArray): String = Tokens.authorization(
        Tokens.sign(
            key,
            audience,
            UUID.randomUUID().toString(),
            System.currentTimeMillis(),
            TOKEN_S,
            Tokens.fingerprintOf(method, path, body),
        ),
    )

    /** Prints an answer; the exit code that it means. */
    fun report(answer: Answer?): Int {
        if (answer == null) return 1
        println(answer.body)
        return if (answer.isSuccess) 0 else 1.also { System.err.println("plankwall: status ${answer.status}") }
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(5)
        const val TOKEN_S = 30
    }
}

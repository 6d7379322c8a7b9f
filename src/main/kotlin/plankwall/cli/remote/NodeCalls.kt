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

/** The options that address and authenticate calls to a running node, and the calls themselves. */
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
        description = ["Your private key, needed if callers must authenticate. Default: \$PLANKWALL_KEY."],
    )
    var keyFile: File? = null

    @Option(
        names = ["--audience"],
        paramLabel = "NAME",
        defaultValue = "\${env:PLANKWALL_AUDIENCE:-plankwall}",
        description = ["The installation that the token is meant for. Default: \$PLANKWALL_AUDIENCE, or plankwall."],
    )
    var audience: String = "plankwall"

    private val key: SigningKey? by lazy { keyFile?.let { KeyFiles.readSigningKey(it) } }
    private val client =
        lazy { HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(REQUEST_TIMEOUT).build() }

    /** The node's answer to a request. */
    class Answer(val status: Int, val body: String) {
        /** Whether the status is in the 2xx class. */
        val isSuccess: Boolean get() = status in 200..299
    }

    /**
     * Sends a request to the node and returns its answer; null, with the reason on standard error, if there was none.
     * Throws [InvalidSettingsException] if the node's address is malformed.
     */
    fun sendRequest(method: String, path: String, body: ByteArray? = null): Answer? {
        val publisher = if (body == null) {
            HttpRequest.BodyPublishers.noBody()
        } else {
            HttpRequest.BodyPublishers.ofByteArray(body)
        }
        val request = try {
            HttpRequest.newBuilder(URI("http://$node$path")).method(method, publisher).timeout(REQUEST_TIMEOUT)
        } catch (e: URISyntaxException) {
            throw InvalidSettingsException("--node", e.message.orEmpty(), e)
        } catch (e: IllegalArgumentException) {
            throw InvalidSettingsException("--node", e.message.orEmpty(), e)
        }
        key?.let { request.header("Authorization", createAuthorization(it, method, path, body ?: ByteArray(0))) }
        return try {
            val response = client.value.send(request.build(), HttpResponse.BodyHandlers.ofString())
            Answer(response.statusCode(), response.body())
        } catch (e: IOException) {
            System.err.println("plankwall: $node: ${e.message ?: e.javaClass.simpleName}")
            null
        }
    }

    /** Returns the value of `Authorization` for one request: a token that is valid for that request only. */
    private fun createAuthorization(key: SigningKey, method: String, path: String, body: ByteArray): String =
        Tokens.authorization(
            Tokens.sign(
                key,
                audience,
                UUID.randomUUID().toString(),
                System.currentTimeMillis(),
                TOKEN_LIFETIME_S,
                Tokens.fingerprintOf(method, path, body),
            ),
        )

    /** Prints [answer] and returns the exit code: 0 if the request succeeded, 1 if it failed or was not answered. */
    fun printAnswer(answer: Answer?): Int {
        if (answer == null) return 1
        println(answer.body)
        return if (answer.isSuccess) 0 else 1.also { System.err.println("plankwall: status ${answer.status}") }
    }

    private companion object {
        val REQUEST_TIMEOUT: Duration = Duration.ofSeconds(5)
        const val TOKEN_LIFETIME_S = 30
    }
}

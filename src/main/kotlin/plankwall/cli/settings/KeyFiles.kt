package plankwall.cli.settings

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import plankwall.identity.MalformedKeyException
import plankwall.identity.PeerKey
import plankwall.identity.SigningKey
import java.io.File
import java.io.IOException
import java.nio.file.FileAlreadyExistsException
import java.nio.file.Files
import java.nio.file.attribute.PosixFilePermission
import java.nio.file.attribute.PosixFilePermissions
import java.util.Base64

/** Files that hold secrets. Nothing of their content gets into a message. */
object KeyFiles {
    private const val OWNER_ONLY = "rw-------"
    private const val MIN_SECRET_BYTES = 32
    private const val MAX_ID_LENGTH = 100

    /** The text of a file that only its owner may read. */
    private fun secret(file: File): String = try {
        val open =
            Files.getPosixFilePermissions(file.toPath()) -
                setOf(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE)
        if (open.isNotEmpty()) {
            throw InvalidSettingsException(
                "$file",
                "others may use this file too; a key needs mode 0600 or 0400",
            )
        }
        file.readText()
    } catch (e: IOException) {
        throw InvalidSettingsException("$file", "can't be read: ${e.javaClass.simpleName}", e)
    } catch (_: UnsupportedOperationException) {
        throw InvalidSettingsException("$file", "lies on a file system without file modes, where a key can't be kept")
    }

    /** Reads a private key. */
    fun signing(file: File): SigningKey = try {
        SigningKey.parse(secret(file))
    } catch (e: MalformedKeyException) {
        throw InvalidSettingsException("$file", e.message.orEmpty(), e)
    }

    /** `keys:` with `id` and `secret` (base64) each; the first one signs. */
    fun peers(file: File): List<PeerKey> {
        val root = try {
            YAMLMapper().readTree(secret(file))
        } catch (_: JacksonException) {
            // Without the cause, which quotes the file.
            throw InvalidSettingsException("$file", "not YAML")
        }
        val keys = root?.get("keys") ?: throw InvalidSettingsException("$file", "keys: missing")
        return keys.map { peer(file, it) }.ifEmpty { throw InvalidSettingsException("$file", "keys: there is none") }
    }

    private fun peer(file: File, key: JsonNode): PeerKey {
        val id = key.get("id")?.asText().orEmpty()
        if (id.isEmpty() || id.length > MAX_ID_LENGTH) throw InvalidSettingsException("$file", "keys: each needs an id")
        val secret = try {
            Base64.getDecoder().decode(key.get("secret")?.asText().orEmpty())
        } catch (_: IllegalArgumentException) {
            // Without the cause, which quotes the secret.
            throw InvalidSettingsException("$file", "key $id: the secret is not base64")
        }
        if (secret.size < MIN_SECRET_BYTES) {
            throw InvalidSettingsException("$file", "key $id: the secret must have $MIN_SECRET_BYTES bytes or more")
        }
        return PeerKey(id, secret)
    }

    /** Writes a new file that only its owner may read; one that exists is left alone. */
    fun write(file: File, text: String) = try {
        Files.createFile(
            file.toPath(),
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(OWNER_ONLY)),
        )
        file.writeText(text)
    } catch (_: FileAlreadyExistsException) {
        throw InvalidSettingsException("$file", "exists already; a key is never written over")
    } catch (e: IOException) {
        throw InvalidSettingsException("$file", "can't be written: ${e.javaClass.simpleName}", e)
    }
}

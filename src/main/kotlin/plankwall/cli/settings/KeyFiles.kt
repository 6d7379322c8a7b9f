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

/** Reads and writes files that hold secret keys. No part of their content may appear in a message. */
object KeyFiles {
    private const val OWNER_ONLY = "rw-------"
    private const val MIN_SECRET_BYTES = 32
    private const val MAX_ID_LENGTH = 100

    /** Reads the text of [file]; throws [InvalidSettingsException] if anyone but its owner may access it. */
    private fun readSecretText(file: File): String = try {
        val otherPermissions =
            Files.getPosixFilePermissions(file.toPath()) -
                setOf(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE)
        if (otherPermissions.isNotEmpty()) {
            throw InvalidSettingsException(
                "$file",
                "other users have access to this file; a key file needs mode 0600 or 0400",
            )
        }
        file.readText()
    } catch (e: IOException) {
        throw InvalidSettingsException("$file", "can't be read: ${e.javaClass.simpleName}", e)
    } catch (_: UnsupportedOperationException) {
        throw InvalidSettingsException("$file", "is on a file system without file modes, which can't protect a key")
    }

    /** Reads a private key; throws [InvalidSettingsException] if it can't be read. */
    fun readSigningKey(file: File): SigningKey = try {
        SigningKey.parse(readSecretText(file))
    } catch (e: MalformedKeyException) {
        throw InvalidSettingsException("$file", e.message.orEmpty(), e)
    }

    /**
     * Reads the keys that controllers share, in the order of [file]; the first one signs. The file is YAML with a list
     * `keys` of maps with `id` and `secret` (base64). Throws [InvalidSettingsException] if it can't be read.
     */
    fun readPeerKeys(file: File): List<PeerKey> {
        val root = try {
            YAMLMapper().readTree(readSecretText(file))
        } catch (_: JacksonException) {
            // The cause is left out because it quotes the file.
            throw InvalidSettingsException("$file", "not YAML")
        }
        val keys = root?.get("keys") ?: throw InvalidSettingsException("$file", "keys: missing")
        return keys.map { readPeerKey(file, it) }.ifEmpty { throw InvalidSettingsException("$file", "keys: no entry") }
    }

    private fun readPeerKey(file: File, key: JsonNode): PeerKey {
        val id = key.get("id")?.asText().orEmpty()
        if (id.isEmpty() || id.length > MAX_ID_LENGTH) throw InvalidSettingsException("$file", "keys: each needs an id")
        val secret = try {
            Base64.getDecoder().decode(key.get("secret")?.asText().orEmpty())
        } catch (_: IllegalArgumentException) {
            // The cause is left out because it quotes the secret.
            throw InvalidSettingsException("$file", "key $id: the secret is not base64")
        }
        if (secret.size < MIN_SECRET_BYTES) {
            throw InvalidSettingsException("$file", "key $id: the secret must have $MIN_SECRET_BYTES bytes or more")
        }
        return PeerKey(id, secret)
    }

    /** Writes [text] to a new file for its owner only; throws [InvalidSettingsException] if [file] exists already. */
    fun writeNewFile(file: File, text: String) = try {
        Files.createFile(
            file.toPath(),
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(OWNER_ONLY)),
        )
        file.writeText(text)
    } catch (_: FileAlreadyExistsException) {
        throw InvalidSettingsException("$file", "exists already; key files are never overwritten")
    } catch (e: IOException) {
        throw InvalidSettingsException("$file", "can't be written: ${e.javaClass.simpleName}", e)
    }
}

package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import plankwall.cli.settings.InvalidSettingsException
import plankwall.cli.settings.KeyFiles
import plankwall.identity.SigningKey
import java.io.File
import java.security.SecureRandom
import java.util.Base64
import java.util.concurrent.Callable

/** Groups the commands that create keys. */
@Command(
    name = "keys",
    description = ["Create keys for people, services, nodes and links between nodes."],
    mixinStandardHelpOptions = true,
    subcommands = [NewKey::class, NewPeerKey::class],
)
class KeysCommand : Runnable {
    override fun run() = picocli.CommandLine.usage(this, System.out)
}

/** Creates the key pair of one principal and prints the policy statement that registers its public key. */
@Command(
    name = "new",
    description = ["Create a key and print the policy statement that registers it."],
    mixinStandardHelpOptions = true,
)
class NewKey : Callable<Int> {
    /** The kind of principal that the key belongs to. */
    enum class Kind { PERSON, SERVICE, NODE }

    @Parameters(paramLabel = "NAME", description = ["The key's owner. For a node, its name in the settings."])
    lateinit var name: String

    @Option(names = ["--kind"], paramLabel = "KIND", description = ["person (default), service or node."])
    var kind: Kind = Kind.PERSON

    @Option(names = ["--id"], paramLabel = "ID", description = ["The key's id, unique for its owner. Default: k1."])
    var id: String = "k1"

    @Option(
        names = ["--out"],
        required = true,
        paramLabel = "FILE",
        description = ["The file to write the private key to (mode 0600)."],
    )
    lateinit var out: File

    override fun call(): Int {
        if (!NAME_PATTERN.matches(name) || !NAME_PATTERN.matches(id)) {
            throw InvalidSettingsException("a name or id has 1 to 100 letters, digits, dots, dashes or underscores")
        }
        val key = SigningKey.generate(name, id)
        KeyFiles.writeNewFile(out, key.secretJson() + "\n")
        println("${kind.name.lowercase()} \"$name\" { key \"$id\" \"${key.x}\"; }")
        return 0
    }

    private companion object {
        val NAME_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9_.-]{0,99}")
    }
}

/** Creates the secret key that authenticates the links between controllers. */
@Command(name = "peers", description = ["Create the key file that all nodes share."], mixinStandardHelpOptions = true)
class NewPeerKey : Callable<Int> {
    @Option(names = ["--id"], required = true, paramLabel = "ID", description = ["The key's id, such as the month."])
    lateinit var id: String

    @Option(names = ["--out"], required = true, paramLabel = "FILE", description = ["The file to write (mode 0600)."])
    lateinit var out: File

    override fun call(): Int {
        val secret = ByteArray(SECRET_BYTES).also { SecureRandom().nextBytes(it) }
        KeyFiles.writeNewFile(
            out,
            "keys:\n  - id: \"$id\"\n    secret: ${Base64.getEncoder().encodeToString(secret)}\n",
        )
        println(
            "$out: copy this file to every node; to rotate a key, append the new one, then move it to the top, " +
                "then remove the old one",
        )
        return 0
    }

    private companion object {
        const val SECRET_BYTES = 32
    }
}

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

@Command(
    name = "keys",
    description = ["Make keys for people, services, nodes and links between nodes."],
    mixinStandardHelpOptions = true,
    subcommands = [NewKey::class, NewPeerKey::class],
)
class KeysCommand : Runnable {
    override fun run() = picocli.CommandLine.usage(this, System.out)
}

@Command(
    name = "new",
    description = ["Make a key, and print the statement of the rights that makes it known."],
    mixinStandardHelpOptions = true,
)
class NewKey : Callable<Int> {
    enum class Kind { PERSON, SERVICE, NODE }

    @Parameters(paramLabel = "NAME", description = ["Whose key it is. For a node, its name in the settings."])
    lateinit var name: String

    @Option(names = ["--kind"], paramLabel = "KIND", description = ["person (default), service or node."])
    var kind: Kind = Kind.PERSON

    @Option(names = ["--id"], paramLabel = "ID", description = ["The key's id among those of its owner. Default: k1."])
    var id: String = "k1"

    @Option(
        names = ["--out"],
        required = true,
        paramLabel = "FILE",
        description = ["Where the private key goes (mode 0600)."],
    )
    lateinit var out: File

    override fun call(): Int {
        if (!NAME.matches(name) || !NAME.matches(id)) {
            throw InvalidSettingsException("a name or id has 1 to 100 letters, digits, dots, dashes or underscores")
        }
        val key = SigningKey.generate(name, id)
        KeyFiles.write(out, key.secretJson() + "\n")
        println("${kind.name.lowercase()} \"$name\" { key \"$id\" \"${key.x}\"; }")
        return 0
    }

    private companion object {
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9_.-]{0,99}")
    }
}

@Command(name = "peers", description = ["Make the file of keys that all nodes share."], mixinStandardHelpOptions = true)
class NewPeerKey : Callable<Int> {
    @Option(names = ["--id"], required = true, paramLabel = "ID", description = ["The key's id, such as the month."])
    lateinit var id: String

    @Option(names = ["--out"], required = true, paramLabel = "FILE", description = ["Where it goes (mode 0600)."])
    lateinit var out: File

    override fun call(): Int {
        val secret = ByteArray(SECRET_BYTES).also { SecureRandom().nextBytes(it) }
        KeyFiles.write(out, "keys:\n  - id: \"$id\"\n    secret: ${Base64.getEncoder().encodeToString(secret)}\n")
        println(
            "$out: the same file for every node; to replace a key, add the new one below, then move it up, " +
                "then drop the old one",
        )
        return 0
    }

    private companion object {
        const val SECRET_BYTES = 32
    }
}

package plankwall.authorization

import org.antlr.v4.runtime.BaseErrorListener
import org.antlr.v4.runtime.CharStreams
import org.antlr.v4.runtime.CommonTokenStream
import org.antlr.v4.runtime.RecognitionException
import org.antlr.v4.runtime.Recognizer
import org.antlr.v4.runtime.Token
import org.apache.commons.text.similarity.LevenshteinDistance
import plankwall.authorization.grammar.RightsLexer
import plankwall.authorization.grammar.RightsParser

/** The first problem in the text of a policy. [line] and [column] count from 1. */
class InvalidPolicyException(val line: Int, val column: Int, val problem: String, cause: Throwable? = null) :
    Exception("line $line, column $column: $problem", cause, false, false)

/** Parses the text of a policy. */
object PolicyReader {
    /** The longest text, in characters: a longer one could not be published in one request. */
    const val MAX_LENGTH = 48 * 1024
    private const val MAX_DEPTH = 40
    private const val MAX_QUOTED_CHARS = 40
    private const val MAX_SUGGESTED_FROM_CHARS = 60
    private const val MAX_EXPECTED = 8

    /** One edit for so many characters still counts as a misspelling. */
    private const val CHARS_PER_EDIT = 3

    /** Keywords that may also be names. */
    private val softKeywords = setOf(
        "person", "service", "node", "key", "from", "until", "network", "disabled", "workers", "peers", "least", "most",
        "revoke", "finish", "withdraw",
    )

    /** Reads [text] as [version] of the policy. Throws [InvalidPolicyException] for the first problem. */
    fun read(text: String, version: Long): Policy {
        if (text.length > MAX_LENGTH) {
            throw InvalidPolicyException(1, 1, "the text has ${text.length} characters, more than $MAX_LENGTH")
        }
        val failFast = object : BaseErrorListener() {
            override fun syntaxError(
                recognizer: Recognizer<*, *>?,
                offending: Any?,
                line: Int,
                column: Int,
                message: String,
                cause: RecognitionException?,
            ): Unit = throw InvalidPolicyException(line, column + 1, describe(recognizer, offending as? Token, message))
        }
        val lexer = RightsLexer(CharStreams.fromString(text))
        lexer.removeErrorListeners()
        lexer.addErrorListener(failFast)
        val tokens = CommonTokenStream(lexer)
        tokens.fill()
        checkDepth(tokens.tokens)
        val parser = RightsParser(tokens)
        parser.removeErrorListeners()
        parser.addErrorListener(failFast)
        return PolicyBuilder(version).build(parser.document())
    }

    /** The parser recurses once for each bracket and each `not`; an untrusted text must not exhaust its stack. */
    private fun checkDepth(tokens: List<Token>) {
        var open = 0
        var nots = 0
        for (token in tokens) {
            when (token.text) {
                "(" -> open++
                ")" -> open--
                ";" -> open = 0
            }
            nots = if (token.text == "not") nots + 1 else 0
            if (open + nots > MAX_DEPTH) {
                throw InvalidPolicyException(
                    token.line,
                    token.charPositionInLine + 1,
                    "nested more than $MAX_DEPTH deep",
                )
            }
        }
    }

    /** A syntax error in words that a writer of policies understands. */
    private fun describe(recognizer: Recognizer<*, *>?, offending: Token?, message: String): String {
        if (recognizer !is RightsParser || offending == null) {
            val isOpenQuote = '"' in message
            return if (isOpenQuote) "a text in quotes has no end on its line" else "a character that means nothing here"
        }
        val names = recognizer.expectedTokens.toList().map { recognizer.vocabulary.getDisplayName(it).trim('\'') }
        val expected = names.map(::displayName).distinct()
            // Where a name may stand, so may each soft keyword; naming them all would not help.
            .let { all -> if ("a name" in all) all.filter { it !in softKeywords } else all }
        val found = if (offending.type == Token.EOF) {
            "the text ends"
        } else {
            "'${offending.text.take(MAX_QUOTED_CHARS)}' stands"
        }
        val wanted = expected.take(MAX_EXPECTED).joinToString(" or ")
        return "$found where $wanted is wanted${suggest(offending.text, expected)}"
    }

    private fun displayName(token: String): String = when (token) {
        "WORD", "STRING" -> "a name"
        "EOF", "<EOF>" -> "the end"
        else -> token
    }

    /** ", did you mean …?" if one of [known] is spelt much like [word]; else empty. */
    internal fun suggest(word: String, known: Collection<String>): String {
        val maxEdits = maxOf(1, minOf(word.length, MAX_QUOTED_CHARS) / CHARS_PER_EDIT)
        val distance = LevenshteinDistance(maxEdits)
        // The library gives -1 beyond the threshold.
        val closest = known.map { it to distance.apply(word.take(MAX_SUGGESTED_FROM_CHARS), it) }
            .filter { it.second in 0..maxEdits }
            .minByOrNull { it.second }
        return closest?.let { "; did you mean '${it.first}'?" }.orEmpty()
    }
}

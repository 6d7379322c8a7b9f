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

/** Reports the first [problem] in the text of a policy. [line] and [column] are counted from 1. */
class InvalidPolicyException(val line: Int, val column: Int, val problem: String, cause: Throwable? = null) :
    Exception("line $line, column $column: $problem", cause, false, false)

/** Parses the text of a policy. */
object PolicyReader {
    /** The longest text of a policy, in characters: a longer one could not be published in one request. */
    const val MAX_LENGTH = 48 * 1024
    private const val MAX_DEPTH = 40
    private const val MAX_QUOTED_CHARS = 40
    private const val MAX_SUGGESTED_FROM_CHARS = 60
    private const val MAX_EXPECTED = 8

    /**
     * The number of characters of a word for each edit by which it may differ from a suggestion; with more edits it
     * does not count as a misspelling.
     */
    private const val CHARS_PER_EDIT = 3

    /** The keywords of the policy language that may also be used as names. */
    private val nameableKeywords = setOf(
        "person", "service", "node", "key", "from", "until", "network", "disabled", "workers", "peers", "least", "most",
        "revoke", "finish", "withdraw",
    )

    /** Parses [text] as [version] of the policy. Throws [InvalidPolicyException] for the first problem. */
    fun read(text: String, version: Long): Policy {
        if (text.length > MAX_LENGTH) {
            throw InvalidPolicyException(1, 1, "the text has ${text.length} characters, more than $MAX_LENGTH")
        }
        val throwingListener = object : BaseErrorListener() {
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
        lexer.addErrorListener(throwingListener)
        val tokens = CommonTokenStream(lexer)
        tokens.fill()
        checkDepth(tokens.tokens)
        val parser = RightsParser(tokens)
        parser.removeErrorListeners()
        parser.addErrorListener(throwingListener)
        return PolicyBuilder(version).build(parser.document())
    }

    /**
     * Limits the nesting of conditions. The parser recurses once for each parenthesis and each `not`, and an untrusted
     * text must not exhaust its stack.
     */
    private fun checkDepth(tokens: List<Token>) {
        var openParentheses = 0
        var consecutiveNots = 0
        for (token in tokens) {
            when (token.text) {
                "(" -> openParentheses++
                ")" -> openParentheses--
                ";" -> openParentheses = 0
            }
            consecutiveNots = if (token.text == "not") consecutiveNots + 1 else 0
            if (openParentheses + consecutiveNots > MAX_DEPTH) {
                throw InvalidPolicyException(
                    token.line,
                    token.charPositionInLine + 1,
                    "nested more than $MAX_DEPTH deep",
                )
            }
        }
    }

    /** Describes a syntax error in the terms of the policy language. [message]: the parser's own message. */
    private fun describe(recognizer: Recognizer<*, *>?, offending: Token?, message: String): String {
        if (recognizer !is RightsParser || offending == null) {
            val isOpenQuote = '"' in message
            return if (isOpenQuote) "a text in quotes has no end on its line" else "a character that means nothing here"
        }
        val names = recognizer.expectedTokens.toList().map { recognizer.vocabulary.getDisplayName(it).trim('\'') }
        val expected = names.map(::displayName).distinct()
            // Each of these keywords is allowed wherever a name is; listing them all would not help the user.
            .let { all -> if ("a name" in all) all.filter { it !in nameableKeywords } else all }
        val found = if (offending.type == Token.EOF) {
            "the text ends"
        } else {
            "'${offending.text.take(MAX_QUOTED_CHARS)}' is found"
        }
        val listed = expected.take(MAX_EXPECTED).joinToString(" or ")
        return "$found where $listed is expected${suggest(offending.text, expected)}"
    }

    /** The description of a [token] for error messages: a literal stands for itself. */
    private fun displayName(token: String): String = when (token) {
        "WORD", "STRING" -> "a name"
        "EOF", "<EOF>" -> "the end"
        else -> token
    }

    /** Returns "; did you mean '…'?" with the most similar of the [known] words; empty if none resembles [word]. */
    internal fun suggest(word: String, known: Collection<String>): String {
        val maxEdits = maxOf(1, minOf(word.length, MAX_QUOTED_CHARS) / CHARS_PER_EDIT)
        val distance = LevenshteinDistance(maxEdits)
        // The library returns -1 for a distance above its threshold.
        val closest = known.map { it to distance.apply(word.take(MAX_SUGGESTED_FROM_CHARS), it) }
            .filter { it.second in 0..maxEdits }
            .minByOrNull { it.second }
        return closest?.let { "; did you mean '${it.first}'?" }.orEmpty()
    }
}

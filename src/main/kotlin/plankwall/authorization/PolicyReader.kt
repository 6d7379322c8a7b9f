package plankwall.authorization

import org.antlr.v4.runtime.BaseErrorListener
import org.antlr.v4.runtime.CharStreams
import org.antlr.v4.runtime.CommonTokenStream
import org.antlr.v4.runtime.ParserRuleContext
import org.antlr.v4.runtime.RecognitionException
import org.antlr.v4.runtime.Recognizer
import org.antlr.v4.runtime.Token
import org.apache.commons.text.similarity.LevenshteinDistance
import plankwall.authorization.grammar.RightsLexer
import plankwall.authorization.grammar.RightsParser
import plankwall.core.statemachine.Action
import plankwall.identity.MalformedKeyException
import plankwall.identity.Networks
import plankwall.identity.PublicKey
import java.time.DateTimeException
import java.time.Instant

/** Something wrong with a text of rights. [line] counts from 1, [column] too. */
class InvalidPolicyException(val line: Int, val column: Int, reason: String) :
    Exception("line $line, column $column: $reason", null, false, false)

/** Reads a text of rights into a [Policy]. Throws [InvalidPolicyException] for the first thing that is wrong. */
object PolicyReader {
    /** Beyond this a text could not be published in one request anyway. Characters. */
    const val LONGEST = 48 * 1024
    private const val DEEPEST = 40

    private val soft = setOf(
        "person", "service", "node", "key", "from", "until", "network", "disabled", "workers", "peers", "least", "most",
        "revoke", "finish", "withdraw",
    )

    fun read(text: String, version: Long): Policy {
        if (text.length >
            LONGEST
        ) {
            throw InvalidPolicyException(1, 1, "the text has ${text.length} characters, more than $LONGEST")
        }
        val stop = object : BaseErrorListener() {
            override fun syntaxError(
                r: Recognizer<*, *>?,
                offending: Any?,
                line: Int,
                column: Int,
                msg: String,
                e: RecognitionException?,
            ): Unit = throw InvalidPolicyException(line, column + 1, plain(r, offending as? Token, msg))
        }
        val lexer = RightsLexer(CharStreams.fromString(text))
        lexer.removeErrorListeners()
        lexer.addErrorListener(stop)
        val tokens = CommonTokenStream(lexer)
        tokens.fill()
        boundDepth(tokens.tokens)
        val parser = RightsParser(tokens)
        parser.removeErrorListeners()
        parser.addErrorListener(stop)
        return PolicyBuilder(version).build(parser.document())
    }

    /** The parser goes down one call for each bracket and each `not`; a stranger's text must not take its stack. */
    private fun boundDepth(tokens: List<Token>) {
        var open = 0
        var nots = 0
        for (t in tokens) {
            when (t.text) {
                "(" -> open++
                ")" -> open--
                ";" -> open = 0
            }
            nots = if (t.text == "not") nots + 1 else 0
            if (open + nots >
                DEEPEST
            ) {
                throw InvalidPolicyException(t.line, t.charPositionInLine + 1, "nested more than $DEEPEST deep")
            }
        }
    }

    private fun plain(r: Recognizer<*, *>?, offending: Token?, msg: String): String {
        if (r !is RightsParser ||
            offending == null
        ) {
            return if ('"' in
                msg
            ) {
                "a text in quotes has no end on its line"
            } else {
                "a character that means nothing here"
            }
        }
        val expected = r.expectedTokens.toList().map { r.vocabulary.getDisplayName(it).trim('\'') }
            .map {
                if (it == "WORD" || it == "STRING") {
                    "a name"
                } else if (it == "EOF" || it == "<EOF>") {
                    "the end"
                } else {
                    it
                }
            }.distinct()
            // Where a name may stand, so may a score of words; only the name is worth telling.
            .let { all -> if ("a name" in all) all.filter { it !in soft } else all }
        val met = if (offending.type == Token.EOF) "the text ends" else "'${offending.text.take(40)}' stands"
        return "$met where ${expected.take(8).joinToString(" or ")} is wanted${nearest(offending.text, expected)}"
    }

    /** ", did you mean …?" if one of [known] is spelt much like [word]. */
    internal fun nearest(word: String, known: Collection<String>): String {
        val most = maxOf(1, minOf(word.length, 40) / 3)
        val distance = LevenshteinDistance(most)
        return known.map {
            it to distance.apply(word.take(60), it)
        }.filter { it.second in 0..most }.minByOrNull { it.second }
            ?.let { "; did you mean '${it.first}'?" }.orEmpty()
    }
}

/** Turns a tree into a policy: everything that is named must exist, and exist once. */
private class PolicyBuilder(private val version: Long) {
    private val principals = LinkedHashMap<String, Principal>()
    private val groups = LinkedHashMap<String, List<RightsParser.NameContext>>()
    private val roles = LinkedHashMap<String, List<Rule>>()
    private val rules = HashMap<String, MutableList<Rule>>()
    private var workers: Networks? = null
    private var peers: Networks? = null

    fun build(document: RightsParser.DocumentContext): Policy {
        val statements = document.statement()
        statements.mapNotNull { it.principal() }.forEach(::principal)
        statements.mapNotNull { it.group() }.forEach { g -> once(groups, g.name(0), "group") { g.name().drop(1) } }
        groups.values.flatten().forEach {
            if (it.text() !in
                principals
            ) {
                it.unknown("person, service or node", principals.keys)
            }
        }
        statements.mapNotNull { it.role() }.forEach(::role)
        for (s in statements) {
            s.grant()?.let(::grant)
            s.rule_()?.let(::rule)
            s.door()?.let(::door)
        }
        return Policy(version, principals, rules, workers, peers)
    }

    private fun principal(p: RightsParser.PrincipalContext) {
        val keys = ArrayList<PublicKey>()
        var networks: Networks? = null
        var disabled = false
        for (item in p.principalItem()) {
            when (item.start.text) {
                "key" -> keys.add(
                    key(item).also { k ->
                        if (keys.any { it.id == k.id }) item.bad("key '${k.id}' stands twice")
                    },
                )
                "network" -> networks = networks(item, item.STRING().map { it.symbol })
                else -> disabled = true
            }
        }
        once(principals, p.name(), "principal") {
            Principal(p.name().text(), PrincipalKind.valueOf(p.kind.text.uppercase()), keys, networks, disabled)
        }
    }

    private fun key(item: RightsParser.PrincipalItemContext): PublicKey = try {
        PublicKey.of(
            item.name().text(),
            unquoted(item.STRING(0).symbol),
            item.since?.let(::instant) ?: (Long.MIN_VALUE / 2),
            item.until?.let(::instant) ?: (Long.MAX_VALUE / 2),
        )
    } catch (e: MalformedKeyException) {
        throw at(item.STRING(0).symbol, e.message.orEmpty())
    }

    private fun instant(t: Token): Long = try {
        Instant.parse(unquoted(t)).toEpochMilli()
    } catch (_: DateTimeException) {
        throw at(t, "not a time such as \"2026-12-31T18:00:00Z\"")
    } catch (_: ArithmeticException) {
        throw at(t, "not a time such as \"2026-12-31T18:00:00Z\"")
    }

    private fun networks(where: ParserRuleContext, texts: List<Token>): Networks =
        Networks.of(texts.map(::unquoted)) { wrong ->
            val t = texts.find { unquoted(it) == wrong } ?: where.start
            throw at(t, "not a network such as \"10.2.0.0/16\" or \"2001:db8::/32\", host bits zero")
        }

    private fun role(r: RightsParser.RoleContext) = once(roles, r.name(), "role") {
        r.permission().map { p ->
            rule("role ${r.name().text()}, line ${p.start.line}", p, p.effect(), p.actions(), p.where(), p.revoke())
        }
    }

    private fun rule(
        name: String,
        at: ParserRuleContext,
        effect: RightsParser.EffectContext,
        actions: RightsParser.ActionsContext,
        where: RightsParser.WhereContext?,
        revoke: RightsParser.RevokeContext?,
    ) = Rule(
        name,
        at.start.line,
        effect.ALLOW != null,
        actions(actions),
        where?.let {
            condition(it.condition())
        },
        revoke?.let {
            it.what.text ==
                "withdraw"
        },
    )

    private fun actions(a: RightsParser.ActionsContext): Set<Action> {
        if (a.name().isEmpty()) return Action.entries.toSet()
        return a.name().map { n ->
            Action.entries.find { it.word == n.text() }
                ?: n.unknown("action", Action.entries.map { it.word })
        }.toSet()
    }

    private fun grant(g: RightsParser.GrantContext) {
        val given = g.name().flatMap { roles[it.text()] ?: it.unknown("role", roles.keys) }
        g.subject().flatMap(::members).distinct().forEach { rules.getOrPut(it) { ArrayList() }.addAll(given) }
    }

    private fun rule(r: RightsParser.Rule_Context) {
        val rule = rule("rule ${r.name().text()}", r, r.effect(), r.actions(), r.where(), r.revoke())
        r.subject().flatMap(::members).distinct().forEach { rules.getOrPut(it) { ArrayList() }.add(rule) }
    }

    private fun members(s: RightsParser.SubjectContext): Collection<String> {
        val name = s.name() ?: return principals.keys
        if (s.start.text ==
            "group"
        ) {
            return (groups[name.text()] ?: name.unknown("group", groups.keys)).map { it.text() }
        }
        if (name.text() !in principals) name.unknown("person, service or node", principals.keys)
        return listOf(name.text())
    }

    private fun door(d: RightsParser.DoorContext) {
        val networks = networks(d, d.STRING().map { it.symbol })
        val twice = if (d.which.text == "workers") workers != null else peers != null
        if (twice) d.bad("'${d.which.text} network' stands twice")
        if (d.which.text == "workers") workers = networks else peers = networks
    }

    private fun condition(c: RightsParser.ConditionContext): Condition =
        c.conjunction().map(::conjunction).let { if (it.size == 1) it[0] else Condition.Any(it) }

    private fun conjunction(c: RightsParser.ConjunctionContext): Condition =
        c.term().map(::term).let { if (it.size == 1) it[0] else Condition.All(it) }

    private fun term(t: RightsParser.TermContext): Condition {
        t.condition()?.let { return condition(it) }
        t.term()?.let { return Condition.Not(term(it)) }
        val attribute =
            Attribute.entries.find { it.word == t.name(0).text() }
                ?: t.name(0).unknown("property of a job", Attribute.entries.map { it.word })
        val values = t.name().drop(1)
        if (values.isEmpty()) {
            if (attribute != Attribute.OWNER) t.bad("only an owner can be 'self'")
            return Condition.OwnerIsSelf
        }
        values.forEach { check(attribute, it) }
        t.bound?.let { bound ->
            if (attribute != Attribute.PRIORITY) t.bad("only a priority can be 'at ${bound.text}' something")
            return Condition.Bounded(bound.text == "least", Words.priorities.getValue(values[0].text()))
        }
        val equal = Condition.OneOf(attribute, values.map { it.text() }.toSet())
        return if (t.NOT != null) Condition.Not(equal) else equal
    }

    /** Classes and teams are the users' own names; the others are a few fixed words. */
    private fun check(attribute: Attribute, value: RightsParser.NameContext) {
        val known = when (attribute) {
            Attribute.PRIORITY -> Words.priorities.keys
            Attribute.SHAPE -> Words.shapes.keys
            Attribute.OWNER -> principals.keys
            else -> return
        }
        if (value.text() !in known) value.unknown(attribute.word, known)
    }

    private fun <T> once(all: MutableMap<String, T>, name: RightsParser.NameContext, what: String, value: () -> T) {
        if (name.text() in all) name.bad("the $what '${name.text()}' stands twice")
        if (name.text().length !in 1..MAX_NAME) name.bad("a name has 1 to $MAX_NAME characters")
        all[name.text()] = value()
    }

    private fun RightsParser.NameContext.text(): String = if (STRING() != null) unquoted(start) else start.text

    private fun unquoted(t: Token): String = t.text.removeSurrounding("\"")

    private fun ParserRuleContext.bad(reason: String): Nothing = throw at(start, reason)

    private fun RightsParser.NameContext.unknown(what: String, known: Collection<String>): Nothing =
        bad("no $what is called '${text()}'${PolicyReader.nearest(text(), known)}")

    private fun at(t: Token, reason: String) = InvalidPolicyException(t.line, t.charPositionInLine + 1, reason)

    private companion object {
        const val MAX_NAME = 100
    }
}

package plankwall.authorization

import org.antlr.v4.runtime.ParserRuleContext
import org.antlr.v4.runtime.Token
import plankwall.authorization.grammar.RightsParser
import plankwall.core.statemachine.Action
import plankwall.identity.MalformedKeyException
import plankwall.identity.Networks
import plankwall.identity.PublicKey
import java.time.DateTimeException
import java.time.Instant

/** Builds a policy from a syntax tree: every name that is used must be defined, and defined once. */
internal class PolicyBuilder(private val version: Long) {
    private val principals = LinkedHashMap<String, Principal>()
    private val groups = LinkedHashMap<String, List<RightsParser.NameContext>>()
    private val roles = LinkedHashMap<String, List<Rule>>()
    private val rules = HashMap<String, MutableList<Rule>>()
    private var workers: Networks? = null
    private var peers: Networks? = null

    fun build(document: RightsParser.DocumentContext): Policy {
        val statements = document.statement()
        statements.mapNotNull { it.principal() }.forEach(::addPrincipal)
        statements.mapNotNull { it.group() }.forEach { g -> define(groups, g.name(0), "group") { g.name().drop(1) } }
        groups.values.flatten().forEach { member ->
            if (member.text() !in principals) member.unknown("person, service or node", principals.keys)
        }
        statements.mapNotNull { it.role() }.forEach(::addRole)
        for (statement in statements) {
            statement.grant()?.let(::addGrant)
            statement.rule_()?.let(::addRule)
            statement.door()?.let(::addNetworkRestriction)
        }
        return Policy(version, principals, rules, workers, peers)
    }

    private fun addPrincipal(p: RightsParser.PrincipalContext) {
        val keys = ArrayList<PublicKey>()
        var networks: Networks? = null
        var disabled = false
        for (item in p.principalItem()) {
            when (item.start.text) {
                "key" -> keys.add(
                    key(item).also { added ->
                        if (keys.any { it.id == added.id }) item.fail("key '${added.id}' stands twice")
                    },
                )
                "network" -> networks = networks(item, item.STRING().map { it.symbol })
                else -> disabled = true
            }
        }
        define(principals, p.name(), "principal") {
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
        throw at(item.STRING(0).symbol, e.problem, e)
    }

    private fun instant(token: Token): Long = try {
        Instant.parse(unquoted(token)).toEpochMilli()
    } catch (_: DateTimeException) {
        throw at(token, "not a time such as \"2026-12-31T18:00:00Z\"")
    } catch (_: ArithmeticException) {
        throw at(token, "not a time such as \"2026-12-31T18:00:00Z\"")
    }

    private fun networks(where: ParserRuleContext, texts: List<Token>): Networks =
        Networks.of(texts.map(::unquoted)) { wrong ->
            val token = texts.find { unquoted(it) == wrong } ?: where.start
            throw at(token, "not a network such as \"10.2.0.0/16\" or \"2001:db8::/32\", host bits zero")
        }

    private fun addRole(r: RightsParser.RoleContext) = define(roles, r.name(), "role") {
        r.permission().map { p ->
            newRule("role ${r.name().text()}, line ${p.start.line}", p, p.effect(), p.actions(), p.where(), p.revoke())
        }
    }

    private fun newRule(
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
        where?.let { condition(it.condition()) },
        revoke?.let { it.what.text == "withdraw" },
    )

    private fun actions(a: RightsParser.ActionsContext): Set<Action> {
        if (a.name().isEmpty()) return Action.entries.toSet()
        return a.name().map { n ->
            Action.entries.find { it.word == n.text() }
                ?: n.unknown("action", Action.entries.map { it.word })
        }.toSet()
    }

    private fun addGrant(g: RightsParser.GrantContext) {
        val given = g.name().flatMap { roles[it.text()] ?: it.unknown("role", roles.keys) }
        g.subject().flatMap(::members).distinct().forEach { rules.getOrPut(it) { ArrayList() }.addAll(given) }
    }

    private fun addRule(r: RightsParser.Rule_Context) {
        val rule = newRule("rule ${r.name().text()}", r, r.effect(), r.actions(), r.where(), r.revoke())
        r.subject().flatMap(::members).distinct().forEach { rules.getOrPut(it) { ArrayList() }.add(rule) }
    }

    private fun members(s: RightsParser.SubjectContext): Collection<String> {
        val name = s.name() ?: return principals.keys
        if (s.start.text == "group") {
            return (groups[name.text()] ?: name.unknown("group", groups.keys)).map { it.text() }
        }
        if (name.text() !in principals) name.unknown("person, service or node", principals.keys)
        return listOf(name.text())
    }

    private fun addNetworkRestriction(restriction: RightsParser.DoorContext) {
        val networks = networks(restriction, restriction.STRING().map { it.symbol })
        val which = restriction.which.text
        val isRepeated = if (which == "workers") workers != null else peers != null
        if (isRepeated) restriction.fail("'$which network' stands twice")
        if (which == "workers") workers = networks else peers = networks
    }

    private fun condition(c: RightsParser.ConditionContext): Condition =
        c.conjunction().map(::conjunction).let { if (it.size == 1) it[0] else Condition.Any(it) }

    private fun conjunction(c: RightsParser.ConjunctionContext): Condition =
        c.term().map(::term).let { if (it.size == 1) it[0] else Condition.All(it) }

    private fun term(t: RightsParser.TermContext): Condition {
        val inBrackets = t.condition()
        val negated = t.term()
        return when {
            inBrackets != null -> condition(inBrackets)
            negated != null -> Condition.Not(term(negated))
            else -> comparison(t)
        }
    }

    private fun comparison(t: RightsParser.TermContext): Condition {
        val attribute =
            Attribute.entries.find { it.word == t.name(0).text() }
                ?: t.name(0).unknown("property of a job", Attribute.entries.map { it.word })
        val values = t.name().drop(1)
        if (values.isEmpty()) {
            if (attribute != Attribute.OWNER) t.fail("only an owner can be 'self'")
            return Condition.OwnerIsSelf
        }
        values.forEach { checkValue(attribute, it) }
        t.bound?.let { bound ->
            if (attribute != Attribute.PRIORITY) t.fail("only a priority can be 'at ${bound.text}' something")
            return Condition.Bounded(bound.text == "least", PolicyWords.priorities.getValue(values[0].text()))
        }
        val equal = Condition.OneOf(attribute, values.map { it.text() }.toSet())
        return if (t.NOT != null) Condition.Not(equal) else equal
    }

    /** Classes and teams are any names; the values of the other attributes are known. */
    private fun checkValue(attribute: Attribute, value: RightsParser.NameContext) {
        val known = when (attribute) {
            Attribute.PRIORITY -> PolicyWords.priorities.keys
            Attribute.SHAPE -> PolicyWords.shapes.keys
            Attribute.OWNER -> principals.keys
            else -> return
        }
        if (value.text() !in known) value.unknown(attribute.word, known)
    }

    private fun <T> define(all: MutableMap<String, T>, name: RightsParser.NameContext, what: String, value: () -> T) {
        if (name.text() in all) name.fail("the $what '${name.text()}' stands twice")
        if (name.text().length !in 1..MAX_NAME) name.fail("a name has 1 to $MAX_NAME characters")
        all[name.text()] = value()
    }

    private fun RightsParser.NameContext.text(): String = if (STRING() != null) unquoted(start) else start.text

    private fun unquoted(token: Token): String = token.text.removeSurrounding("\"")

    private fun ParserRuleContext.fail(reason: String): Nothing = throw at(start, reason)

    private fun RightsParser.NameContext.unknown(what: String, known: Collection<String>): Nothing =
        fail("no $what is called '${text()}'${PolicyReader.suggest(text(), known)}")

    private fun at(token: Token, problem: String, cause: Throwable? = null) =
        InvalidPolicyException(token.line, token.charPositionInLine + 1, problem, cause)

    private companion object {
        const val MAX_NAME = 100
    }
}

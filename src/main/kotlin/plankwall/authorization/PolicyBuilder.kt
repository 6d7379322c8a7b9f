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

/**
 * Builds a policy from the syntax tree of its text. Checks that every name that is used is defined, and no name is
 * defined twice. Throws [InvalidPolicyException].
 */
internal class PolicyBuilder(private val version: Long) {
    private val principals = LinkedHashMap<String, Principal>()
    private val groups = LinkedHashMap<String, List<RightsParser.NameContext>>()
    private val roles = LinkedHashMap<String, List<Rule>>()

    /** The rules of each principal, by its name. */
    private val rules = HashMap<String, MutableList<Rule>>()
    private var workerNetworks: Networks? = null
    private var peerNetworks: Networks? = null

    fun build(document: RightsParser.DocumentContext): Policy {
        val statements = document.statement()
        statements.mapNotNull { it.principal() }.forEach(::addPrincipal)
        statements.mapNotNull { it.group() }.forEach { group ->
            define(groups, group.name(0), "group") { group.name().drop(1) }
        }
        groups.values.flatten().forEach { member ->
            if (member.text() !in principals) member.failUnknown("person, service or node", principals.keys)
        }
        statements.mapNotNull { it.role() }.forEach(::addRole)
        for (statement in statements) {
            statement.grant()?.let(::addGrant)
            statement.rule_()?.let(::addRule)
            statement.door()?.let(::addNetworkRestriction)
        }
        return Policy(version, principals, rules, workerNetworks, peerNetworks)
    }

    private fun addPrincipal(principal: RightsParser.PrincipalContext) {
        val keys = ArrayList<PublicKey>()
        var networks: Networks? = null
        var isDisabled = false
        for (item in principal.principalItem()) {
            when (item.start.text) {
                "key" -> keys.add(
                    readKey(item).also { key ->
                        if (keys.any { it.id == key.id }) item.fail("key '${key.id}' stands twice")
                    },
                )
                "network" -> networks = readNetworks(item, item.STRING().map { it.symbol })
                else -> isDisabled = true
            }
        }
        define(principals, principal.name(), "principal") {
            Principal(
                principal.name().text(),
                PrincipalKind.valueOf(principal.kind.text.uppercase()),
                keys,
                networks,
                isDisabled,
            )
        }
    }

    private fun readKey(item: RightsParser.PrincipalItemContext): PublicKey = try {
        PublicKey.of(
            item.name().text(),
            unquote(item.STRING(0).symbol),
            item.since?.let(::readInstant) ?: (Long.MIN_VALUE / 2),
            item.until?.let(::readInstant) ?: (Long.MAX_VALUE / 2),
        )
    } catch (e: MalformedKeyException) {
        throw invalidPolicy(item.STRING(0).symbol, e.problem, e)
    }

    /** Reads a time as milliseconds since 1970. */
    private fun readInstant(token: Token): Long = try {
        Instant.parse(unquote(token)).toEpochMilli()
    } catch (_: DateTimeException) {
        throw invalidPolicy(token, "not a time such as \"2026-12-31T18:00:00Z\"")
    } catch (_: ArithmeticException) {
        throw invalidPolicy(token, "not a time such as \"2026-12-31T18:00:00Z\"")
    }

    private fun readNetworks(where: ParserRuleContext, texts: List<Token>): Networks =
        Networks.of(texts.map(::unquote)) { invalidText ->
            val token = texts.find { unquote(it) == invalidText } ?: where.start
            throw invalidPolicy(token, "not a network such as \"10.2.0.0/16\" or \"2001:db8::/32\", host bits zero")
        }

    private fun addRole(role: RightsParser.RoleContext) = define(roles, role.name(), "role") {
        role.permission().map { permission ->
            newRule(
                "role ${role.name().text()}, line ${permission.start.line}",
                permission,
                permission.effect(),
                permission.actions(),
                permission.where(),
                permission.revoke(),
            )
        }
    }

    private fun newRule(
        name: String,
        definition: ParserRuleContext,
        effect: RightsParser.EffectContext,
        actions: RightsParser.ActionsContext,
        where: RightsParser.WhereContext?,
        revoke: RightsParser.RevokeContext?,
    ) = Rule(
        name,
        definition.start.line,
        effect.ALLOW != null,
        readActions(actions),
        where?.let { readCondition(it.condition()) },
        revoke?.let { it.what.text == "withdraw" },
    )

    /** Reads a list of actions. The grammar gives one without names for the keyword `anything`: all actions. */
    private fun readActions(actions: RightsParser.ActionsContext): Set<Action> {
        if (actions.name().isEmpty()) return Action.entries.toSet()
        return actions.name().map { name ->
            Action.entries.find { it.word == name.text() }
                ?: name.failUnknown("action", Action.entries.map { it.word })
        }.toSet()
    }

    private fun addGrant(grant: RightsParser.GrantContext) {
        val grantedRules = grant.name().flatMap { roles[it.text()] ?: it.failUnknown("role", roles.keys) }
        grant.subject().flatMap(::findMembers).distinct().forEach {
            rules.getOrPut(it) { ArrayList() }.addAll(grantedRules)
        }
    }

    private fun addRule(definition: RightsParser.Rule_Context) {
        val rule = newRule(
            "rule ${definition.name().text()}",
            definition,
            definition.effect(),
            definition.actions(),
            definition.where(),
            definition.revoke(),
        )
        definition.subject().flatMap(::findMembers).distinct().forEach { rules.getOrPut(it) { ArrayList() }.add(rule) }
    }

    /** Returns the names of the principals that [subject] stands for: everyone, a group's members, or one principal. */
    private fun findMembers(subject: RightsParser.SubjectContext): Collection<String> {
        val name = subject.name() ?: return principals.keys
        if (subject.start.text == "group") {
            return (groups[name.text()] ?: name.failUnknown("group", groups.keys)).map { it.text() }
        }
        if (name.text() !in principals) name.failUnknown("person, service or node", principals.keys)
        return listOf(name.text())
    }

    private fun addNetworkRestriction(restriction: RightsParser.DoorContext) {
        val networks = readNetworks(restriction, restriction.STRING().map { it.symbol })
        val connecting = restriction.which.text
        val isRepeated = if (connecting == "workers") workerNetworks != null else peerNetworks != null
        if (isRepeated) restriction.fail("'$connecting network' stands twice")
        if (connecting == "workers") workerNetworks = networks else peerNetworks = networks
    }

    private fun readCondition(condition: RightsParser.ConditionContext): Condition =
        condition.conjunction().map(::readConjunction).let { if (it.size == 1) it[0] else Condition.Any(it) }

    private fun readConjunction(conjunction: RightsParser.ConjunctionContext): Condition =
        conjunction.term().map(::readTerm).let { if (it.size == 1) it[0] else Condition.All(it) }

    private fun readTerm(term: RightsParser.TermContext): Condition {
        val parenthesized = term.condition()
        val negated = term.term()
        return when {
            parenthesized != null -> readCondition(parenthesized)
            negated != null -> Condition.Not(readTerm(negated))
            else -> readComparison(term)
        }
    }

    private fun readComparison(term: RightsParser.TermContext): Condition {
        val attribute =
            Attribute.entries.find { it.word == term.name(0).text() }
                ?: term.name(0).failUnknown("property of a job", Attribute.entries.map { it.word })
        val values = term.name().drop(1)
        if (values.isEmpty()) {
            if (attribute != Attribute.OWNER) term.fail("only an owner can be 'self'")
            return Condition.OwnerIsSelf
        }
        values.forEach { checkValue(attribute, it) }
        term.bound?.let { bound ->
            if (attribute != Attribute.PRIORITY) term.fail("only a priority can be 'at ${bound.text}' something")
            return Condition.PriorityBound(bound.text == "least", PolicyWords.priorities.getValue(values[0].text()))
        }
        val isOneOf = Condition.OneOf(attribute, values.map { it.text() }.toSet())
        return if (term.NOT != null) Condition.Not(isOneOf) else isOneOf
    }

    /** Checks that [value] exists. Any name may be a class or a team; the values of the other attributes are known. */
    private fun checkValue(attribute: Attribute, value: RightsParser.NameContext) {
        val known = when (attribute) {
            Attribute.PRIORITY -> PolicyWords.priorities.keys
            Attribute.SHAPE -> PolicyWords.shapes.keys
            Attribute.OWNER -> principals.keys
            else -> return
        }
        if (value.text() !in known) value.failUnknown(attribute.word, known)
    }

    /** Adds the [kind] of thing that [createValue] returns to those [defined] so far, under [name]. */
    private fun <T> define(
        defined: MutableMap<String, T>,
        name: RightsParser.NameContext,
        kind: String,
        createValue: () -> T,
    ) {
        if (name.text() in defined) name.fail("the $kind '${name.text()}' stands twice")
        if (name.text().length !in 1..MAX_NAME_CHARS) name.fail("a name has 1 to $MAX_NAME_CHARS characters")
        defined[name.text()] = createValue()
    }

    private fun RightsParser.NameContext.text(): String = if (STRING() != null) unquote(start) else start.text

    private fun unquote(token: Token): String = token.text.removeSurrounding("\"")

    private fun ParserRuleContext.fail(reason: String): Nothing = throw invalidPolicy(start, reason)

    private fun RightsParser.NameContext.failUnknown(kind: String, known: Collection<String>): Nothing =
        fail("no $kind is called '${text()}'${PolicyReader.suggest(text(), known)}")

    /** Creates the exception for a [problem] at [token]. */
    private fun invalidPolicy(token: Token, problem: String, cause: Throwable? = null) =
        InvalidPolicyException(token.line, token.charPositionInLine + 1, problem, cause)

    private companion object {
        const val MAX_NAME_CHARS = 100
    }
}

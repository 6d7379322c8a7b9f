package plankwall.authorization

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.statemachine.Action
import plankwall.model.JobFacts
import plankwall.model.Priority
import plankwall.model.Shape

/** Tests that policies are parsed, that they decide as written, and that errors are reported at their place. */
class PolicyReaderTest {
    private val policyText = """
        # The leads may submit the nightly solver job and cancel only the jobs that they own.
        person lea { }   person max { }   service renders { network "10.2.0.0/16", "2001:db8::/32"; }
        person gone { disabled; }
        group leads { lea, max }
        role nightly {
            allow submit, resubmit where class is rota-solve and not priority at least urgent on revoke withdraw;
            allow withdraw where owner is self;
            allow show;
        }
        grant nightly to group leads;
        rule studio: allow submit to renders where class in (art-upscale, "box-render") or shape is sweep and team is studio-chitra;
        rule live: deny submit, withdraw to everyone where class is board-matcher;
        rule all: allow anything to gone, max where team is not locked;
        workers network "10.1.0.0/16";
    """.trimIndent()

    private fun jobFacts(
        jobClass: String,
        owner: String? = null,
        priority: Priority = Priority.NORMAL,
        shape: Shape = Shape.ARRAY,
        team: String = "t",
    ) = JobFacts(owner, jobClass, team, priority, shape)

    @ParameterizedTest(name = "{0} {1}, class {2}, owner {3}, priority {4}, shape {5}, team {6}, allowed: {7}")
    @CsvSource(
        "lea, submit, rota-solve, , normal, sweep, t, true", "lea, submit, rota-solve, , urgent, sweep, t, false",
        "lea, submit, other, , normal, sweep, t, false",
        "lea, withdraw, rota-solve, lea, normal, sweep, t, true",
        "lea, withdraw, rota-solve, max, normal, sweep, t, false",
        "lea, withdraw, rota-solve, , normal, sweep, t, false",
        "lea, withdraw, board-matcher, lea, normal, service, t, false", "lea, show, anything, max, low, sweep, t, true",
        "lea, administer, x, , low, sweep, t, false",
        "renders, submit, box-render, , low, ensemble, t, true",
        "renders, submit, other, , low, sweep, studio-chitra, true",
        "renders, submit, other, , low, ensemble, studio-chitra, false",
        "renders, show, box-render, renders, low, sweep, t, false",
        "gone, submit, x, , low, sweep, t, false", "max, audit, x, , low, sweep, t, true",
        "max, audit, x, , low, sweep, locked, false",
        "max, submit, board-matcher, , low, sweep, t, false", "nobody, show, x, , low, sweep, t, false",
    )
    fun `an action is allowed only if a rule allows it and none denies it`(
        principal: String,
        action: String,
        jobClass: String,
        owner: String?,
        priority: String,
        shape: String,
        team: String,
        expectedAllowed: Boolean,
    ) {
        val policy = PolicyReader.read(policyText, 7)
        val facts =
            jobFacts(
                jobClass,
                owner,
                PolicyWords.priorities.getValue(priority),
                PolicyWords.shapes.getValue(shape),
                team,
            )
        assertEquals(
            expectedAllowed,
            policy.authorize(principal, Action.entries.first { it.word == action }, facts).allowed,
        )
    }

    @Test
    fun `only rules without a condition apply to an unknown job`() {
        val policy = PolicyReader.read(policyText, 7)
        assertTrue(policy.authorize("lea", Action.SHOW, null).allowed)
        assertEquals(
            listOf(false, false),
            listOf(Action.WITHDRAW, Action.SUBMIT).map {
                policy.authorize("lea", it, null).allowed
            },
        )
        // For an unknown job neither a condition nor its negation holds: "team is not locked" must not allow access.
        assertEquals(false, policy.authorize("max", Action.AUDIT, null).allowed)
    }

    @Test
    fun `a decision names its rule and its revoke effect, and an explanation lists each rule's outcome`() {
        val policy = PolicyReader.read(policyText, 7)
        assertEquals("rule live", policy.authorize("max", Action.SUBMIT, jobFacts("board-matcher")).rule)
        val explanation =
            policy.explain("max", Action.SUBMIT, jobFacts("board-matcher")).map { "${it.rule.line} ${it.outcome}" }
        assertEquals(
            listOf("6 CONDITION_FAILS", "7 OTHER_ACTION", "8 OTHER_ACTION", "12 DECIDES", "13 APPLIES"),
            explanation,
        )
        assertEquals(true, policy.authorize("lea", Action.SUBMIT, jobFacts("rota-solve")).cancelOnRevoke)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "person a { } person a { } | 1:21 the principal 'a' stands twice",
            "group g { a } | 1:11 no person, service or node is called 'a'",
            "person lea { } group g { leaa } | 1:26 did you mean 'lea'",
            "role r { allow sumbit; } | 1:16 did you mean 'submit'",
            "role r { allow submit where clas is x; } | 1:29 did you mean 'class'",
            "role r { allow submit where priority is urgnt; } | 1:41 did you mean 'urgent'",
            "role r { allow submit where class at least x; } | only a priority",
            "role r { allow submit where class is self; } | only an owner",
            "role r { allow submit where owner is nobody; } | no owner is called 'nobody'",
            "person a { } grant r to a; | no role is called 'r'",
            "rol r { } | 1:1 did you mean 'role'",
            "role r { allow submit } | 1:23",
            "person a { key k1 \"abc\"; } | 1:19 43 characters",
            "person a { network \"10.0.0.1/8\"; } | 1:20 not a network",
            "person a { key k \"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA\" from \"monday\"; } | not a time",
            "workers network \"10.0.0.0/8\"; workers network \"11.0.0.0/8\"; | stands twice",
            "person \"a | a text in quotes has no end",
            "person a { } ; | 1:14",
            "person a { } § | a character that means nothing",
        ],
    )
    fun `an invalid policy is refused with line, column and problem`(invalidText: String, expectedError: String) {
        val error = assertThrows(InvalidPolicyException::class.java) { PolicyReader.read(invalidText, 1) }
        val (expectedPlace, expectedProblem) = if (expectedError[0].isDigit()) {
            expectedError.substringBefore(' ') to
                expectedError.substringAfter(' ', "")
        } else {
            "" to expectedError
        }
        if (expectedPlace.isNotEmpty()) assertEquals(expectedPlace, "${error.line}:${error.column}", error.message)
        assertTrue(expectedProblem in error.message.orEmpty(), error.message)
    }

    @Test
    fun `a policy that is nested too deeply or too long is refused`() {
        fun policyWith(condition: String) = "person a { } rule r: allow show to a where $condition;"
        PolicyReader.read(policyWith("(".repeat(30) + "class is x" + ")".repeat(30)), 1)
        for (deepCondition in listOf("(".repeat(20_000), "not ".repeat(10_000))) {
            assertTrue(
                "deep" in
                    assertThrows(InvalidPolicyException::class.java) {
                        PolicyReader.read(policyWith(deepCondition), 1)
                    }.message.orEmpty(),
            )
        }
        // A condition of many parts is accepted as long as the policy is not too long.
        PolicyReader.read(
            policyWith(
                List(3000) {
                    "class is x"
                }.joinToString(" or "),
            ).take(PolicyReader.MAX_LENGTH).substringBeforeLast(" or") +
                ";",
            1,
        )
        assertThrows(InvalidPolicyException::class.java) {
            PolicyReader.read(" ".repeat(PolicyReader.MAX_LENGTH + 1), 1)
        }
    }
}

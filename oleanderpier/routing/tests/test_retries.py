"""Tests of the retry decision, over every outcome and state of a request."""

import itertools

from testtools import TestCase

from oleanderpier.results import Code, Fate, describe_code
from oleanderpier.routing import (
    MIN_TIME_LEFT_S,
    AttemptOutcome,
    AttemptState,
    decide_retry,
    may_hedge,
)

# Outcomes after which a server may have begun to work on the request.
MAY_HAVE_RUN = {
    AttemptOutcome.FAILED,
    AttemptOutcome.LOST,
    AttemptOutcome.SILENT,
    AttemptOutcome.CUT,
}


def list_states(outcome: AttemptOutcome) -> list[AttemptState]:
    """Return every state that a request can have after an outcome."""
    return [
        AttemptState(repeatable, attempts, limit, may_have_run, started)
        for repeatable, attempts, limit, may_have_run, started in itertools.product(
            (False, True), (1, 2), (1, 2), (False, True), (False, True)
        )
        if may_have_run or (outcome not in MAY_HAVE_RUN and not started)
    ]


class RetryTest(TestCase):
    """Which requests are retried, and which result code the others get."""

    def test_unrepeatable_request_is_not_retried(self):
        """A request that is not repeatable is not retried once it may have run."""
        for outcome in AttemptOutcome:
            for state in list_states(outcome):
                decision = decide_retry(outcome, state)
                if state.may_have_run and not state.repeatable:
                    self.assertFalse(decision.retry, (outcome, state))

    def test_not_run_code_is_certain(self):
        """A code of the fate "not run" is returned only if that is certain."""
        for outcome in AttemptOutcome:
            for state in list_states(outcome):
                code = decide_retry(outcome, state).code
                if state.may_have_run:
                    fate = describe_code(code).fate
                    self.assertNotEqual(Fate.NOT_RUN, fate, (outcome, state))

    def test_max_attempts_is_kept(self):
        """No request is sent to more servers than its route allows."""
        for outcome in set(AttemptOutcome) - {AttemptOutcome.UNREACHED}:
            for state in list_states(outcome):
                if state.attempts >= state.max_attempts:
                    self.assertFalse(decide_retry(outcome, state).retry)

    def test_refused_request_is_retried(self):
        """A request that a server refused unrun is retried within the limit."""
        state = AttemptState(False, 1, 2, may_have_run=False, response_started=False)
        self.assertTrue(decide_retry(AttemptOutcome.NOT_RUN, state).retry)
        last = state._replace(max_attempts=1)
        self.assertEqual(
            Code.NO_BACKEND_SERVER, decide_retry(AttemptOutcome.NOT_RUN, last).code
        )


class HedgeTest(TestCase):
    """Which requests are sent to another server while the first one is silent."""

    def test_hedge_keeps_the_limits_of_the_route(self):
        """No more servers than it allows, and none for a request that runs once."""
        states = itertools.product((False, True), (0, 1), (1, 2, 3), (0, 1, 2))
        for repeatable, attempts, limit, running in states:
            state = AttemptState(repeatable, attempts, limit, True, False)
            allowed = may_hedge(state, running, 1.0)
            case = (state, running)
            self.assertEqual(
                repeatable and running > 0 and attempts + running + 1 <= limit,
                allowed,
                case,
            )
            self.assertFalse(may_hedge(state, running, MIN_TIME_LEFT_S / 2), case)

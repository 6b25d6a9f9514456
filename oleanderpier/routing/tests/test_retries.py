"""Tests of what follows a send, over every ending and kind of request."""

import itertools

from testtools import TestCase

from oleanderpier.results import Code, Fate, describe_code
from oleanderpier.routing import AttemptOutcome, AttemptState, decide_retry

# Endings after which a server may have begun to work.
UNSURE = {
    AttemptOutcome.FAILED,
    AttemptOutcome.LOST,
    AttemptOutcome.SILENT,
    AttemptOutcome.CUT,
}


def list_states(ending: AttemptOutcome) -> list[AttemptState]:
    """Return every state in which a send can end that way."""
    return [
        AttemptState(repeatable, sends, max_sends, may_have_run, begun)
        for repeatable, sends, max_sends, may_have_run, begun in itertools.product(
            (False, True), (1, 2), (1, 2), (False, True), (False, True)
        )
        if may_have_run or (ending not in UNSURE and not begun)
    ]


class RetryTest(TestCase):
    """What may be sent again, and what is said of it."""

    def test_once(self):
        """What may not be repeated is never sent again once it may have run."""
        for ending in AttemptOutcome:
            for state in list_states(ending):
                verdict = decide_retry(ending, state)
                if state.may_have_run and not state.repeatable:
                    self.assertFalse(verdict.retry, (ending, state))

    def test_truth(self):
        """A code that says "not run" is given only where that is certain."""
        for ending in AttemptOutcome:
            for state in list_states(ending):
                code = decide_retry(ending, state).code
                if state.may_have_run:
                    told = describe_code(code).fate
                    self.assertNotEqual(Fate.NOT_RUN, told, (ending, state))

    def test_most_sends(self):
        """No request goes to more servers than its route allows."""
        for ending in set(AttemptOutcome) - {AttemptOutcome.UNREACHED}:
            for state in list_states(ending):
                if state.attempts >= state.max_attempts:
                    self.assertFalse(decide_retry(ending, state).retry)

    def test_refused_by_server(self):
        """What a server has certainly not run may go to another one."""
        state = AttemptState(False, 1, 2, may_have_run=False, response_started=False)
        self.assertTrue(decide_retry(AttemptOutcome.NOT_RUN, state).retry)
        last = state._replace(max_sends=1)
        self.assertEqual(
            Code.NO_BACKEND_SERVER, decide_retry(AttemptOutcome.NOT_RUN, last).code
        )

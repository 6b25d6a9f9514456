"""What follows a send that did not bring the whole answer."""

from enum import Enum
from typing import NamedTuple

from oleanderpier.results import Code

__all__ = ["AttemptOutcome", "AttemptState", "RetryDecision", "decide_retry"]


class AttemptOutcome(Enum):
    """How one send to a backend server ended."""

    DELIVERED = "delivered"
    FAILED = "failed"
    UNREACHED = "unreached"
    NOT_RUN = "not_run"
    LOST = "lost"
    SILENT = "silent"
    CUT = "cut"


class AttemptState(NamedTuple):
    """What is known of a request that may be sent once more.

    Attributes:
        repeatable: Whether a second run does no harm.
        sends: To how many servers it was sent so far.
        max_sends: To how many it may be sent.
        may_have_run: Whether a server may have begun to work on it.
        begun: Whether the caller has a part of the answer.
    """

    repeatable: bool
    attempts: int
    max_attempts: int
    may_have_run: bool
    response_started: bool


class RetryDecision(NamedTuple):
    """What to do after a send.

    Attributes:
        again: Whether another server may be tried.
        costs: Whether that counts as a repeat in the retry budget.
        code: The result code, if it is not tried again.
    """

    retry: bool
    uses_budget: bool
    code: Code


# Endings after which a server has certainly not worked on the request.
_HARMLESS = frozenset({AttemptOutcome.UNREACHED, AttemptOutcome.NOT_RUN})
_CODES = {
    AttemptOutcome.DELIVERED: Code.DONE,
    AttemptOutcome.FAILED: Code.DONE,
    AttemptOutcome.UNREACHED: Code.NO_BACKEND_SERVER,
    AttemptOutcome.NOT_RUN: Code.NO_BACKEND_SERVER,
    AttemptOutcome.LOST: Code.ANSWER_LOST,
    AttemptOutcome.SILENT: Code.ANSWER_LOST,
    AttemptOutcome.CUT: Code.STREAM_CUT,
}


def decide_retry(ending: AttemptOutcome, state: AttemptState) -> RetryDecision:
    """Return what follows the end of a send.

    A request that may not be repeated is sent once more only after a server
    said that it has not run it, or was never reached.

    Examples:
        >>> lost = AttemptState(
        ...     False, 1, 2, may_have_run=True, response_started=False
        ... )
        >>> decide_retry(AttemptOutcome.LOST, lost)
        RetryDecision(retry=False, uses_budget=True, code=<Code.ANSWER_LOST: 204>)
        >>> decide_retry(AttemptOutcome.UNREACHED, lost._replace(may_have_run=False))
        RetryDecision(retry=True, uses_budget=False, code=<Code.NO_BACKEND_SERVER: 108>)
    """
    code = _CODES[ending]
    if ending in _HARMLESS and state.may_have_run:
        code = Code.STREAM_CUT if state.response_started else Code.ANSWER_LOST
    if ending is AttemptOutcome.DELIVERED:
        return RetryDecision(False, False, code)
    allowed = state.repeatable or not state.may_have_run
    if ending is AttemptOutcome.UNREACHED:
        return RetryDecision(allowed, False, code)
    return RetryDecision(allowed and state.attempts < state.max_attempts, True, code)

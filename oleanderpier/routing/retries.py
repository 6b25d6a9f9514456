"""Decides whether a request is retried after an attempt at a backend server."""

from enum import Enum
from typing import NamedTuple

from oleanderpier.results import Code

__all__ = [
    "NOT_EXECUTED",
    "AttemptOutcome",
    "AttemptState",
    "RetryDecision",
    "decide_retry",
]


class AttemptOutcome(Enum):
    """How one attempt at a backend server ended.

    Attributes:
        DELIVERED: The whole response was received.
        FAILED: The whole response was received and reports a failure of the server.
        UNREACHED: No connection could be made.
        NOT_RUN: The server said that it has not run the request.
        LOST: The connection failed, or the response was invalid.
        SILENT: The server sent nothing for too long, and another one was first.
        CUT: The stream ended before its final event.
    """

    DELIVERED = "delivered"
    FAILED = "failed"
    UNREACHED = "unreached"
    NOT_RUN = "not_run"
    LOST = "lost"
    SILENT = "silent"
    CUT = "cut"


class AttemptState(NamedTuple):
    """The state of a request after an attempt.

    Attributes:
        repeatable: Whether the request may safely run more than once.
        attempts: How many servers it was sent to so far.
        max_attempts: How many servers it may be sent to.
        may_have_run: Whether a server may have begun to work on it.
        response_started: Whether the caller has received part of a response.
    """

    repeatable: bool
    attempts: int
    max_attempts: int
    may_have_run: bool
    response_started: bool


class RetryDecision(NamedTuple):
    """What follows an attempt.

    Attributes:
        retry: Whether another server may be tried.
        uses_budget: Whether that counts against the retry budget.
        code: The result code if there is no retry.
    """

    retry: bool
    uses_budget: bool
    code: Code


# Outcomes after which the server has certainly not run the request.
NOT_EXECUTED = frozenset({AttemptOutcome.UNREACHED, AttemptOutcome.NOT_RUN})
_OUTCOME_CODES = {
    AttemptOutcome.DELIVERED: Code.DONE,
    AttemptOutcome.FAILED: Code.DONE,
    AttemptOutcome.UNREACHED: Code.NO_BACKEND_SERVER,
    AttemptOutcome.NOT_RUN: Code.NO_BACKEND_SERVER,
    AttemptOutcome.LOST: Code.ANSWER_LOST,
    AttemptOutcome.SILENT: Code.ANSWER_LOST,
    AttemptOutcome.CUT: Code.STREAM_CUT,
}


def decide_retry(outcome: AttemptOutcome, state: AttemptState) -> RetryDecision:
    """Return what follows an attempt.

    A request that is not repeatable is retried only if it certainly has not run: the
    server said so, or was never reached.

    Examples:
        >>> lost = AttemptState(
        ...     False, 1, 2, may_have_run=True, response_started=False
        ... )
        >>> decide_retry(AttemptOutcome.LOST, lost)
        RetryDecision(retry=False, uses_budget=True, code=<Code.ANSWER_LOST: 204>)
        >>> decide_retry(AttemptOutcome.UNREACHED, lost._replace(may_have_run=False))
        RetryDecision(retry=True, uses_budget=False, code=<Code.NO_BACKEND_SERVER: 108>)
    """
    code = _OUTCOME_CODES[outcome]
    if outcome in NOT_EXECUTED and state.may_have_run:
        code = Code.STREAM_CUT if state.response_started else Code.ANSWER_LOST
    if outcome is AttemptOutcome.DELIVERED:
        return RetryDecision(False, False, code)
    allowed = state.repeatable or not state.may_have_run
    if outcome is AttemptOutcome.UNREACHED:
        return RetryDecision(allowed, False, code)
    return RetryDecision(allowed and state.attempts < state.max_attempts, True, code)

"""Decides whether a request is retried after, or hedged during, an attempt.

It answers these load patterns: servers that fail or refuse, and servers that are silent
for a while and go on later, while other servers are full.
"""

from enum import Enum
from typing import NamedTuple

from oleanderpier.results import Code

__all__ = [
    "MIN_TIME_LEFT_S",
    "NOT_EXECUTED",
    "NOT_REACHED",
    "AttemptOutcome",
    "AttemptState",
    "RetryDecision",
    "decide_retry",
    "may_hedge",
]


class AttemptOutcome(Enum):
    """How one attempt at a backend server ended.

    Attributes:
        DELIVERED: The whole response was received.
        FAILED: The whole response was received and reports a failure of the server.
        UNREACHED: No connection could be made.
        NOT_RUN: The server said that it has not run the request.
        MISDIRECTED: Another server is at the address now; it has not run the request.
        LOST: The connection failed, or the response was invalid.
        SILENT: The server sent nothing for too long, and another one was first.
        CUT: The stream ended before its final event.
    """

    DELIVERED = "delivered"
    FAILED = "failed"
    UNREACHED = "unreached"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    LOST = "lost"
    SILENT = "silent"
    CUT = "cut"


class AttemptState(NamedTuple):
    """The state of a request after an attempt.

    Attributes:
        repeatable: Whether the request may safely run more than once.
        attempts: How many servers it was sent to so far, without those that were not
            reached.
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


# With less time left a request is not sent, since no response could arrive in time.
MIN_TIME_LEFT_S = 0.005
# Outcomes after which the server has certainly not run the request.
NOT_EXECUTED = frozenset(
    {AttemptOutcome.UNREACHED, AttemptOutcome.NOT_RUN, AttemptOutcome.MISDIRECTED}
)
# Outcomes after which the server that was chosen has not got the request. They do not
# count as attempts: after a crash, a route with a single attempt would otherwise be
# refused until the registration of the server expires.
NOT_REACHED = frozenset({AttemptOutcome.UNREACHED, AttemptOutcome.MISDIRECTED})
_OUTCOME_CODES = {
    AttemptOutcome.DELIVERED: Code.DONE,
    AttemptOutcome.FAILED: Code.DONE,
    AttemptOutcome.UNREACHED: Code.NO_BACKEND_SERVER,
    AttemptOutcome.NOT_RUN: Code.NO_BACKEND_SERVER,
    AttemptOutcome.MISDIRECTED: Code.NO_BACKEND_SERVER,
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


def may_hedge(state: AttemptState, running: int, time_left_s: float) -> bool:
    """Return whether a request may be sent to another server besides.

    Args:
        state: The state of the request; ``attempts`` are those that have ended.
        running: How many attempts are in progress, all at servers that are silent.
        time_left_s: The time until the deadline, in seconds.

    Examples:
        >>> silent = AttemptState(
        ...     True, 0, 2, may_have_run=True, response_started=True
        ... )
        >>> may_hedge(silent, running=1, time_left_s=3.0)
        True
        >>> may_hedge(silent, running=2, time_left_s=3.0)
        False
    """
    return (
        state.repeatable
        and running > 0
        and state.attempts + running < state.max_attempts
        and time_left_s >= MIN_TIME_LEFT_S
    )

"""What follows a send that did not bring the whole answer."""

from enum import Enum
from typing import NamedTuple

from oleanderpier.results import Code

__all__ = ["Ending", "SendState", "Verdict", "judge_ending"]


class Ending(Enum):
    """How one send to a backend server ended."""

    DELIVERED = "delivered"
    FAILED = "failed"
    UNREACHED = "unreached"
    NOT_RUN = "not_run"
    LOST = "lost"
    SILENT = "silent"
    CUT = "cut"


class SendState(NamedTuple):
    """What is known of a request that may be sent once more.

    Attributes:
        repeatable: Whether a second run does no harm.
        sends: To how many servers it was sent so far.
        max_sends: To how many it may be sent.
        may_have_run: Whether a server may have begun to work on it.
        begun: Whether the caller has a part of the answer.
    """

    repeatable: bool
    sends: int
    max_sends: int
    may_have_run: bool
    begun: bool


class Verdict(NamedTuple):
    """What to do after a send.

    Attributes:
        again: Whether another server may be tried.
        costs: Whether that counts as a repeat in the retry budget.
        code: The result code, if it is not tried again.
    """

    again: bool
    costs: bool
    code: Code


# Endings after which a server has certainly not worked on the request.
_HARMLESS = frozenset({Ending.UNREACHED, Ending.NOT_RUN})
_CODES = {
    Ending.DELIVERED: Code.DONE,
    Ending.FAILED: Code.DONE,
    Ending.UNREACHED: Code.NO_BACKEND_SERVER,
    Ending.NOT_RUN: Code.NO_BACKEND_SERVER,
    Ending.LOST: Code.ANSWER_LOST,
    Ending.SILENT: Code.ANSWER_LOST,
    Ending.CUT: Code.STREAM_CUT,
}


def judge_ending(ending: Ending, state: SendState) -> Verdict:
    """Return what follows the end of a send.

    A request that may not be repeated is sent once more only after a server
    said that it has not run it, or was never reached.

    Examples:
        >>> lost = SendState(False, 1, 2, may_have_run=True, begun=False)
        >>> judge_ending(Ending.LOST, lost)
        Verdict(again=False, costs=True, code=<Code.ANSWER_LOST: 204>)
        >>> judge_ending(Ending.UNREACHED, lost._replace(may_have_run=False))
        Verdict(again=True, costs=False, code=<Code.NO_BACKEND_SERVER: 108>)
    """
    code = _CODES[ending]
    if ending in _HARMLESS and state.may_have_run:
        code = Code.STREAM_CUT if state.begun else Code.ANSWER_LOST
    if ending is Ending.DELIVERED:
        return Verdict(False, False, code)
    allowed = state.repeatable or not state.may_have_run
    if ending is Ending.UNREACHED:
        return Verdict(allowed, False, code)
    return Verdict(allowed and state.sends < state.max_sends, True, code)

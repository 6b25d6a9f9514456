"""Errors of a send that got no response."""

from typing import NamedTuple

from oleanderpier.results.codes import Failure

__all__ = ["MaybeSent", "NotSent", "SendError"]


class NotSent(NamedTuple):
    """The request did not run: no byte of it has left this process or will.

    Attributes:
        failure: The cause, with a code whose fate is not run.
    """

    failure: Failure


class MaybeSent(NamedTuple):
    """The request may have run or still run, as a byte of it may have left.

    Attributes:
        failure: The cause, with a code whose fate is may have run.
    """

    failure: Failure


SendError = NotSent | MaybeSent

"""How a send ended that brought no answer."""

from typing import NamedTuple

from oleanderpier.results.codes import Failure

__all__ = ["MaybeSent", "NotSent", "SendError"]


class NotSent(NamedTuple):
    """No byte has left this process, and none will: it has not run.

    Attributes:
        failure: Why, with a not-run code.
    """

    failure: Failure


class MaybeSent(NamedTuple):
    """A byte may have left: it may have run, or still run.

    Attributes:
        failure: Why, with a may-have-run code.
    """

    failure: Failure


SendError = NotSent | MaybeSent

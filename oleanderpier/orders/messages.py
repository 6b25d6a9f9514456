"""What hosts say to each other about leases and starts."""

from enum import IntEnum
from typing import NamedTuple

from oleanderpier.claims import RoundId
from oleanderpier.utils import register_message

__all__ = [
    "LeaseGranted",
    "LeaseHeld",
    "LeaseQuery",
    "LeaseRefusal",
    "LeaseRefused",
    "LeaseRelease",
    "StartQuery",
    "StartReply",
]


class LeaseRefusal(IntEnum):
    """Why a witness grants no lease although nobody has it."""

    OLD_LIST = 1
    NOT_READY = 2
    OLD_ROUND = 3
    FENCE_TOO_LOW = 4
    FENCE_AHEAD = 5


@register_message(100)
class LeaseQuery(NamedTuple):
    """Asks a witness for the lease of a subject, or to renew it.

    Attributes:
        fence: The first fencing token that the holder would use.
    """

    subject: str
    round_id: RoundId
    fence: int
    list_version: int


@register_message(101)
class LeaseGranted(NamedTuple):
    """The witness grants the lease and will grant no lower fence."""

    subject: str
    round_id: RoundId
    list_version: int


@register_message(102)
class LeaseHeld(NamedTuple):
    """The witness has granted the lease to another process.

    Attributes:
        holder: That process's host.
        remaining_s: How long the witness keeps to it, in seconds.
    """

    subject: str
    round_id: RoundId
    list_version: int
    holder: str
    remaining_s: float


@register_message(103)
class LeaseRefused(NamedTuple):
    """The witness grants nothing now, for its own reasons.

    Attributes:
        fence: The highest fence that it granted; 0 if it remembers none.
        retry_after_s: When to ask again, in seconds.
    """

    subject: str
    round_id: RoundId
    list_version: int
    reason: LeaseRefusal
    fence: int
    retry_after_s: float


@register_message(104)
class LeaseRelease(NamedTuple):
    """The process gave up the lease of this round and all earlier ones."""

    subject: str
    round_id: RoundId


@register_message(105)
class StartQuery(NamedTuple):
    """Asks the holder of a budget's lease for one start.

    Attributes:
        incarnation: Which process of the asking host asks.
        sequence: Chosen by that process; the answer repeats it.
    """

    subject: str
    incarnation: str
    sequence: int


@register_message(106)
class StartReply(NamedTuple):
    """Answers a ``StartQuery``.

    Attributes:
        granted: Whether one start is handed out.
        retry_after_s: When to ask again if not, in seconds.
    """

    subject: str
    incarnation: str
    sequence: int
    granted: bool
    retry_after_s: float

"""Messages between hosts about leases and start permits."""

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
    """Why a witness refuses a lease, other than that another process holds it."""

    OLD_LIST = 1
    NOT_READY = 2
    OLD_ROUND = 3
    FENCE_TOO_LOW = 4
    FENCE_AHEAD = 5


@register_message(100)
class LeaseQuery(NamedTuple):
    """Asks a witness to grant the lease of a subject, or to renew it.

    Attributes:
        subject: The subject that the lease is for.
        round_id: The round of queries.
        fence: First of the ``TERM_FENCE_COUNT`` fencing tokens that the process
            may use once it holds the lease.
        list_version: Newest list version of the process when the round started.
    """

    subject: str
    round_id: RoundId
    fence: int
    list_version: int


@register_message(101)
class LeaseGranted(NamedTuple):
    """Replies to ``LeaseQuery``: the lease is granted.

    Afterwards the witness refuses every lower fencing token for the subject.

    Attributes:
        subject: The subject that the lease is for.
        round_id: The round of the query.
        list_version: Newest list version that the witness knows of.
    """

    subject: str
    round_id: RoundId
    list_version: int


@register_message(102)
class LeaseHeld(NamedTuple):
    """Replies to ``LeaseQuery``: another process holds the lease.

    Attributes:
        subject: The subject that the lease is for.
        round_id: The round of the query.
        list_version: Newest list version that the witness knows of.
        holder: Name of the host whose process holds the lease.
        remaining_s: Time until that grant ends, in seconds.
    """

    subject: str
    round_id: RoundId
    list_version: int
    holder: str
    remaining_s: float


@register_message(103)
class LeaseRefused(NamedTuple):
    """Replies to ``LeaseQuery``: not granted, but not because of another holder.

    Attributes:
        subject: The subject that the lease is for.
        round_id: The round of the query.
        list_version: Newest list version that the witness knows of.
        reason: Why the witness grants nothing.
        fence: First fencing token of its newest grant; 0 if it has no record.
        retry_after_s: Time until the witness is ready to grant leases, in seconds;
            0 if it is ready.
    """

    subject: str
    round_id: RoundId
    list_version: int
    reason: LeaseRefusal
    fence: int
    retry_after_s: float


@register_message(104)
class LeaseRelease(NamedTuple):
    """Informs a witness that this round and earlier ones of the process were given up.

    Attributes:
        subject: The subject that the lease is for.
        round_id: The last round of the process that is given up.
    """

    subject: str
    round_id: RoundId


@register_message(105)
class StartQuery(NamedTuple):
    """Asks the holder of a budget's lease for a start permit.

    Attributes:
        subject: The budget's name.
        incarnation: The process that asks.
        sequence: Number of the query, increasing within the process.
    """

    subject: str
    incarnation: str
    sequence: int


@register_message(106)
class StartReply(NamedTuple):
    """Replies to ``StartQuery``.

    Attributes:
        subject: The budget's name.
        incarnation: The process that asked.
        sequence: Number of the query.
        granted: Whether a permit is granted.
        retry_after_s: If none is granted: time until a permit is free, in seconds,
            or 0 if the sender's lease of the budget has ended or is about to.
    """

    subject: str
    incarnation: str
    sequence: int
    granted: bool
    retry_after_s: float

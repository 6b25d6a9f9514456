"""What hosts tell each other about hosts."""

from enum import IntEnum
from typing import NamedTuple

from oleanderpier.utils import register_message

__all__ = [
    "Ack",
    "MemberQuery",
    "MemberRecord",
    "MemberRecords",
    "MemberState",
    "MemberSummary",
    "Ping",
    "ProbeQuery",
    "ProbeReply",
    "VersionBitmap",
]


class MemberState(IntEnum):
    """What is known of a host; at one incarnation the higher one holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(NamedTuple):
    """What is known of one host, ordered by ``order``.

    Attributes:
        host: The host's name.
        state: Its state.
        started: Second of the wall clock at which its process started.
        incarnation: Raised by the host itself to refute a suspicion.
        list_version: The hosts list that it had when it announced itself.
        list_digest: The digest of that list, empty for none.
        failure_domain: Its failure domain.
        address: IP number of its peer port.
        peer_port: Its peer port, 0 if not known.
        accuser: Who suspects it, empty for other states.
    """

    host: str
    state: MemberState
    started: int
    incarnation: int
    list_version: int
    list_digest: str
    failure_domain: str
    address: str
    peer_port: int
    suspected_by: str = ""

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The key by which facts of one host override each other."""
        return (self.started, self.incarnation, self.state)

    @property
    def incarnation_key(self) -> tuple[int, int]:
        """The process start and incarnation that the fact is about."""
        return (self.started, self.incarnation)


class VersionBitmap(NamedTuple):
    """Which hosts of a hosts list have that list or a newer one.

    Attributes:
        version: The list's version.
        digest: The list's digest.
        bits: One bit for each entry of the list, in its order, little end
            first.
    """

    version: int
    digest: str
    bitmap: bytes


@register_message(20)
class Ping(NamedTuple):
    """Asks a host for an ``Ack``.

    Attributes:
        sequence: Repeated in the answer.
        started: The sender's process start.
        incarnation: The sender's incarnation.
        facts: News of hosts.
        version_bits: News of who has the newest hosts list.
    """

    sequence: int
    started: int
    incarnation: int
    records: list[MemberRecord]
    version_bitmap: VersionBitmap | None


@register_message(21)
class Ack(NamedTuple):
    """Answers a ``Ping``; the fields are those of the ping."""

    sequence: int
    started: int
    incarnation: int
    records: list[MemberRecord]
    version_bitmap: VersionBitmap | None


@register_message(22)
class ProbeQuery(NamedTuple):
    """Asks a host to ping a third one.

    Attributes:
        sequence: Repeated in the answer.
        target: The host to ping.
    """

    sequence: int
    target: str


@register_message(23)
class ProbeReply(NamedTuple):
    """Says that the target of a ``ProbeQuery`` answered.

    Attributes:
        sequence: Of the request.
        target: The host that answered.
        started: The target's process start.
        incarnation: The target's incarnation.
    """

    sequence: int
    target: str
    started: int
    incarnation: int


@register_message(24)
class MemberRecords(NamedTuple):
    """Facts that travel outside of pings."""

    records: list[MemberRecord]


@register_message(25)
class MemberSummary(NamedTuple):
    """One hash for each bucket of the sender's table of hosts.

    Attributes:
        answered: Whether the sender has already compared the other table.
        buckets: A 32-bit hash for each bucket.
    """

    is_reply: bool
    buckets: list[int]


@register_message(26)
class MemberQuery(NamedTuple):
    """Asks for the receiver's fact of itself, and for facts of some buckets.

    Attributes:
        buckets: Indices of buckets.
    """

    buckets: list[int]

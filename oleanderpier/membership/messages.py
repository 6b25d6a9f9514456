"""Messages of the membership protocol, and the records of hosts in them."""

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
    """State of a host; of two records of one incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(NamedTuple):
    """What is known of one host; the record of higher ``precedence`` wins.

    Attributes:
        host: The host's name.
        state: The host's state.
        started: When its process started, in whole seconds since 1970; 0 if
            the host is listed but nothing is known of its process.
        incarnation: Counter that the host itself raises to refute a suspicion.
        list_version: Version of the hosts list that the host had when it last
            announced itself, 0 for none.
        list_digest: Digest of that list, empty for none.
        failure_domain: The failure domain that the host is in.
        address: IP address on which the host listens for peers.
        peer_port: TCP port on which the host listens for peers, 0 if unknown.
        suspected_by: The host that reported it as suspect, empty in other
            states.
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
        """The key by which one record of a host overrides another."""
        return (self.started, self.incarnation, self.state)

    @property
    def incarnation_key(self) -> tuple[int, int]:
        """The process start and incarnation that the record describes."""
        return (self.started, self.incarnation)


class VersionBitmap(NamedTuple):
    """The hosts of a hosts list that have applied that list or a newer one.

    Attributes:
        version: Version of the list.
        digest: Digest of the list.
        bitmap: One bit for each entry of the list, in its order, as a
            little-endian integer.
    """

    version: int
    digest: str
    bitmap: bytes


@register_message(20)
class Ping(NamedTuple):
    """Asks a host for an ``Ack``.

    Attributes:
        sequence: Sequence number, repeated in the ack.
        started: Start of the sender's process, in seconds since 1970.
        incarnation: The sender's incarnation.
        records: Piggybacked updates of host records.
        version_bitmap: Which hosts have the newest hosts list, None if the
            sender has no update of that.
    """

    sequence: int
    started: int
    incarnation: int
    records: list[MemberRecord]
    version_bitmap: VersionBitmap | None


@register_message(21)
class Ack(NamedTuple):
    """Acknowledges a ``Ping``; the fields have the same meaning as there."""

    sequence: int
    started: int
    incarnation: int
    records: list[MemberRecord]
    version_bitmap: VersionBitmap | None


@register_message(22)
class ProbeQuery(NamedTuple):
    """Asks a host to ping a third one on the sender's behalf.

    Attributes:
        sequence: Sequence number of the sender's probe, repeated in the reply.
        target: The host to ping.
    """

    sequence: int
    target: str


@register_message(23)
class ProbeReply(NamedTuple):
    """Reports that the target of a ``ProbeQuery`` has acknowledged a ping.

    Attributes:
        sequence: The sequence number of the query.
        target: The host that acknowledged the ping.
        started: Start of the target's process, in seconds since 1970.
        incarnation: The target's incarnation.
    """

    sequence: int
    target: str
    started: int
    incarnation: int


@register_message(24)
class MemberRecords(NamedTuple):
    """Records that are sent outside of pings and acks.

    Attributes:
        records: The records of hosts.
    """

    records: list[MemberRecord]


@register_message(25)
class MemberSummary(NamedTuple):
    """Hashes of the sender's table of hosts, for the anti-entropy sync.

    Attributes:
        is_reply: Whether this replies to the receiver's own summary, so that the
            receiver sends none back.
        buckets: 32-bit hash of each bucket of the table.
    """

    is_reply: bool
    buckets: list[int]


@register_message(26)
class MemberQuery(NamedTuple):
    """Asks for the receiver's record of itself, and for those of some buckets.

    Attributes:
        buckets: Indices of the buckets, from 0.
    """

    buckets: list[int]

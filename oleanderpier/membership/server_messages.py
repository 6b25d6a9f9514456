"""What hosts tell each other about backend servers."""

from enum import IntEnum
from typing import NamedTuple

from oleanderpier.utils import register_message

__all__ = [
    "ServerProbeRequest",
    "ServerQuery",
    "ServerRecord",
    "ServerRecords",
    "ServerState",
    "ServerSummary",
]


class ServerState(IntEnum):
    """What is known of a backend server; the higher one is the worse."""

    LIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEAVING = 3


class ServerRecord(NamedTuple):
    """What is known of one backend server, ordered by ``order``.

    Attributes:
        server: The backend server's name.
        state: Its state.
        sequence: One higher than that of the fact that it replaces.
        flaps: How often it became suspect lately.
        by: The host that found this out.
    """

    server: str
    state: ServerState
    sequence: int
    flaps: int
    reported_by: str

    @property
    def precedence(self) -> tuple[int, int, str]:
        """The key by which facts of one backend server override each other."""
        return (self.sequence, self.state, self.reported_by)


@register_message(27)
class ServerRecords(NamedTuple):
    """News of backend servers."""

    records: list[ServerRecord]


@register_message(28)
class ServerProbeRequest(NamedTuple):
    """Asks a prober to probe a backend server now."""

    server: str


@register_message(29)
class ServerSummary(NamedTuple):
    """One hash for each bucket of the sender's table of backend servers.

    Attributes:
        answered: Whether the sender has already compared the other table.
        buckets: A 32-bit hash for each bucket.
    """

    is_reply: bool
    buckets: list[int]


@register_message(30)
class ServerQuery(NamedTuple):
    """Asks for all facts of some buckets.

    Attributes:
        buckets: Indices of buckets.
    """

    buckets: list[int]

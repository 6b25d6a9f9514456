"""Messages about backend servers, and the records of servers in them."""

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
    """State of a backend server; a higher state is worse."""

    LIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEAVING = 3


class ServerRecord(NamedTuple):
    """What is known of one backend server; the higher ``precedence`` wins.

    Attributes:
        server: The backend server's name.
        state: The server's state.
        sequence: Sequence number, one higher than in the record it replaces.
        flaps: How often the server has recently become suspect.
        reported_by: The host that made this record.
    """

    server: str
    state: ServerState
    sequence: int
    flaps: int
    reported_by: str

    @property
    def precedence(self) -> tuple[int, int, str]:
        """The key by which one record of a server overrides another."""
        return (self.sequence, self.state, self.reported_by)


@register_message(27)
class ServerRecords(NamedTuple):
    """Records of backend servers, sent as updates or in reply to a query.

    Attributes:
        records: The records.
    """

    records: list[ServerRecord]


@register_message(28)
class ServerProbeRequest(NamedTuple):
    """Asks a prober to probe a backend server soon.

    Attributes:
        server: The backend server's name.
    """

    server: str


@register_message(29)
class ServerSummary(NamedTuple):
    """Hashes of the sender's table of backend servers, for the sync.

    Attributes:
        is_reply: Whether this replies to the receiver's own summary, so that the
            receiver sends none back.
        buckets: 32-bit hash of each bucket of the table.
    """

    is_reply: bool
    buckets: list[int]


@register_message(30)
class ServerQuery(NamedTuple):
    """Asks for all records in some buckets.

    Attributes:
        buckets: Indices of the buckets, from 0.
    """

    buckets: list[int]

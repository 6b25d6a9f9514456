"""What hosts tell each other about backend servers."""

from enum import IntEnum
from typing import NamedTuple

from oleanderpier.utils import register_message

__all__ = [
    "ServerDoubt",
    "ServerFact",
    "ServerFacts",
    "ServerFactsQuery",
    "ServerState",
    "ServerSummary",
]


class ServerState(IntEnum):
    """What is known of a backend server; the higher one is the worse."""

    LIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEAVING = 3


class ServerFact(NamedTuple):
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
    by: str

    @property
    def order(self) -> tuple[int, int, str]:
        """The key by which facts of one backend server override each other."""
        return (self.sequence, self.state, self.by)


@register_message(27)
class ServerFacts(NamedTuple):
    """News of backend servers."""

    facts: list[ServerFact]


@register_message(28)
class ServerDoubt(NamedTuple):
    """Asks a prober to probe a backend server now."""

    server: str


@register_message(29)
class ServerSummary(NamedTuple):
    """One hash for each bucket of the sender's table of backend servers.

    Attributes:
        answered: Whether the sender has already compared the other table.
        buckets: A 32-bit hash for each bucket.
    """

    answered: bool
    buckets: list[int]


@register_message(30)
class ServerFactsQuery(NamedTuple):
    """Asks for all facts of some buckets.

    Attributes:
        buckets: Indices of buckets.
    """

    buckets: list[int]

"""The report of one host."""

from typing import NamedTuple

from oleanderpier.replication import Knowledge
from oleanderpier.utils import register_message

__all__ = ["HostReport", "ServerUse"]


class ServerUse(NamedTuple):
    """What a host does at a backend server.

    Attributes:
        in_flight: Its requests there now.
        answers: Answers since the report before.
        failures: How many of these were the server's own failures.
    """

    in_flight: int
    answers: int
    failures: int


@register_message(135)
class HostReport(NamedTuple):
    """What a host tells the others about itself.

    Attributes:
        ready: Whether it takes requests of callers.
        knowledge: What it knows of each key space.
        servers: Its use of each backend server, by id.
        placements: The keys of cached parts that it sent to servers since the
            report before, each with the server's id.
    """

    ready: bool
    knowledge: dict[str, Knowledge]
    servers: dict[str, ServerUse]
    placements: list[tuple[str, str]]

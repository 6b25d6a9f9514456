"""The report of one host."""

from typing import NamedTuple

from oleanderpier.replication import Knowledge
from oleanderpier.utils import register_message

__all__ = ["CachedParts", "HostReport", "ServerUse", "merge_reports"]


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
        caller_address: Where callers connect to it, ``IP:PORT``.
        ready: Whether it takes requests of callers.
        platform_answers: Whether the platform answers it.
        knowledge: What it knows of each key space.
        servers: Its use of each backend server, by id.
        placements: The keys of cached parts that it sent to servers since the
            report before, each with the server's id.
    """

    caller_address: str
    ready: bool
    platform_answers: bool
    knowledge: dict[str, Knowledge]
    servers: dict[str, ServerUse]
    placements: list[tuple[str, str]]


@register_message(136)
class CachedParts(NamedTuple):
    """What a host tells one that has just started of servers' caches.

    Attributes:
        placements: The keys of cached parts, each with a server's id.
    """

    placements: list[tuple[str, str]]


_NO_USE = ServerUse(0, 0, 0)


def merge_reports(earlier: HostReport | None, later: HostReport) -> HostReport:
    """Return one report of a host that tells what two would.

    Examples:
        >>> first = {"s1": ServerUse(4, 3, 1)}
        >>> earlier = HostReport("10.0.0.1:80", True, True, {}, first, [("k", "s1")])
        >>> later = earlier._replace(servers={"s1": ServerUse(2, 1, 0)})
        >>> merge_reports(earlier, later).servers
        {'s1': ServerUse(in_flight=2, answers=4, failures=1)}
    """
    if earlier is None:
        return later
    servers = {}
    for identity in {*earlier.servers, *later.servers}:
        before = earlier.servers.get(identity, _NO_USE)
        after = later.servers.get(identity, _NO_USE)
        servers[identity] = ServerUse(
            after.in_flight,
            before.answers + after.answers,
            before.failures + after.failures,
        )
    placements = earlier.placements + later.placements
    return later._replace(servers=servers, placements=placements)

"""Fixtures for the tests of routing: servers, routes and a chooser."""

import random

from oleanderpier.routing import (
    CacheMap,
    Chooser,
    RequestKind,
    Roster,
    Route,
    ServerEntry,
    ServerHealth,
    ServiceShare,
)
from oleanderpier.utils import ManualTimers

__all__ = ["RoutingFixture", "make_route", "make_server"]

ENGINE = "engine"


def make_server(identity: str, **changes) -> ServerEntry:
    """Return a server of the service ``engine``, with some fields changed."""
    entry = ServerEntry(
        identity, ENGINE, f"10.0.0.1:{8000 + len(identity)}", "duluth", False, 1
    )
    return entry._replace(**changes)


def make_route(**changes) -> Route:
    """Return a route of resumable streams, with some fields changed."""
    route = Route(
        name="r1",
        host_name="a.example",
        prefix="/chat/",
        kind=RequestKind.STREAM,
        resumable=True,
        timeout_s=15.0,
        target_s=1.0,
        gap_target_s=0.4,
        priority=0,
        shares=(ServiceShare(ENGINE, 1.0),),
        max_attempts=2,
        public=False,
        sticky=True,
    )
    return route._replace(**changes)


class RoutingFixture:
    """A chooser over some servers, on a manual clock.

    Args:
        servers: The number of servers, with the ids ``s0``, ``s1`` and so on.
        load_age_s: The age that load reports have, in seconds.

    Attributes:
        remote_load: Requests in flight of other hosts, by server id.
    """

    def __init__(self, servers: int = 9, load_age_s: float = 0.0) -> None:
        self.timers = ManualTimers()
        self.roster = Roster(self.timers)
        self.health = ServerHealth(self.timers)
        self.caches = CacheMap(self.timers)
        self.remote_load: dict[str, int] = {}
        self.chooser = Chooser(
            self.roster,
            self.health,
            self.caches,
            "duluth",
            lambda identity: self.remote_load.get(identity, 0),
            random.Random(1),
            self.timers,
            lambda: load_age_s,
        )
        self.roster.subscribe_removed(self.caches.remove_server)
        for number in range(servers):
            self.register_server(f"s{number}")

    def register_server(self, identity: str, **changes) -> None:
        """Register a server of the service ``engine``, or change its entry."""
        self.roster.update_entry(identity, make_server(identity, **changes))

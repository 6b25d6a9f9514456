"""Fixtures for the tests of routing: servers, routes and a chooser."""

import random

from oleanderpier.routing import (
    CacheMap,
    Chooser,
    CopyWindows,
    Evacuations,
    RequestKind,
    Roster,
    Route,
    ServerEntry,
    ServerHealth,
    ServerStatements,
    ServiceShare,
)
from oleanderpier.utils import ManualTimers

__all__ = ["ENGINE", "FakeRemoteLoads", "RoutingFixture", "make_route", "make_server"]

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


class FakeRemoteLoads:
    """Requests in flight of other hosts, as a test sets them.

    Args:
        age_s: Their age, in seconds.

    Attributes:
        in_flight: The requests, by server id; their means are the same.
    """

    def __init__(self, age_s: float = 0.0) -> None:
        self.age_s = age_s
        self.in_flight: dict[str, int] = {}

    def count_in_flight(self, identity: str) -> int:
        """Return the requests at a server."""
        return self.in_flight.get(identity, 0)

    def get_mean_in_flight(self, identity: str) -> float:
        """Return the requests at a server."""
        return float(self.in_flight.get(identity, 0))

    def get_age_s(self) -> float:
        """Return the age."""
        return self.age_s


class RoutingFixture:
    """A chooser over some servers, on a manual clock.

    Args:
        servers: The number of servers, with the ids ``s0``, ``s1`` and so on.
        load_age_s: The age that load reports have, in seconds.
        regions: The region of each failure domain.
        evacuate_s: The time within which evacuations take effect, None if unknown.

    Attributes:
        evacuations: The evacuated failure domains.
        are_unconfirmed: Whether they are not known, after a standstill.
        remote_loads: Requests in flight of other hosts.
    """

    def __init__(
        self,
        servers: int = 9,
        load_age_s: float = 0.0,
        regions: dict[str, str] | None = None,
        evacuate_s: float | None = None,
    ) -> None:
        self.timers = ManualTimers()
        self.roster = Roster(self.timers)
        self.health = ServerHealth(self.timers)
        self.caches = CacheMap(self.timers)
        self.statements = ServerStatements()
        self.are_unconfirmed = False
        self.evacuations = Evacuations(
            self.timers,
            lambda: self.are_unconfirmed,
            None if evacuate_s is None else CopyWindows(evacuate_s),
        )
        self.remote_loads = FakeRemoteLoads(load_age_s)
        self.chooser = Chooser(
            self.roster,
            self.health,
            self.caches,
            "duluth",
            self.remote_loads,
            random.Random(1),
            self.timers,
            statements=self.statements,
            evacuations=self.evacuations,
            regions=regions,
        )
        self.roster.subscribe_removed(self.caches.remove_server)
        for number in range(servers):
            self.register_server(f"s{number}")

    def register_server(self, identity: str, **changes) -> None:
        """Register a server of the service ``engine``, or change its entry."""
        self.roster.update_entry(identity, make_server(identity, **changes))

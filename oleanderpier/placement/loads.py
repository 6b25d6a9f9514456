"""What is in flight on each backend server of a pool, and how much may be.

The bound: while the mean is at least MIN_BOUNDED_MEAN requests a server, none is
given more than ``load_multiple * mean``, where the mean is taken before the new
request; below that LOW_MEAN_EXTRA more are allowed, up to what holds at
MIN_BOUNDED_MEAN, so that chats find their server while there is room everywhere. A
server's mean is in proportion to its slots, so that a small one is not
overrun; for servers of one size it is the plain mean. The least filled server
may always take one more: the bound alone never stops a pool with free slots.
"""

import math

from oleanderpier.configuration import BackendServer
from oleanderpier.placement.records import ServerStatus

__all__ = ["MIN_BOUNDED_MEAN", "PoolLoads", "ServerLoad", "compute_server_limit"]

MIN_BOUNDED_MEAN = 8.0
LOW_MEAN_EXTRA = 3
ROUNDING = 1e-9
DEFAULT_LOAD_MULTIPLE = 1.25
RAMP_S = 10.0
RAMP_START = 0.1
BACKOFF_START_S = 0.5
BACKOFF_MAX_S = 30.0
LEAVING_NOTICE_S = 30.0


class ServerLoad:
    """One backend server's permits in flight and its state.

    Args:
        server: The published entry.
        joined_s: When it joined the pool; None if it was there all along.
    """

    def __init__(self, server: BackendServer, joined_s: float | None):
        self.name = server["name"]
        self.slots = server["slots"]
        self.published_leaving = server["state"] == "leaving"
        self.noticed_until_s = 0.0
        self.joined_s = joined_s
        self.in_flight = 0
        self.failures = 0
        self.on_trial = False
        self.avoided_until_s = 0.0

    def is_leaving(self, now: float) -> bool:
        """Return whether the list or a notice says that it is leaving."""
        return self.published_leaving or now < self.noticed_until_s

    def is_usable(self, now: float) -> bool:
        """Return whether it is neither leaving nor avoided after failures."""
        return not self.is_leaving(now) and now >= self.avoided_until_s

    def update(self, server: BackendServer, now: float) -> None:
        """Take a newer published entry; one that is back ramps up again."""
        self.slots = server["slots"]
        leaving = server["state"] == "leaving"
        if self.published_leaving and not leaving:
            self.joined_s = now
        self.published_leaving = leaving

    def note_leaving(self, now: float) -> None:
        """Give it nothing new until the published list should say why."""
        self.noticed_until_s = now + LEAVING_NOTICE_S

    def is_ramping(self, now: float) -> bool:
        """Return whether it is too new to be given its whole part."""
        return self.joined_s is not None and now - self.joined_s < RAMP_S

    def limit_ramp(self, now: float) -> int:
        """Return how many requests its age and last failures allow.

        After a failure and its pause, one request at a time tries the server.
        """
        if self.failures:
            return self.in_flight + (not self.on_trial)
        if not self.is_ramping(now):
            return self.slots
        part = RAMP_START + (1 - RAMP_START) * (now - self.joined_s) / RAMP_S
        return math.ceil(self.slots * part)

    def note_failure(self, now: float) -> float:
        """Avoid the server for a time that doubles with each failure.

        Failures of requests that were sent before the server was avoided
        count once.

        Returns:
            When it may be tried again, with one request.
        """
        if now >= self.avoided_until_s:
            self.failures += 1
            delay = BACKOFF_START_S * 2 ** min(self.failures - 1, 16)
            self.avoided_until_s = now + min(BACKOFF_MAX_S, delay)
        return self.avoided_until_s


class PoolLoads:
    """The loads of a pool's backend servers under one bound.

    Attributes:
        load_multiple: No server carries more than this multiple of the mean.
        servers: The servers by name, also leaving ones.
    """

    def __init__(self) -> None:
        self.load_multiple = DEFAULT_LOAD_MULTIPLE
        self.servers: dict[str, ServerLoad] = {}

    def sum_usable(self, now: float) -> tuple[int, int]:
        """Return the slots of all usable servers and what is in flight there."""
        usable = [s for s in self.servers.values() if s.is_usable(now)]
        return sum(s.slots for s in usable), sum(s.in_flight for s in usable)

    def update(self, servers: tuple[BackendServer, ...], now: float) -> None:
        """Take the pool's published servers; new ones begin to ramp up."""
        before = self.servers
        self.servers = {}
        for server in servers:
            known = before.get(server["name"])
            if known is None:
                known = ServerLoad(server, now if before else None)
            known.update(server, now)
            self.servers[known.name] = known

    def add(self, backend_server: str) -> None:
        """Count a permit, if the pool has its server."""
        load = self.servers.get(backend_server)
        if load is not None:
            load.in_flight += 1
            load.on_trial = bool(load.failures)

    def remove(self, backend_server: str, granted_s: float) -> None:
        """Count a permit no longer, if the pool has its server."""
        load = self.servers.get(backend_server)
        if load is None:
            return
        load.in_flight -= 1
        if granted_s >= load.avoided_until_s:
            load.on_trial = False

    def find_open(self, now: float) -> dict[str, ServerLoad]:
        """Return the servers that may take one more request now.

        A server that ramps up keeps to its ramp unless that alone would make
        the others' bound leave slots idle.
        """
        usable = [s for s in self.servers.values() if s.is_usable(now)]
        limits = self._limit_all(usable)
        below = [s for s in usable if s.in_flight < min(s.slots, limits[s.name])]
        taking = [s for s in below if s.in_flight < s.limit_ramp(now)]
        if not taking and any(s.in_flight < s.slots for s in usable if s not in below):
            taking = [s for s in below if not s.failures]
        return {s.name: s for s in taking}

    def keep_below(
        self, servers: dict[str, ServerLoad], fleet_load: float
    ) -> dict[str, ServerLoad]:
        """Return those that stay below the multiple of the fleet's mean, too.

        Args:
            servers: Servers of this pool, by name.
            fleet_load: The part of the slots of all pools that is in use; 0 if
                not known.
        """
        scale = self.load_multiple * fleet_load
        if not fleet_load or any(
            fleet_load * s.slots < MIN_BOUNDED_MEAN for s in servers.values()
        ):
            return servers
        return {n: s for n, s in servers.items() if s.in_flight + 1 <= scale * s.slots}

    def find_excess(self, now: float) -> dict[str, int]:
        """Return by how much servers exceed the bound since others got free."""
        usable = [s for s in self.servers.values() if s.is_usable(now)]
        total = sum(s.in_flight for s in usable)
        if not usable or total / len(usable) < MIN_BOUNDED_MEAN:
            return {}
        limits = self._limit_all(usable)
        excess = {s.name: s.in_flight - limits[s.name] for s in usable}
        return {name: over for name, over in excess.items() if over > 0}

    def describe(self, now: float) -> list[ServerStatus]:
        """Return each server's state for operators."""
        usable = [s for s in self.servers.values() if s.is_usable(now)]
        limits = self._limit_all(usable)
        return [
            ServerStatus(
                s.name,
                s.in_flight,
                min(s.limit_ramp(now), limits.get(s.name, 0)),
                s.name in limits,
            )
            for s in self.servers.values()
        ]

    def _limit_all(self, usable: list[ServerLoad]) -> dict[str, int]:
        if not usable:
            return {}
        part = 1 / sum(s.slots for s in usable)
        mean = part * sum(s.in_flight for s in usable)
        full = part * MIN_BOUNDED_MEAN * len(usable)
        return {
            s.name: compute_server_limit(
                mean * s.slots, full * s.slots, self.load_multiple
            )
            for s in usable
        }


def compute_server_limit(mean: float, bound_mean: float, load_multiple: float) -> int:
    """Return how many requests a server may hold.

    Args:
        mean: Its part of what is in flight.
        bound_mean: That part while MIN_BOUNDED_MEAN requests a server are in flight.
        load_multiple: No server carries more than this multiple of the mean.

    Examples:
        >>> [compute_server_limit(mean, 8.0, 1.25) for mean in (1.0, 7.9, 8.0, 12.0)]
        [4, 10, 10, 15]
    """
    limit = math.floor(load_multiple * mean + ROUNDING)
    if mean < bound_mean:
        limit = min(
            limit + LOW_MEAN_EXTRA, math.floor(load_multiple * bound_mean + ROUNDING)
        )
    return max(limit, math.floor(mean + ROUNDING) + 1)

"""The requests in flight on each backend server of a pool, and their limits.

The bound limits the requests in flight on a server to ``load_multiple * mean``,
where the mean is the pool's mean per server before the new request. While the
mean is below MIN_BOUNDED_MEAN, LOW_MEAN_EXTRA_COUNT more requests are allowed, up
to the limit at MIN_BOUNDED_MEAN: with free slots on all servers, cache affinity
matters more than an even load. Each server's mean is proportional to its slots,
so that small servers are not overloaded; if all servers have the same number of
slots, it is the plain mean. The limit always exceeds the mean, so that the
least loaded server may take a request and the bound alone never stops a pool
that has free slots.
"""

import math

from oleanderpier.configuration import BackendServer
from oleanderpier.placement.records import ServerStatus

__all__ = ["MIN_BOUNDED_MEAN", "PoolLoads", "ServerLoad", "compute_server_limit"]

# Requests in flight per server.
MIN_BOUNDED_MEAN = 8.0
LOW_MEAN_EXTRA_COUNT = 3
# Keeps floating-point errors from lowering a limit that is a whole number.
ROUNDING_TOLERANCE = 1e-9
DEFAULT_LOAD_MULTIPLE = 1.25
RAMP_DURATION_S = 10.0
RAMP_START_RATIO = 0.1
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
# The published list should show the server as leaving within this time.
LEAVING_NOTICE_TTL_S = 30.0


class ServerLoad:
    """The permits in flight and the health of one backend server.

    Args:
        server: The published entry of the server.
        joined_s: The monotonic time at which the server joined the pool, in
            seconds; None if it is in the first list, which needs no ramp.

    Attributes:
        name: The server's name.
        slots: The number of requests that the server can run at once.
        published_leaving: Whether the published entry says leaving.
        leaving_until_s: The monotonic time until which a notice that the
            server is leaving holds, in seconds.
        joined_s: The time at which the ramp started, or None.
        in_flight: The number of permits in flight.
        failures: The number of backoffs since the last success.
        trial_in_flight: Whether a trial request runs after a failure.
        avoided_until_s: The monotonic time at which the backoff ends, in
            seconds.
    """

    def __init__(self, server: BackendServer, joined_s: float | None):
        self.name = server["name"]
        self.slots = server["slots"]
        self.published_leaving = server["state"] == "leaving"
        self.leaving_until_s = 0.0
        self.joined_s = joined_s
        self.in_flight = 0
        self.failures = 0
        self.trial_in_flight = False
        self.avoided_until_s = 0.0

    def is_leaving(self, now: float) -> bool:
        """Return whether the published entry or a notice says leaving."""
        return self.published_leaving or now < self.leaving_until_s

    def is_usable(self, now: float) -> bool:
        """Return whether the server is neither leaving nor backed off."""
        return not self.is_leaving(now) and now >= self.avoided_until_s

    def apply_entry(self, server: BackendServer, now: float) -> None:
        """Apply a newer published entry; a server that left and returned ramps up."""
        self.slots = server["slots"]
        leaving = server["state"] == "leaving"
        if self.published_leaving and not leaving:
            self.joined_s = now
        self.published_leaving = leaving

    def record_leaving(self, now: float) -> None:
        """Record a notice that the server is leaving."""
        self.leaving_until_s = now + LEAVING_NOTICE_TTL_S

    def is_ramping(self, now: float) -> bool:
        """Return whether the server joined within the last RAMP_DURATION_S."""
        return self.joined_s is not None and now - self.joined_s < RAMP_DURATION_S

    def compute_ramp_limit(self, now: float) -> int:
        """Return how many requests the ramp and past failures allow.

        After a failure and its backoff, the server gets one trial request at a
        time until a request succeeds.
        """
        if self.failures:
            return self.in_flight + (not self.trial_in_flight)
        if not self.is_ramping(now):
            return self.slots
        ratio = (
            RAMP_START_RATIO
            + (1 - RAMP_START_RATIO) * (now - self.joined_s) / RAMP_DURATION_S
        )
        return math.ceil(self.slots * ratio)

    def record_failure(self, now: float) -> float:
        """Back off from the server for a time that doubles with each failure.

        Failures during a backoff are ignored: they come from requests that
        were sent before it.

        Returns:
            The monotonic time at which the backoff ends, in seconds. The
            server then gets a trial request.
        """
        if now >= self.avoided_until_s:
            self.failures += 1
            delay = MIN_BACKOFF_S * 2 ** min(self.failures - 1, 16)
            self.avoided_until_s = now + min(MAX_BACKOFF_S, delay)
        return self.avoided_until_s


class PoolLoads:
    """The loads of a pool's backend servers, under a common bound.

    Attributes:
        load_multiple: The maximum ratio of a server's load to the mean.
        servers: The servers by name, including leaving ones.
    """

    def __init__(self) -> None:
        self.load_multiple = DEFAULT_LOAD_MULTIPLE
        self.servers: dict[str, ServerLoad] = {}

    def sum_usable(self, now: float) -> tuple[int, int]:
        """Return the slots of all usable servers and their requests in flight."""
        usable = [s for s in self.servers.values() if s.is_usable(now)]
        return sum(s.slots for s in usable), sum(s.in_flight for s in usable)

    def update_servers(self, servers: tuple[BackendServer, ...], now: float) -> None:
        """Apply the pool's published servers; added servers ramp up."""
        before = self.servers
        self.servers = {}
        for server in servers:
            known = before.get(server["name"])
            if known is None:
                known = ServerLoad(server, now if before else None)
            known.apply_entry(server, now)
            self.servers[known.name] = known

    def add_permit(self, backend_server: str) -> None:
        """Count a granted permit, if its server is in the pool."""
        load = self.servers.get(backend_server)
        if load is not None:
            load.in_flight += 1
            load.trial_in_flight = bool(load.failures)

    def remove_permit(self, backend_server: str, granted_s: float) -> None:
        """Uncount a permit, if its server is in the pool.

        Args:
            backend_server: The permit's server.
            granted_s: The monotonic time of the grant, in seconds. Only a
                permit granted after the last backoff can be the trial request.
        """
        load = self.servers.get(backend_server)
        if load is None:
            return
        load.in_flight -= 1
        if granted_s >= load.avoided_until_s:
            load.trial_in_flight = False

    def find_available(self, now: float) -> dict[str, ServerLoad]:
        """Return the servers that may take one more request now, by name.

        Ramp limits are lifted if all servers within the bound are at their
        ramp limit while others have free slots: the low load of the ramping
        servers then keeps the mean, and with it the bound of the others, too
        low. Servers that get trial requests after a failure keep their limit.
        """
        usable = [s for s in self.servers.values() if s.is_usable(now)]
        limits = self._compute_limits(usable)
        within_bound = [s for s in usable if s.in_flight < min(s.slots, limits[s.name])]
        available = [s for s in within_bound if s.in_flight < s.compute_ramp_limit(now)]
        if not available and any(
            s.in_flight < s.slots for s in usable if s not in within_bound
        ):
            available = [s for s in within_bound if not s.failures]
        return {s.name: s for s in available}

    def filter_by_fleet_load(
        self, servers: dict[str, ServerLoad], fleet_load_ratio: float
    ) -> dict[str, ServerLoad]:
        """Return the servers that also stay within the bound of the fleet's mean.

        The bound is not applied if the fleet's mean is below MIN_BOUNDED_MEAN
        requests for one of the servers.

        Args:
            servers: Servers of this pool, by name.
            fleet_load_ratio: The ratio of requests in flight and queued to
                slots over all pools; 0 if not known.
        """
        max_load_ratio = self.load_multiple * fleet_load_ratio
        if not fleet_load_ratio or any(
            fleet_load_ratio * s.slots < MIN_BOUNDED_MEAN for s in servers.values()
        ):
            return servers
        return {
            n: s
            for n, s in servers.items()
            if s.in_flight + 1 <= max_load_ratio * s.slots
        }

    def find_excess(self, now: float) -> dict[str, int]:
        """Return by how many requests each server exceeds the bound.

        A server can exceed it after requests on other servers have ended,
        which lowers the mean.
        """
        usable = [s for s in self.servers.values() if s.is_usable(now)]
        total = sum(s.in_flight for s in usable)
        if not usable or total / len(usable) < MIN_BOUNDED_MEAN:
            return {}
        limits = self._compute_limits(usable)
        excess = {s.name: s.in_flight - limits[s.name] for s in usable}
        return {name: count for name, count in excess.items() if count > 0}

    def describe(self, now: float) -> list[ServerStatus]:
        """Return the status of each server, for operators."""
        usable = [s for s in self.servers.values() if s.is_usable(now)]
        limits = self._compute_limits(usable)
        return [
            ServerStatus(
                s.name,
                s.in_flight,
                min(s.compute_ramp_limit(now), limits.get(s.name, 0)),
                s.name in limits,
            )
            for s in self.servers.values()
        ]

    def _compute_limits(self, usable: list[ServerLoad]) -> dict[str, int]:
        if not usable:
            return {}
        slots_inverse = 1 / sum(s.slots for s in usable)
        mean_per_slot = slots_inverse * sum(s.in_flight for s in usable)
        min_bounded_per_slot = slots_inverse * MIN_BOUNDED_MEAN * len(usable)
        return {
            s.name: compute_server_limit(
                mean_per_slot * s.slots,
                min_bounded_per_slot * s.slots,
                self.load_multiple,
            )
            for s in usable
        }


def compute_server_limit(
    mean: float, min_bounded_mean: float, load_multiple: float
) -> int:
    """Return how many requests a server may hold.

    Args:
        mean: The server's share of the pool's requests in flight, in
            proportion to its slots.
        min_bounded_mean: The same share while the pool's mean per server is
            MIN_BOUNDED_MEAN.
        load_multiple: The maximum ratio of the server's load to its mean.

    Examples:
        >>> [compute_server_limit(mean, 8.0, 1.25) for mean in (1.0, 7.9, 8.0, 12.0)]
        [4, 10, 10, 15]
    """
    limit = math.floor(load_multiple * mean + ROUNDING_TOLERANCE)
    if mean < min_bounded_mean:
        limit = min(
            limit + LOW_MEAN_EXTRA_COUNT,
            math.floor(load_multiple * min_bounded_mean + ROUNDING_TOLERANCE),
        )
    return max(limit, math.floor(mean + ROUNDING_TOLERANCE) + 1)

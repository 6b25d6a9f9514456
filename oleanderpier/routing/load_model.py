"""Estimates servers' loads from reports that are older than many requests take.

Between two reports requests end and all other hosts send new ones. A server's requests
in flight are modelled as an M/M/inf queue: of those that were reported a ratio is still
in flight, and others have arrived at the rate that keeps the load at its mean. The
older the reports, the more the mean counts, and the larger is the margin that a server
needs below the load limit.

References:
    M. Mitzenmacher, "How useful is old information?", IEEE TPDS 11(1), 2000.
"""

import math
from collections import Counter
from statistics import NormalDist
from typing import NamedTuple, Protocol

from oleanderpier.routing.failure_rates import compute_usual_failure_rate
from oleanderpier.routing.health import ServerHealth
from oleanderpier.routing.records import ServerEntry
from oleanderpier.routing.residence import ResidenceTimes
from oleanderpier.routing.roster import Roster
from oleanderpier.routing.statements import ServerStatements
from oleanderpier.utils import Timers

__all__ = [
    "DEFAULT_LOAD_LIMIT_FACTOR",
    "LOAD_LIMIT_OFFSET",
    "LoadModel",
    "RemoteLoads",
    "ServiceStats",
]

# The users' limit: a server holds at most a factor, which is a setting, times the mean
# of its service plus LOAD_LIMIT_OFFSET requests.
DEFAULT_LOAD_LIMIT_FACTOR = 2.0
LOAD_LIMIT_OFFSET = 3.0
# The users allow this ratio of the sends to exceed the limit.
ALLOWED_OVER_LIMIT_RATIO = 0.03
# The same for one send in a service of uneven speed, where a prompt that leaves its
# server costs most. Most sends go to servers far below the limit, so that the ratio
# over all sends stays below the one that the users allow.
UNEVEN_OVER_LIMIT_RATIO = 0.1
# Standard deviations from a server's expected load to the limit, with which a send
# exceeds the limit with the allowed probability at most.
LIMIT_MARGIN_SIGMAS = NormalDist().inv_cdf(1 - ALLOWED_OVER_LIMIT_RATIO)
UNEVEN_MARGIN_SIGMAS = NormalDist().inv_cdf(1 - UNEVEN_OVER_LIMIT_RATIO)
# Weight added to a server whose requests all fail, in requests in flight.
FAILURE_PENALTY = 12.0


class RemoteLoads(Protocol):
    """The requests in flight of the other hosts."""

    def count_in_flight(self, identity: str) -> int:
        """Return how many requests the other hosts have reported at a server."""

    def get_mean_in_flight(self, identity: str) -> float:
        """Return the mean of ``count_in_flight`` over the last seconds."""

    def get_age_s(self) -> float:
        """Return the mean age of what ``count_in_flight`` counts, in seconds."""


class ServiceStats(NamedTuple):
    """Statistics over all servers of a service, cached since they cost O(servers).

    Attributes:
        mean_load: Expected requests in flight per registered server without a limit.
        mean_remote_load: Those of the other hosts, per such server.
        load_limit: The users' limit on the requests in flight at a server.
        survival: Probability that a reported request of another host is still in
            flight: 1 if loads are known exactly, near 0 if they are older than
            requests take.
        tolerated_failure_rate: The failure rate up to which a server has no penalty,
            0 to 1: in services of uneven speed what is usual among the servers,
            elsewhere the lowest rate of a server.
        has_limits: Whether a server of the service names a limit.
        is_uneven: Whether the servers may differ in speed.
        computed_s: When they were computed, on the monotonic clock.
    """

    mean_load: float
    mean_remote_load: float
    load_limit: float
    survival: float
    tolerated_failure_rate: float
    has_limits: bool
    is_uneven: bool
    computed_s: float


class LoadModel:
    """Estimates the requests in flight at each server, and compares with the limit.

    Args:
        roster: The backend servers by service.
        health: Failures of the servers.
        remote_loads: The requests of the other hosts.
        timers: The timer service.
        load_limit_factor: The users' limit on a server's requests in flight, as a
            multiple of the mean of its service.

    Attributes:
        in_flight: This host's requests in flight, by server id.
        residence_times: How long requests are in flight, by service.
    """

    def __init__(
        self,
        roster: Roster,
        health: ServerHealth,
        remote_loads: RemoteLoads,
        timers: Timers,
        load_limit_factor: float,
    ) -> None:
        self.in_flight: Counter[str] = Counter()
        self.residence_times = ResidenceTimes()
        self._roster = roster
        self._health = health
        self._remote_loads = remote_loads
        self._timers = timers
        self._load_limit_factor = load_limit_factor

    def count_in_flight(self, identity: str) -> int:
        """Return the number of requests in flight at a server, of all hosts."""
        remote = self._remote_loads.count_in_flight(identity)
        return self.in_flight.get(identity, 0) + remote

    def get_age_s(self) -> float:
        """Return the mean age of the other hosts' requests, in seconds."""
        return self._remote_loads.get_age_s()

    def compute_stats(
        self,
        service: str,
        servers: list[ServerEntry],
        statements: ServerStatements,
    ) -> ServiceStats:
        """Return the statistics of a service.

        The mean is over all registered servers, as the users count it: a server that
        leaves or fails holds little, and lowers the limit of the others. Only those
        that name a limit are left out, since the others have to hold what they do not
        take.

        Args:
            service: The service.
            servers: The servers that may be chosen.
            statements: What the servers have said.
        """
        registered = self._roster.list_registered(service)
        unlimited = statements.list_unlimited(registered)
        has_limits = len(unlimited) < len(registered)
        counted = unlimited or registered
        survival = self.residence_times.estimate_survival(service, self.get_age_s())
        remote = own = 0.0
        for entry in counted:
            remote += self._estimate_remote_load(entry.identity, survival)
            own += self.in_flight[entry.identity]
        mean = (remote + own) / len(counted)
        failure_rates = [
            self._health.get_failure_rate(entry.identity) for entry in servers
        ]
        is_uneven = statements.loads.is_uneven(service)
        tolerated = (
            compute_usual_failure_rate(failure_rates)
            if is_uneven
            else min(failure_rates)
        )
        return ServiceStats(
            mean,
            remote / len(counted),
            self._load_limit_factor * mean + LOAD_LIMIT_OFFSET,
            survival,
            tolerated,
            has_limits,
            is_uneven,
            self._timers.now(),
        )

    def compute_weight(self, identity: str, stats: ServiceStats) -> float:
        """Return a server's expected load, and a penalty for failing requests."""
        remote = self._estimate_remote_load(identity, stats.survival)
        return self._add_own_load(identity, remote, stats)

    def compute_margin(self, identity: str, stats: ServiceStats) -> float:
        """Return by how much a server's load may exceed its expected value."""
        if stats.survival == 1.0:
            return 0.0
        return _compute_margin(
            self._estimate_remote_load(identity, stats.survival), stats
        )

    def compute_load(self, identity: str, stats: ServiceStats) -> tuple[float, float]:
        """Return what ``compute_weight`` and ``compute_margin`` do, in less time."""
        remote = self._estimate_remote_load(identity, stats.survival)
        margin = 0.0 if stats.survival == 1.0 else _compute_margin(remote, stats)
        return self._add_own_load(identity, remote, stats), margin

    def compute_loads(
        self, identities: list[str], stats: ServiceStats
    ) -> dict[str, tuple[float, float]]:
        """Return ``compute_load`` of several servers, by id, in less time."""
        survival = stats.survival
        is_exact = survival == 1.0
        count_remote = self._remote_loads.count_in_flight
        get_mean_remote = self._remote_loads.get_mean_in_flight
        loads = {}
        for identity in identities:
            remote, margin = count_remote(identity), 0.0
            if not is_exact:
                mean = get_mean_remote(identity)
                remote = survival * remote + (1 - survival) * mean
                margin = _compute_margin(remote, stats)
            loads[identity] = self._add_own_load(identity, remote, stats), margin
        return loads

    def _add_own_load(self, identity: str, remote: float, stats: ServiceStats) -> float:
        """Return the load with this host's requests, and the penalty for failures."""
        failure_rate = self._health.get_failure_rate(identity)
        excess = failure_rate - stats.tolerated_failure_rate
        if stats.is_uneven and excess < 0.0:
            # Half of the servers are below what is usual, which is no merit.
            excess = 0.0
        penalty = FAILURE_PENALTY * excess
        return self.in_flight.get(identity, 0) + remote + penalty

    def _estimate_remote_load(self, identity: str, survival: float) -> float:
        """Return the expected number of requests of the other hosts at a server."""
        counted = self._remote_loads.count_in_flight(identity)
        if survival == 1.0:
            return counted
        mean = self._remote_loads.get_mean_in_flight(identity)
        return survival * counted + (1 - survival) * mean


def _compute_margin(remote: float, stats: ServiceStats) -> float:
    """Return by how much a server's load may exceed its expected value.

    A server that was reported with less than the mean may have got as many requests as
    the others since.

    Args:
        remote: The expected requests of the other hosts at the server.
        stats: The statistics of its service.
    """
    mean = stats.mean_remote_load
    load = remote if remote > mean else mean
    variance = (1 - stats.survival**2) * load
    sigmas = UNEVEN_MARGIN_SIGMAS if stats.is_uneven else LIMIT_MARGIN_SIGMAS
    return sigmas * math.sqrt(variance)

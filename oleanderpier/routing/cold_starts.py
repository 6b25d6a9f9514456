"""Which servers are cold, and how many requests these tolerate.

The module addresses these load patterns:

- A server starts during traffic. It is slow until its caches and code are warm, and
  crashes if it gets its usual share of the requests at once.
- A failure domain is taken back after an evacuation: all its servers are cold, while
  their entries may still be those from before.
- A running server becomes cold again, and its entry says so.
"""

from collections.abc import Iterable
from typing import NamedTuple

from oleanderpier.routing.evacuations import Evacuations
from oleanderpier.routing.records import ServerEntry, ServiceEntry
from oleanderpier.utils import Timers

__all__ = ["ColdRate", "ColdServers"]

# Limit on the runs of servers that are remembered after their registration has ended,
# so that a server that registers again without a restart does not count as started.
MAX_ENDED_COUNT = 1024


class ColdRate(NamedTuple):
    """The requests that a cold server tolerates.

    Attributes:
        per_s: Requests per second, of all hosts together.
    """

    per_s: float


class _Run(NamedTuple):
    """What is known of one run of a server.

    Attributes:
        born_ms: Its start, as in ``ServerEntry``.
        started_s: When it registered during traffic; minus infinity if it did before.
        stated_until_s: Until when it is cold by its own entry.
    """

    born_ms: int
    started_s: float
    stated_until_s: float


class ColdServers:
    """The servers that are cold, by their entries and by what this host has seen.

    Args:
        evacuations: The evacuated failure domains.
        timers: The timer service.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> timers = ManualTimers()
        >>> cold = ColdServers(Evacuations(timers), timers)
        >>> cold.update_services((ServiceEntry("engine", 20.0, 11.0),))
        >>> server = ServerEntry("s1", "engine", "10.0.0.7:80", "duluth", False, 5)
        >>> cold.update_entry("s1", server._replace(cold_remaining_s=6.0))
        >>> timers.advance(2.0)
        >>> cold.get_remaining_s(server), cold.get_rate(server)
        (4.0, ColdRate(per_s=11.0))
    """

    def __init__(self, evacuations: Evacuations, timers: Timers) -> None:
        self._evacuations = evacuations
        self._timers = timers
        self._services: dict[str, ServiceEntry] = {}
        self._runs: dict[str, _Run] = {}
        self._ended: dict[str, _Run] = {}
        self._has_traffic = False

    def update_services(self, services: tuple[ServiceEntry, ...]) -> None:
        """Apply the services of a new configuration."""
        self._services = {
            service.name: service
            for service in services
            if service.cold_start_s > 0 and service.cold_per_s > 0
        }

    def begin_traffic(self) -> None:
        """Record that this host sends requests, so that servers now start cold.

        Servers that registered before count as cold only if their entries say so.
        """
        self._has_traffic = True

    def update_entry(self, identity: str, entry: ServerEntry | None) -> None:
        """Apply a server's new registration, or its end.

        Args:
            identity: The server's id.
            entry: The new registration; None if it ended or cannot be decoded.
        """
        run = self._runs.get(identity)
        if entry is None:
            self._end_run(identity, run)
            return
        run = run or self._ended.pop(identity, None)
        now_s = self._timers.now()
        started_s = now_s if self._has_traffic else float("-inf")
        # Registrations also lapse in an outage of the store, without a restart.
        if run is not None and run.born_ms == entry.born_ms:
            started_s = run.started_s
        stated_until_s = now_s + entry.cold_remaining_s
        self._runs[identity] = _Run(entry.born_ms, started_s, stated_until_s)

    def get_remaining_s(self, server: ServerEntry) -> float:
        """Return how long a server is still cold, 0 if it is not."""
        service = self._services.get(server.service)
        if service is None:
            return 0.0
        now_s = self._timers.now()
        untils_s = [now_s]
        run = self._runs.get(server.identity)
        if run is not None and run.born_ms == server.born_ms:
            untils_s += [run.stated_until_s, run.started_s + service.cold_start_s]
        ended_s = self._evacuations.get_ended_s(server.failure_domain)
        if ended_s is not None:
            untils_s.append(ended_s + service.cold_start_s)
        return max(untils_s) - now_s

    def get_rate(self, server: ServerEntry) -> ColdRate | None:
        """Return the requests that a server tolerates, None if it is not cold."""
        if not self.get_remaining_s(server):
            return None
        return ColdRate(self._services[server.service].cold_per_s)

    def count_cold(self, servers: Iterable[ServerEntry]) -> int:
        """Return how many of several servers are cold."""
        return sum(self.get_remaining_s(server) > 0 for server in servers)

    def _end_run(self, identity: str, run: _Run | None) -> None:
        """Remember a run whose registration has ended, since it may be renewed."""
        if run is None:
            return
        del self._runs[identity]
        self._ended[identity] = run
        if len(self._ended) > MAX_ENDED_COUNT:
            del self._ended[next(iter(self._ended))]

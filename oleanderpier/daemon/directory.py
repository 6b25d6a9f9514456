"""The directory: selects the entry hosts whose addresses callers receive."""

import random
from collections.abc import Callable

from oleanderpier.configuration import Documents, Host
from oleanderpier.membership import Members
from oleanderpier.utils import Timers

__all__ = ["Directory"]

MAX_ADDRESS_COUNT = 3
LIST_CACHE_S = 1.0
# Time that a started host needs to fetch documents and become ready.
MIN_UPTIME_S = 10.0


class Directory:
    """Selects hosts that are alive, published as live, and started up.

    The list of such hosts is computed at most once per ``LIST_CACHE_S``, for any
    number of callers.

    Args:
        host: Name of this host.
        documents: The documents in force.
        members: The membership view, with the hosts that are alive.
        timers: The timer service.
        rng: The source of randomness.
        is_ready: Returns whether this host itself serves callers.
    """

    def __init__(
        self,
        host: str,
        documents: Documents,
        members: Members,
        timers: Timers,
        rng: random.Random,
        is_ready: Callable[[], bool],
    ) -> None:
        self._host = host
        self._documents = documents
        self._members = members
        self._timers = timers
        self._rng = rng
        self._is_ready = is_ready
        self._cached_hosts: list[Host] = []
        self._cached_until_s = 0.0

    def choose_hosts(self) -> list[Host]:
        """Return up to ``MAX_ADDRESS_COUNT`` eligible hosts, chosen at random."""
        now_s = self._timers.now()
        if now_s >= self._cached_until_s:
            self._cached_hosts = self._list_eligible_hosts()
            self._cached_until_s = now_s + LIST_CACHE_S
        return self._rng.sample(
            self._cached_hosts, min(MAX_ADDRESS_COUNT, len(self._cached_hosts))
        )

    def invalidate(self) -> None:
        """Discard the cached list, so that the next call computes it again."""
        self._cached_until_s = 0.0

    def _list_eligible_hosts(self) -> list[Host]:
        """Return the hosts that callers may use.

        Hosts that have just started are included only if there are no others.
        """
        published = self._documents.get("hosts")
        if published is None:
            return []
        alive = set(self._members.list_alive())
        hosts = [
            host
            for host in published.body["hosts"]
            if host["state"] == "live" and host["name"] in alive
        ]
        return [host for host in hosts if self._has_started_up(host["name"])] or hosts

    def _has_started_up(self, host: str) -> bool:
        """Return whether a host is ready, or by its uptime is expected to be."""
        if host == self._host:
            return self._is_ready()
        started_s = self._members.find_start_time(host) or 0
        return self._timers.wall() - started_s > MIN_UPTIME_S

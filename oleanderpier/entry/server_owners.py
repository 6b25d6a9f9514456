"""Which host owns a backend server: it counts the requests of all hosts to it."""

from collections.abc import Callable

from oleanderpier.utils import Timers, rank_candidates

__all__ = ["ServerOwners"]

# How long the list of ready hosts is kept.
HOSTS_LIFETIME_S = 0.05
# How long the largest number of ready hosts is remembered. It is longer than hosts stay
# cut off from each other as a rule.
LARGEST_KEPT_S = 600.0


class ServerOwners:
    """The owner of each server, by rendezvous hashing among the ready hosts.

    Args:
        host: The name of this host.
        list_hosts: Returns the ready hosts that may be owners, with this one if it is
            ready.
        timers: The timer service.

    Attributes:
        hosts: The ready hosts, in order, as of the last call of ``find``.
    """

    def __init__(
        self, host: str, list_hosts: Callable[[], list[str]], timers: Timers
    ) -> None:
        self.hosts: list[str] = []
        self._host = host
        self._list_hosts = list_hosts
        self._timers = timers
        self._hosts_until_s = 0.0
        self._owners: dict[str, str] = {}
        self._largest = 0
        self._largest_until_s = 0.0

    def find(self, identity: str) -> str:
        """Return the owner of a server; this host if none is ready."""
        now_s = self._timers.now()
        if now_s >= self._hosts_until_s:
            self._update_hosts(now_s)
        if identity not in self._owners:
            ranked = rank_candidates(identity, self.hosts)
            self._owners[identity] = ranked[0] if ranked else self._host
        return self._owners[identity]

    def count_hosts(self) -> int:
        """Return the largest number of hosts that were ready in the last minutes."""
        return max(1, self._largest)

    def has_majority(self) -> bool:
        """Return whether most of the hosts that were ready in the last minutes are.

        Of the parts of a fleet that has lost its connections, one at most has.
        """
        return 2 * len(self.hosts) > self._largest

    def clear(self) -> None:
        """Forget the owners of servers that nobody may ask for any more."""
        self._owners.clear()

    def _update_hosts(self, now_s: float) -> None:
        hosts = sorted(self._list_hosts())
        if hosts != self.hosts:
            self.hosts = hosts
            self._owners.clear()
        if len(hosts) >= self._largest or now_s >= self._largest_until_s:
            self._largest = len(hosts)
            self._largest_until_s = now_s + LARGEST_KEPT_S
        self._hosts_until_s = now_s + HOSTS_LIFETIME_S

"""Which hosts watch the platform's store, and which get its changes from them."""

from oleanderpier.fleet import FleetView
from oleanderpier.replication import Replica
from oleanderpier.utils import rank_candidates

__all__ = ["WatchDuty"]

# The number of hosts per failure domain that watch the platform and push its
# changes to the others.
WATCHER_COUNT = 2
# A host that does not watch starts to watch when a replica is older than this. A
# watcher gets a response from the platform every second, and its report of that
# may take two seconds more.
MAX_UNWATCHED_AGE_S = 3.5


class WatchDuty:
    """Divides the watch of the platform between the hosts of a failure domain.

    Args:
        host: The name of this host.
        view: The reports of the other hosts.
        replicas: The replicas of this host, by key space.
    """

    def __init__(
        self, host: str, view: FleetView, replicas: dict[str, Replica]
    ) -> None:
        self._host = host
        self._view = view
        self._replicas = replicas
        self._failing_spaces: set[str] = set()

    @property
    def platform_reachable(self) -> bool:
        """Whether the platform responded to this host's last calls."""
        return not self._failing_spaces

    def should_watch(self) -> bool:
        """Return whether this host is a watcher or its replicas are too old."""
        replicas = self._replicas.values()
        if any(replica.as_of == 0 for replica in replicas):
            return True
        if any(replica.get_age_s() > MAX_UNWATCHED_AGE_S for replica in replicas):
            return True
        return self._host in self._list_watchers()

    def list_followers(self) -> list[str]:
        """Return the hosts of this failure domain that do not watch."""
        watchers = set(self._list_watchers())
        return [
            host for host in self._view.list_present_in_domain() if host not in watchers
        ]

    def handle_reachability(self, space: str, reachable: bool) -> None:
        """Handle the failure or recovery of calls to the platform.

        Args:
            space: The key space of the call.
            reachable: Whether the call succeeded.
        """
        was_reachable = self.platform_reachable
        if reachable:
            self._failing_spaces.discard(space)
        else:
            self._failing_spaces.add(space)
        if was_reachable != self.platform_reachable:
            self._view.report_now()

    def _list_watchers(self) -> list[str]:
        """Return the hosts of this failure domain that watch the platform."""
        candidates = self._view.list_platform_reachable_in_domain()
        if self.platform_reachable:
            candidates.append(self._host)
        return rank_candidates("watch", candidates)[:WATCHER_COUNT]

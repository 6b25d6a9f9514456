"""Tracks which servers probably have which prompt prefixes cached."""

from collections.abc import Iterable

from oleanderpier.utils import Timers

__all__ = ["CacheEntry", "CacheMap"]

# A prefix counts as cached for this long after its last use. Engines evict the
# least recently used prefixes when their memory is full.
RETENTION_S = 30.0
# Minimum interval between two announcements of the same entry to the other hosts;
# short against RETENTION_S, so that they renew the entry before it expires.
ANNOUNCE_INTERVAL_S = 5.0
SWEEP_INTERVAL_S = 5.0
MAX_KEYS = 65_536

# The key of a prompt prefix and the id of a server that has it cached.
CacheEntry = tuple[str, str]


class CacheMap:
    """Maps the key of a prompt prefix to the servers that have it cached.

    Entries come from the requests that this host sends and from the reports of
    the other hosts; engines are not queried.

    Args:
        timers: The timer service.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> caches = CacheMap(ManualTimers())
        >>> caches.record_send("k1", "s1")
        >>> caches.list_holders("k1")
        ['s1']
        >>> caches.pop_updates()
        [('k1', 's1')]
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._last_used_s: dict[str, dict[str, float]] = {}
        self._updates: list[CacheEntry] = []
        self._announced_s: dict[CacheEntry, float] = {}
        timers.subscribe(SWEEP_INTERVAL_S, self._remove_expired)

    def record_send(self, key: str, identity: str) -> None:
        """Record that this host sent a request with a prefix to a server.

        The entry is queued for the other hosts, unless it was announced less
        than ``ANNOUNCE_INTERVAL_S`` ago.
        """
        now_s = self._timers.now()
        announced_s = self._announced_s.get((key, identity), -ANNOUNCE_INTERVAL_S)
        if now_s - announced_s >= ANNOUNCE_INTERVAL_S:
            self._announced_s[key, identity] = now_s
            self._updates.append((key, identity))
        self._record_use(key, identity)

    def apply_updates(self, entries: Iterable[CacheEntry]) -> None:
        """Apply the entries that another host announced."""
        for key, identity in entries:
            self._record_use(key, identity)

    def pop_updates(self) -> list[CacheEntry]:
        """Return the entries to announce since the last call, and clear them."""
        updates, self._updates = self._updates, []
        return updates

    def list_entries(self) -> list[CacheEntry]:
        """Return all entries that have not expired."""
        return [
            (key, identity)
            for key in self._last_used_s
            for identity in self.list_holders(key)
        ]

    def list_holders(self, key: str) -> list[str]:
        """Return the ids of the servers that have a prefix cached."""
        oldest_s = self._timers.now() - RETENTION_S
        used_s = self._last_used_s.get(key, {})
        return [identity for identity, at_s in used_s.items() if at_s >= oldest_s]

    def holds(self, key: str, identity: str) -> bool:
        """Return whether a server has a prefix cached."""
        used_s = self._last_used_s.get(key, {}).get(identity)
        return used_s is not None and used_s >= self._timers.now() - RETENTION_S

    def get_entry_age_s(self, key: str, identity: str) -> float | None:
        """Return the seconds since a server was last sent a prefix.

        None if no entry is known.
        """
        used_s = self._last_used_s.get(key, {}).get(identity)
        return None if used_s is None else self._timers.now() - used_s

    def remove_server(self, identity: str) -> None:
        """Remove the entries of a server that is gone or has restarted."""
        for used_s in self._last_used_s.values():
            used_s.pop(identity, None)
        self._announced_s = {
            entry: at_s
            for entry, at_s in self._announced_s.items()
            if entry[1] != identity
        }

    def _record_use(self, key: str, identity: str) -> None:
        """Renew an entry; drop the key added first if the map is full."""
        if key not in self._last_used_s and len(self._last_used_s) >= MAX_KEYS:
            self._last_used_s.pop(next(iter(self._last_used_s)))
        self._last_used_s.setdefault(key, {})[identity] = self._timers.now()

    def _remove_expired(self) -> None:
        """Remove expired entries and the announcement times that have passed."""
        oldest_s = self._timers.now() - RETENTION_S
        for key, used_s in list(self._last_used_s.items()):
            recent = {name: at_s for name, at_s in used_s.items() if at_s >= oldest_s}
            if recent:
                self._last_used_s[key] = recent
            else:
                del self._last_used_s[key]
        oldest_s = self._timers.now() - ANNOUNCE_INTERVAL_S
        self._announced_s = {
            entry: at_s for entry, at_s in self._announced_s.items() if at_s > oldest_s
        }

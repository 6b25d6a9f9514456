"""Which servers have read a part of a prompt lately, over all hosts."""

from collections.abc import Iterable

from oleanderpier.utils import Timers

__all__ = ["CacheEntry", "CacheMap"]

# A part is taken for cached this long after its last use; engines let go of
# the least recently used parts when their memory is full.
KEPT_S = 30.0
# Other hosts are told of a placement again after this long, well before they
# forget it.
REPEAT_S = 5.0
SWEEP_S = 5.0
MOST_KEYS = 65_536

# A key and the id of the server that has read it.
CacheEntry = tuple[str, str]


class CacheMap:
    """The servers that hold each key, from this host's sends and others' word.

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
        self._used_s: dict[str, dict[str, float]] = {}
        self._news: list[CacheEntry] = []
        self._told_s: dict[CacheEntry, float] = {}
        timers.subscribe(SWEEP_S, self._sweep)

    def record_send(self, key: str, identity: str) -> None:
        """Take that this host sent a request with a key to a server."""
        now_s = self._timers.now()
        told_s = self._told_s.get((key, identity), -REPEAT_S)
        if now_s - told_s >= REPEAT_S:
            self._told_s[key, identity] = now_s
            self._news.append((key, identity))
        self._note(key, identity)

    def apply_updates(self, placements: Iterable[CacheEntry]) -> None:
        """Take what another host sent where."""
        for key, identity in placements:
            self._note(key, identity)

    def pop_updates(self) -> list[CacheEntry]:
        """Return this host's placements since the last call."""
        news, self._news = self._news, []
        return news

    def list_entries(self) -> list[CacheEntry]:
        """Return every key with each server that is taken to hold it."""
        return [
            (key, identity)
            for key in self._used_s
            for identity in self.list_holders(key)
        ]

    def list_holders(self, key: str) -> list[str]:
        """Return the servers that are taken to have a key cached."""
        oldest_s = self._timers.now() - KEPT_S
        used_s = self._used_s.get(key, {})
        return [identity for identity, at_s in used_s.items() if at_s >= oldest_s]

    def get_entry_age_s(self, key: str, identity: str) -> float | None:
        """Return how long ago a server was last sent a key, None for never."""
        used_s = self._used_s.get(key, {}).get(identity)
        return None if used_s is None else self._timers.now() - used_s

    def remove_server(self, identity: str) -> None:
        """Forget what a server held that is gone or started again."""
        for used_s in self._used_s.values():
            used_s.pop(identity, None)
        self._told_s = {
            placement: at_s
            for placement, at_s in self._told_s.items()
            if placement[1] != identity
        }

    def _note(self, key: str, identity: str) -> None:
        if key not in self._used_s and len(self._used_s) >= MOST_KEYS:
            self._used_s.pop(next(iter(self._used_s)))
        self._used_s.setdefault(key, {})[identity] = self._timers.now()

    def _sweep(self) -> None:
        oldest_s = self._timers.now() - KEPT_S
        for key, used_s in list(self._used_s.items()):
            kept = {name: at_s for name, at_s in used_s.items() if at_s >= oldest_s}
            if kept:
                self._used_s[key] = kept
            else:
                del self._used_s[key]
        oldest_s = self._timers.now() - REPEAT_S
        self._told_s = {
            placement: at_s
            for placement, at_s in self._told_s.items()
            if at_s > oldest_s
        }

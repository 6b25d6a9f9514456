"""The backend servers that may get new requests."""

from collections import defaultdict
from collections.abc import Callable

from eliot import log_message

from oleanderpier.routing.records import ServerEntry
from oleanderpier.utils import Timers

__all__ = ["Roster"]

# The platform's guarantee for entries that expired during an outage: servers that
# live have registered again within two seconds; half a second for propagation.
RETURN_S = 2.5


class Roster:
    """Servers by service, with those that lapsed in an outage kept for a while.

    Args:
        timers: The timer service.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._entries: dict[str, ServerEntry] = {}
        self._usable: dict[str, list[ServerEntry]] = defaultdict(list)
        self._lapsed: dict[str, float] = {}
        self._outage_ended_s = -RETURN_S
        self._callbacks: list[Callable[[str], None]] = []
        timers.subscribe(0.25, self._drop_lapsed)

    def __len__(self) -> int:
        """Return how many servers are known, leaving ones included."""
        return len(self._entries)

    def subscribe_removed(self, callback: Callable[[str], None]) -> None:
        """Call back with the id of each server that is gone or started again."""
        self._callbacks.append(callback)

    def record_outage_end(self) -> None:
        """Take note that the platform answers again after an outage."""
        self._outage_ended_s = self._timers.now()

    def update_entry(self, identity: str, entry: ServerEntry | None) -> None:
        """Take a server's new entry, or that it has none any more.

        Args:
            identity: The server's id.
            entry: What it registered; None where the entry ended or can't be
                read.
        """
        known = self._entries.get(identity)
        if entry is not None:
            self._lapsed.pop(identity, None)
            self._entries[identity] = entry
            if known is not None and entry.born_ms != known.born_ms:
                # It restarted under its old id, with an empty cache.
                self._tell_gone(identity)
            if entry != known:
                log_message("roster:server", **entry._asdict())
                self._rebuild()
            return
        if known is None or identity in self._lapsed:
            return
        self._lapsed[identity] = self._timers.now()
        self._drop_lapsed()

    def get(self, identity: str) -> ServerEntry | None:
        """Return a server's entry, also of one that is leaving."""
        return self._entries.get(identity)

    def list_usable(self, service: str) -> list[ServerEntry]:
        """Return the servers of a service that may get new requests."""
        return self._usable.get(service, [])

    def _drop_lapsed(self) -> None:
        """Drop the servers whose entry ended, unless an outage may be why."""
        if not self._lapsed:
            return
        if self._timers.now() < self._outage_ended_s + RETURN_S:
            return
        for identity in list(self._lapsed):
            del self._lapsed[identity]
            del self._entries[identity]
            log_message("roster:server_gone", identity=identity)
            self._tell_gone(identity)
        self._rebuild()

    def _tell_gone(self, identity: str) -> None:
        for callback in self._callbacks:
            callback(identity)

    def _rebuild(self) -> None:
        self._usable = defaultdict(list)
        for entry in self._entries.values():
            if not entry.leaving:
                self._usable[entry.service].append(entry)

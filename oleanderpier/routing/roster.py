"""The registered backend servers, and which of them may get new requests."""

from collections import defaultdict
from collections.abc import Callable

from eliot import log_message

from oleanderpier.routing.records import ServerEntry
from oleanderpier.utils import Timers

__all__ = ["Roster"]

# How long after an outage of the platform expired registrations are kept. The
# platform guarantees that running servers have registered again within 2 s; 0.5 s
# is for propagation.
REREGISTRATION_WAIT_S = 2.5


class Roster:
    """The registered backend servers by service.

    A server whose registration ended is removed at once, except after an outage of
    the platform: registrations may have expired only because servers could not
    renew them, so those servers are kept until they have had time to register again.

    Args:
        timers: The timer service.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._entries: dict[str, ServerEntry] = {}
        self._usable: dict[str, list[ServerEntry]] = defaultdict(list)
        self._expired_s: dict[str, float] = {}
        self._outage_ended_s = -REREGISTRATION_WAIT_S
        self._removal_callbacks: list[Callable[[str], None]] = []
        timers.subscribe(0.25, self._remove_expired)

    def __len__(self) -> int:
        """Return the number of known servers, including those that are leaving."""
        return len(self._entries)

    def subscribe_removed(self, callback: Callable[[str], None]) -> None:
        """Call back with the id of each server that is removed or has restarted."""
        self._removal_callbacks.append(callback)

    def record_outage_end(self) -> None:
        """Record that the platform is reachable again after an outage."""
        self._outage_ended_s = self._timers.now()

    def update_entry(self, identity: str, entry: ServerEntry | None) -> None:
        """Apply a server's new registration, or its end.

        Args:
            identity: The server's id.
            entry: The new registration; None if it ended or cannot be decoded.
        """
        previous = self._entries.get(identity)
        if entry is not None:
            self._expired_s.pop(identity, None)
            self._entries[identity] = entry
            if previous is not None and entry.born_ms != previous.born_ms:
                # The server restarted under its old id, with an empty cache.
                self._notify_removed(identity)
            if entry != previous:
                log_message("roster:server", **entry._asdict())
                self._rebuild_usable()
            return
        if previous is None or identity in self._expired_s:
            return
        self._expired_s[identity] = self._timers.now()
        self._remove_expired()

    def get_entry(self, identity: str) -> ServerEntry | None:
        """Return a server's registration, even if it is leaving; None if unknown."""
        return self._entries.get(identity)

    def list_usable(self, service: str) -> list[ServerEntry]:
        """Return the servers of a service that may get new requests."""
        return self._usable.get(service, [])

    def _remove_expired(self) -> None:
        """Remove servers whose registration ended, unless an outage may be why."""
        if not self._expired_s:
            return
        if self._timers.now() < self._outage_ended_s + REREGISTRATION_WAIT_S:
            return
        for identity in list(self._expired_s):
            del self._expired_s[identity]
            del self._entries[identity]
            log_message("roster:server_gone", identity=identity)
            self._notify_removed(identity)
        self._rebuild_usable()

    def _notify_removed(self, identity: str) -> None:
        for callback in self._removal_callbacks:
            callback(identity)

    def _rebuild_usable(self) -> None:
        self._usable = defaultdict(list)
        for entry in self._entries.values():
            if not entry.leaving:
                self._usable[entry.service].append(entry)

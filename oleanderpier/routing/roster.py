"""The registered backend servers, and which of them may get new requests."""

from collections import defaultdict
from collections.abc import Callable
from enum import Enum

from eliot import log_message

from oleanderpier.routing.records import ServerEntry
from oleanderpier.utils import Timers

__all__ = ["RegistrationChange", "Roster"]

# How long after an outage of the platform expired registrations are kept. The
# platform guarantees that running servers have registered again within 2 s; 0.5 s
# is for propagation.
REREGISTRATION_WAIT_S = 2.5


class RegistrationChange(Enum):
    """The last change of a server's registration.

    Attributes:
        JOINED: It registered for the first time.
        RETURNED: It registered again after its registration ended, or restarted.
        LEAVING: It announced that it leaves.
        ENDED: Its registration ended; an outage of the platform may be why.
    """

    JOINED = "joined"
    RETURNED = "returned"
    LEAVING = "leaving"
    ENDED = "ended"


class Roster:
    """The registered backend servers by service.

    A server whose registration ended is removed at once, except after an outage of
    the platform: registrations may have expired only because servers could not
    renew them, so those servers are kept until they have had time to register again.
    A server that had announced that it leaves is always removed at once.

    Args:
        timers: The timer service.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._entries: dict[str, ServerEntry] = {}
        self._registered: dict[str, list[ServerEntry]] = defaultdict(list)
        self._usable: dict[str, list[ServerEntry]] = defaultdict(list)
        # Until when servers whose registration ended are kept.
        self._kept_until_s: dict[str, float] = {}
        self._last_changes: dict[str, tuple[RegistrationChange, float]] = {}
        self._outage_ended_s = -REREGISTRATION_WAIT_S
        self._removal_callbacks: list[Callable[[str], None]] = []
        timers.subscribe(0.25, self._remove_expired)

    def __len__(self) -> int:
        """Return the number of known servers, including those that are leaving."""
        return len(self._entries)

    def subscribe_removed(self, callback: Callable[[str], None]) -> None:
        """Call back with the id of each server that is removed or has restarted."""
        self._removal_callbacks.append(callback)

    def record_outage_end(self, ended_s: float) -> None:
        """Record when an outage of the platform ended.

        Args:
            ended_s: The time, in seconds on the timer service's clock.
        """
        self._outage_ended_s = max(self._outage_ended_s, ended_s)

    def update_entry(self, identity: str, entry: ServerEntry | None) -> None:
        """Apply a server's new registration, or its end.

        Args:
            identity: The server's id.
            entry: The new registration; None if it ended or cannot be decoded.
        """
        previous = self._entries.get(identity)
        if entry is not None:
            self._record_change(identity, previous, entry)
            self._kept_until_s.pop(identity, None)
            self._entries[identity] = entry
            if previous is not None and entry.born_ms != previous.born_ms:
                # The server restarted under its old id, with an empty cache.
                self._notify_removed(identity)
            if entry != previous:
                log_message("roster:server", **entry._asdict())
                self._rebuild_lists()
            return
        if previous is None or identity in self._kept_until_s:
            return
        kept_until_s = self._outage_ended_s + REREGISTRATION_WAIT_S
        if previous.leaving or self._timers.now() >= kept_until_s:
            self._remove([identity])
            return
        # An outage that ends later is not why the registration ended.
        self._kept_until_s[identity] = kept_until_s
        self._set_last_change(identity, RegistrationChange.ENDED)

    def get_entry(self, identity: str) -> ServerEntry | None:
        """Return a server's registration, even if it is leaving; None if unknown."""
        return self._entries.get(identity)

    def list_entries(self) -> list[ServerEntry]:
        """Return the registrations of all servers, including those that are leaving."""
        return list(self._entries.values())

    def get_last_change(self, identity: str) -> tuple[RegistrationChange, float]:
        """Return the last change of a known server's registration, and its time.

        The time is when this host learnt of it, in seconds on the monotonic clock.
        """
        return self._last_changes[identity]

    def list_registered(self, service: str) -> list[ServerEntry]:
        """Return the servers of a service, including those that are leaving."""
        return self._registered.get(service, [])

    def list_usable(self, service: str) -> list[ServerEntry]:
        """Return the servers of a service that may get new requests."""
        return self._usable.get(service, [])

    def _remove_expired(self) -> None:
        """Remove the servers that did not register again in time."""
        now_s = self._timers.now()
        expired = [
            identity
            for identity, kept_until_s in self._kept_until_s.items()
            if now_s >= kept_until_s
        ]
        if expired:
            self._remove(expired)

    def _remove(self, identities: list[str]) -> None:
        for identity in identities:
            self._kept_until_s.pop(identity, None)
            del self._entries[identity]
            del self._last_changes[identity]
            log_message("roster:server_gone", identity=identity)
            self._notify_removed(identity)
        self._rebuild_lists()

    def _record_change(
        self, identity: str, previous: ServerEntry | None, entry: ServerEntry
    ) -> None:
        """Record how a new registration differs from the previous one."""
        if entry.leaving and not (previous and previous.leaving):
            self._set_last_change(identity, RegistrationChange.LEAVING)
        elif previous is None:
            self._set_last_change(identity, RegistrationChange.JOINED)
        elif identity in self._kept_until_s or entry.born_ms != previous.born_ms:
            self._set_last_change(identity, RegistrationChange.RETURNED)

    def _set_last_change(self, identity: str, change: RegistrationChange) -> None:
        self._last_changes[identity] = (change, self._timers.now())

    def _notify_removed(self, identity: str) -> None:
        for callback in self._removal_callbacks:
            callback(identity)

    def _rebuild_lists(self) -> None:
        self._registered = defaultdict(list)
        self._usable = defaultdict(list)
        for entry in self._entries.values():
            self._registered[entry.service].append(entry)
            if not entry.leaving:
                self._usable[entry.service].append(entry)

"""The table of what is known of each backend server."""

from collections import defaultdict
from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from oleanderpier.membership.server_messages import ServerRecord, ServerState
from oleanderpier.membership.summaries import Summary, find_bucket
from oleanderpier.utils import Timers

if TYPE_CHECKING:
    from oleanderpier.configuration.documents import BackendServer

__all__ = ["ServerTable", "UsableServer"]

JOINED_BEFORE_START_S = float("-inf")
# How long an outage is held against a backend server.
FLAP_DECAY_S = 300.0


class UsableServer(NamedTuple):
    """A backend server that takes new work.

    Attributes:
        server: Its entry in the document.
        state: Its state, ``LIVE`` or ``SUSPECT``.
        joined_s: When it came or came back, on the monotonic clock; minus
            infinity if it was there before this host.
    """

    server: "BackendServer"
    state: ServerState
    joined_s: float


class ServerTable:
    """The entries of the document in force, with one fact at most for each.

    Args:
        timers: The timer service.

    Attributes:
        entries: The entries by name, None before the first document.
        summary: By which two hosts find where their facts differ.
    """

    def __init__(self, timers: Timers) -> None:
        self.entries: dict[str, BackendServer] | None = None
        self.summary = Summary()
        self._timers = timers
        self._records: dict[str, ServerRecord] = {}
        self._changed_s: dict[str, float] = {}
        self._joined_s: dict[str, float] = {}
        self._usable: dict[str, list[UsableServer]] | None = None

    def __contains__(self, server: str) -> bool:
        return self.entries is not None and server in self.entries

    def apply_entries(self, entries: "dict[str, BackendServer]") -> list[str]:
        """Replace the entries and return the names of those that went."""
        known, self.entries = self.entries, entries
        self._usable = None
        gone = [name for name in known or {} if name not in entries]
        for name in gone:
            self._remove(name)
        joined_s = JOINED_BEFORE_START_S if known is None else self._timers.now()
        for name in entries:
            if known is None or name not in known:
                self._joined_s[name] = joined_s
        return gone

    def get(self, server: str) -> ServerRecord | None:
        """Return the fact of a backend server, or None."""
        return self._records.get(server)

    def put(self, fact: ServerRecord) -> None:
        """Replace the fact of a backend server."""
        known = self._records.get(fact.server)
        self._records[fact.server] = fact
        self._changed_s[fact.server] = self._timers.now()
        self._usable = None
        self.summary.replace_entry(
            fact.server, known and known.precedence, fact.precedence
        )

    def find_state(self, server: str) -> ServerState | None:
        """Return a backend server's state, or None if it is not listed.

        Leaving holds as soon as the document or any host says so.
        """
        entry = (self.entries or {}).get(server)
        if entry is None:
            return None
        if entry["state"] == "leaving":
            return ServerState.LEAVING
        fact = self._records.get(server)
        return fact.state if fact else ServerState.LIVE

    def get_age_s(self, server: str) -> float:
        """Return for how long a fact has stood, in seconds."""
        return self._timers.now() - self._changed_s[server]

    def count_flaps(self, server: str) -> int:
        """Return how often it became suspect lately, old times forgotten."""
        fact = self._records.get(server)
        if fact is None:
            return 0
        return max(0, fact.flaps - int(self.get_age_s(server) / FLAP_DECAY_S))

    def record_joined(self, server: str) -> None:
        """Take that a backend server has just come back."""
        self._joined_s[server] = self._timers.now()
        self._usable = None

    def list_records(self, buckets: Iterable[int]) -> list[ServerRecord]:
        """Return the facts of some buckets of the summary."""
        wanted = set(buckets)
        return [f for f in self._records.values() if find_bucket(f.server) in wanted]

    def list_providers(self, provides: str) -> list[UsableServer]:
        """Return the backend servers for a kind of work, suspect ones too."""
        if self._usable is None:
            self._usable = self._index_usable()
        return self._usable.get(provides, [])

    def _index_usable(self) -> dict[str, list[UsableServer]]:
        index = defaultdict(list)
        for name, entry in (self.entries or {}).items():
            state = self.find_state(name)
            if state in (ServerState.LIVE, ServerState.SUSPECT):
                usable = UsableServer(entry, state, self._joined_s[name])
                for provided in entry["provides"]:
                    index[provided].append(usable)
        return dict(index)

    def _remove(self, server: str) -> None:
        fact = self._records.pop(server, None)
        if fact is not None:
            self.summary.replace_entry(server, fact.precedence, None)
        self._changed_s.pop(server, None)
        self._joined_s.pop(server, None)

"""The table of backend servers: their entries and their records."""

from collections import defaultdict
from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from oleanderpier.membership.server_messages import ServerRecord, ServerState
from oleanderpier.membership.summaries import Summary, find_bucket
from oleanderpier.utils import Timers

if TYPE_CHECKING:
    from oleanderpier.configuration.documents import BackendServer

__all__ = ["ServerTable", "UsableServer"]

# Join time of servers that were listed before this host started.
JOINED_BEFORE_START_S = float("-inf")
# Time after which one recent suspicion of a server is no longer counted.
FLAP_DECAY_S = 300.0


class UsableServer(NamedTuple):
    """A backend server that takes new work.

    Attributes:
        server: The server's entry in the document.
        state: The server's state, ``LIVE`` or ``SUSPECT``.
        joined_s: When the server was added or recovered, on the monotonic
            clock; minus infinity if it was listed when this host started.
    """

    server: "BackendServer"
    state: ServerState
    joined_s: float


class ServerTable:
    """The entries of the document in force, each with at most one record.

    Args:
        timers: The timer service.

    Attributes:
        entries: Entries of the document by name, None before the first one.
        summary: Hashes by which two hosts find where their records differ.
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
        """Replace the entries and return the names of those that were removed."""
        known, self.entries = self.entries, entries
        self._usable = None
        removed = [name for name in known or {} if name not in entries]
        for name in removed:
            self._remove(name)
        joined_s = JOINED_BEFORE_START_S if known is None else self._timers.now()
        for name in entries:
            if known is None or name not in known:
                self._joined_s[name] = joined_s
        return removed

    def get(self, server: str) -> ServerRecord | None:
        """Return the record of a backend server, or None if it has none."""
        return self._records.get(server)

    def put(self, record: ServerRecord) -> None:
        """Insert a backend server's record or replace it."""
        known = self._records.get(record.server)
        self._records[record.server] = record
        self._changed_s[record.server] = self._timers.now()
        self._usable = None
        self.summary.replace_entry(
            record.server, known and known.precedence, record.precedence
        )

    def find_state(self, server: str) -> ServerState | None:
        """Return a backend server's state, or None if it is not listed.

        A server is leaving if the document or its record says so.
        """
        entry = (self.entries or {}).get(server)
        if entry is None:
            return None
        if entry["state"] == "leaving":
            return ServerState.LEAVING
        record = self._records.get(server)
        return record.state if record else ServerState.LIVE

    def get_age_s(self, server: str) -> float:
        """Return the age in seconds of a backend server's record."""
        return self._timers.now() - self._changed_s[server]

    def count_flaps(self, server: str) -> int:
        """Return how often a server has recently become suspect.

        The count falls by one in each ``FLAP_DECAY_S`` without a change.
        """
        record = self._records.get(server)
        if record is None:
            return 0
        return max(0, record.flaps - int(self.get_age_s(server) / FLAP_DECAY_S))

    def record_joined(self, server: str) -> None:
        """Record that a backend server has just recovered."""
        self._joined_s[server] = self._timers.now()
        self._usable = None

    def list_records(self, buckets: Iterable[int]) -> list[ServerRecord]:
        """Return the records in some buckets of the summary."""
        wanted = set(buckets)
        return [
            record
            for record in self._records.values()
            if find_bucket(record.server) in wanted
        ]

    def list_providers(self, provides: str) -> list[UsableServer]:
        """Return the live and suspect servers that provide a model or operation."""
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
        record = self._records.pop(server, None)
        if record is not None:
            self.summary.replace_entry(server, record.precedence, None)
        self._changed_s.pop(server, None)
        self._joined_s.pop(server, None)

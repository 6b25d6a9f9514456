"""What backend servers have said of whether they want requests.

A server can say that it leaves, for how long it wants no requests, or how many a second
it takes from all hosts together. What it says holds for the run of the server that said
it, whatever the platform's registrations show: they may be older.

The module answers these load patterns:

- A release: servers say that they leave before their registrations do, and a part of
  the hosts cannot read these.
- Overload: servers ask for time, several at once or one again and again, or name a
  limit that all hosts share.
- A server crashes and another one starts at its address, while the registration of the
  first one has not expired.

All times are arguments, in seconds on the monotonic clock.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from oleanderpier.routing.prefills import Prefills
from oleanderpier.routing.records import ServerEntry
from oleanderpier.routing.server_loads import ServerLoads

__all__ = ["LeavingStatement", "LimitStatement", "ServerStatements", "WaitStatement"]

# How long it is remembered that a server leaves. It is longer than a server keeps
# running after it has said so.
LEAVING_KEPT_S = 600.0
# The same for a limit. Each response of a server renews it.
LIMIT_KEPT_S = 600.0
# How long it is remembered that a limit has ended: longer than an older statement is on
# its way from another host.
ENDED_LIMIT_KEPT_S = 60.0


class LeavingStatement(NamedTuple):
    """A server has said that it leaves.

    Attributes:
        born_ms: The start of the server's run, as in ``ServerEntry``.
        heard_s: When this host heard of it.
        source: The host that heard it from the server; empty for this host.
    """

    born_ms: int
    heard_s: float
    source: str


class WaitStatement(NamedTuple):
    """A server wants no requests until a time, or its limit is used up until then.

    Attributes:
        born_ms: The start of the server's run, as in ``ServerEntry``.
        until_s: The time.
    """

    born_ms: int
    until_s: float


class LimitStatement(NamedTuple):
    """A server takes a limited number of requests from all hosts together.

    Attributes:
        born_ms: The start of the server's run, as in ``ServerEntry``.
        per_s: The requests per second that it takes; infinite if it no longer names a
            limit.
        heard_s: When the server said so.
        source: The host that heard it from the server; empty for this host.
    """

    born_ms: int
    per_s: float
    heard_s: float
    source: str


class ServerStatements:
    """The statements of all servers that are known to this host.

    Attributes:
        loads: What the servers have stated about their load.
        prefills: The long prompts that they are reading, by what hosts have sent.

    Examples:
        >>> server = ServerEntry("s1", "engine", "10.0.0.7:80", "duluth", False, 5)
        >>> statements = ServerStatements()
        >>> statements.record_wait(server, until_s=12.0)
        True
        >>> statements.is_willing(server, 11.0)
        False
        >>> statements.is_willing(server._replace(born_ms=6), 11.0)
        True
    """

    def __init__(self) -> None:
        self.loads = ServerLoads()
        self.prefills = Prefills()
        self._leaving: dict[str, LeavingStatement] = {}
        self._waits: dict[str, WaitStatement] = {}
        self._limits: dict[str, LimitStatement] = {}
        # How many requests each server runs at a time.
        self._slots: dict[str, int] = {}

    def record_leaving(
        self, identity: str, born_ms: int, now_s: float, source: str = ""
    ) -> bool:
        """Record that a server leaves, and return whether that was new.

        Args:
            identity: The server's id.
            born_ms: The start of the run that said so.
            now_s: The time.
            source: The host that heard it from the server; empty for this host.
        """
        known = self._leaving.get(identity)
        if known is not None and known.born_ms >= born_ms:
            return False
        self._leaving[identity] = LeavingStatement(born_ms, now_s, source)
        return True

    def record_wait(self, server: ServerEntry, until_s: float) -> bool:
        """Record until when a server wants no requests; return whether that is later.

        A shorter time does not end a longer one.
        """
        known = self._waits.get(server.identity)
        if (
            known is not None
            and known.born_ms == server.born_ms
            and until_s <= known.until_s
        ):
            return False
        self._waits[server.identity] = WaitStatement(server.born_ms, until_s)
        return True

    def record_limit(self, identity: str, limit: LimitStatement) -> bool:
        """Record how many requests a server takes; return whether that has changed.

        The newest statement holds, whoever has heard it.
        """
        known = self._limits.get(identity)
        if known is None or known.born_ms < limit.born_ms:
            if math.isinf(limit.per_s):
                return self._limits.pop(identity, None) is not None
            self._limits[identity] = limit
            return True
        if known.born_ms > limit.born_ms or known.heard_s > limit.heard_s:
            return False
        self._limits[identity] = limit
        return known.per_s != limit.per_s

    def record_slots(self, server: ServerEntry, slots: int) -> None:
        """Record how many requests a server runs at a time."""
        self._slots[server.identity] = slots

    def record_end(self, identity: str) -> None:
        """Record that a server's registration ended, or that it has restarted.

        If it is not known when a server started, a later registration under its id
        is that of a new run.
        """
        self._slots.pop(identity, None)
        self.loads.remove_server(identity)
        self.prefills.remove_server(identity)
        for statements in (self._leaving, self._waits, self._limits):
            known = statements.get(identity)
            if known is not None and not known.born_ms:
                del statements[identity]

    def is_leaving(self, server: ServerEntry) -> bool:
        """Return whether this run of a server has said that it leaves."""
        known = self._leaving.get(server.identity)
        return known is not None and known.born_ms == server.born_ms

    def get_wait_s(self, server: ServerEntry, now_s: float) -> float:
        """Return for how long a server still wants no requests, 0 if it wants some."""
        known = self._waits.get(server.identity)
        if known is None or known.born_ms != server.born_ms:
            return 0.0
        return max(0.0, known.until_s - now_s)

    def get_limit(self, server: ServerEntry) -> LimitStatement | None:
        """Return the limit that this run of a server names, None without one."""
        known = self._limits.get(server.identity)
        if known is None or known.born_ms != server.born_ms or math.isinf(known.per_s):
            return None
        return known

    def is_willing(self, server: ServerEntry, now_s: float) -> bool:
        """Return whether a server has said nothing against a request now."""
        return not self.is_leaving(server) and not self.get_wait_s(server, now_s)

    def get_slots(self, server: ServerEntry) -> float:
        """Return how many requests a server runs at a time, infinite if unknown."""
        return self._slots.get(server.identity, math.inf)

    def list_unlimited(self, servers: list[ServerEntry]) -> list[ServerEntry]:
        """Return the servers that name no limit."""
        if not self._limits:
            return servers
        return [server for server in servers if self.get_limit(server) is None]

    def has_limited(self, servers: list[ServerEntry]) -> bool:
        """Return whether one of several servers names a limit."""
        if not self._limits:
            return False
        return len(self.list_unlimited(servers)) < len(servers)

    def get_shortest_wait_s(
        self, servers: Iterable[ServerEntry], now_s: float
    ) -> float | None:
        """Return after how long the first of several servers wants requests.

        None if all of them leave.
        """
        waits = [
            self.get_wait_s(server, now_s)
            for server in servers
            if not self.is_leaving(server)
        ]
        return min(waits, default=None)

    def list_leaving(self) -> list[tuple[str, int]]:
        """Return the id and the start of each server that has said that it leaves."""
        return [(identity, known.born_ms) for identity, known in self._leaving.items()]

    def list_limits(self) -> list[tuple[str, LimitStatement]]:
        """Return the id and the statement of each server that names a limit."""
        return [
            (identity, known)
            for identity, known in self._limits.items()
            if not math.isinf(known.per_s)
        ]

    def count_leaving(self) -> int:
        """Return how many servers are known to have said that they leave."""
        return len(self._leaving)

    def has_waits(self) -> bool:
        """Return whether a server wants no requests, or wanted none a moment ago."""
        return bool(self._waits)

    def count_waits(self, now_s: float) -> int:
        """Return how many servers want no requests now."""
        return sum(known.until_s > now_s for known in self._waits.values())

    def remove_expired(self, now_s: float) -> None:
        """Remove the statements that no longer matter."""
        self._leaving = {
            identity: known
            for identity, known in self._leaving.items()
            if now_s < known.heard_s + LEAVING_KEPT_S
        }
        self._waits = {
            identity: known
            for identity, known in self._waits.items()
            if now_s < known.until_s
        }
        self._limits = {
            identity: known
            for identity, known in self._limits.items()
            if now_s < known.heard_s + _get_limit_kept_s(known)
        }


def _get_limit_kept_s(limit: LimitStatement) -> float:
    """Return how long a limit, or its end, is remembered after it was heard."""
    return ENDED_LIMIT_KEPT_S if math.isinf(limit.per_s) else LIMIT_KEPT_S

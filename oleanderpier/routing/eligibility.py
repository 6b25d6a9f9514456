"""Which servers may get a request now, and why the others may not.

The module addresses these load patterns:

- A release: servers leave one after another and must get nothing more.
- Overload: servers ask for time or have used up the limit that they name.
- Failures: unreachable servers are in backoff, and a server that has refused a request
  must not get it again.

The chooser compares the costs of the servers that remain.
"""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

from oleanderpier.routing.health import ServerHealth
from oleanderpier.routing.records import ServerEntry
from oleanderpier.routing.roster import Roster
from oleanderpier.routing.statements import ServerStatements
from oleanderpier.utils import Timers

__all__ = ["Eligibility", "Ineligibility", "Restrictions"]


class Ineligibility(Enum):
    """Why a server may get no request now.

    Attributes:
        LEAVING: It leaves, by its registration or by what it has said.
        WAITING: It has asked callers to wait, or the limit that it names is used up.
        FULL: It holds as many requests as it runs at a time.
        EXCLUDED: It has refused this request.
        BACKOFF: It was unreachable and is in backoff.
    """

    LEAVING = "leaving"
    WAITING = "waiting"
    FULL = "full"
    EXCLUDED = "excluded"
    BACKOFF = "backoff"


class Restrictions(NamedTuple):
    """What one request, or one attempt at it, excludes.

    Attributes:
        excluded: Ids of the servers that are never chosen.
        excludes_full: Whether servers that run as many requests as they can are left
            out.
    """

    excluded: frozenset[str] = frozenset()
    excludes_full: bool = False


NO_RESTRICTIONS = Restrictions()


class _Rule(NamedTuple):
    """A row of the table of reasons.

    Attributes:
        is_active: Returns whether the reason can apply to any usable server.
        applies: Returns whether the reason applies to a server.
    """

    is_active: Callable[[Restrictions], bool]
    applies: Callable[[ServerEntry, Restrictions], bool]


class Eligibility:
    """Applies the reasons for which servers may get no request.

    Args:
        roster: The backend servers by service.
        health: Failures and backoff of the servers.
        statements: What the servers have said of whether they want requests.
        timers: The timer service.
        count_in_flight: Returns the requests in flight at a server, of all hosts.
    """

    def __init__(
        self,
        roster: Roster,
        health: ServerHealth,
        statements: ServerStatements,
        timers: Timers,
        count_in_flight: Callable[[str], int],
    ) -> None:
        self._roster = roster
        self._rules = {
            Ineligibility.LEAVING: _Rule(
                lambda _: statements.count_leaving() > 0,
                lambda server, _: server.leaving or statements.is_leaving(server),
            ),
            Ineligibility.WAITING: _Rule(
                lambda _: statements.has_waits(),
                lambda server, _: statements.get_wait_s(server, timers.now()) > 0,
            ),
            Ineligibility.FULL: _Rule(
                lambda request: request.excludes_full,
                lambda server, request: (
                    request.excludes_full
                    and count_in_flight(server.identity) >= statements.get_slots(server)
                ),
            ),
            Ineligibility.EXCLUDED: _Rule(
                lambda request: bool(request.excluded),
                lambda server, request: server.identity in request.excluded,
            ),
        }
        self._health = health

    def list_eligible(
        self, service: str, restrictions: Restrictions = NO_RESTRICTIONS
    ) -> list[ServerEntry]:
        """Return the servers of a service that may get a request now.

        Servers in backoff are among them, since they are tried if no other is left.
        """
        servers = self._roster.list_usable(service)
        for rule in self._rules.values():
            if rule.is_active(restrictions):
                servers = [
                    server
                    for server in servers
                    if not rule.applies(server, restrictions)
                ]
        return servers

    def list_healthy(self, servers: Iterable[ServerEntry]) -> list[ServerEntry]:
        """Return those of several servers that are not in backoff."""
        is_backing_off = self._health.is_backing_off
        return [server for server in servers if not is_backing_off(server.identity)]

    def find_reason(
        self, server: ServerEntry, restrictions: Restrictions = NO_RESTRICTIONS
    ) -> Ineligibility | None:
        """Return why a server may get no request now, None if it may get one."""
        for reason, rule in self._rules.items():
            if rule.applies(server, restrictions):
                return reason
        if self._health.is_backing_off(server.identity):
            return Ineligibility.BACKOFF
        return None

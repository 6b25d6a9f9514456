"""Which servers may get a request now, and why the others may not.

The module addresses these load patterns:

- A release: servers leave one after another and must get nothing more.
- Overload: servers ask for time or have used up the limit that they name.
- An evacuation, during which the servers of a failure domain must get nothing more.
- Data residency: requests must not reach the servers of some regions.
- Failures: unreachable servers are in backoff, and a server that has refused a request
  must not get it again.

The chooser compares the costs of the servers that remain.
"""

from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from oleanderpier.routing.evacuations import Evacuations
from oleanderpier.routing.health import ServerHealth
from oleanderpier.routing.records import ServerEntry
from oleanderpier.routing.roster import Roster
from oleanderpier.routing.statements import ServerStatements
from oleanderpier.utils import Timers

__all__ = ["Eligibility", "EvacuatedServer", "Ineligibility", "Restrictions"]


class Ineligibility(Enum):
    """Why a server may get no request now.

    Attributes:
        LEAVING: It leaves, by its registration or by what it has said.
        WAITING: It has asked callers to wait, or the limit that it names is used up.
        FULL: It holds as many requests as it runs at a time.
        EXCLUDED: It has refused this request.
        REGION: It is in a region that the request must not reach.
        UNCONFIRMED: This host stood still, and does not know yet whether the server's
            failure domain has been evacuated meanwhile.
        EVACUATED: Its failure domain is evacuated, and no other reason applies.
        BACKOFF: It was unreachable and is in backoff.
    """

    LEAVING = "leaving"
    WAITING = "waiting"
    FULL = "full"
    EXCLUDED = "excluded"
    REGION = "region"
    UNCONFIRMED = "unconfirmed"
    EVACUATED = "evacuated"
    BACKOFF = "backoff"


class Restrictions(NamedTuple):
    """What one request, or one attempt at it, excludes.

    Attributes:
        excluded: Ids of the servers that are never chosen.
        excludes_full: Whether servers that run as many requests as they can are left
            out.
        regions: The only regions that the request may reach, None if all.
    """

    excluded: frozenset[str] = frozenset()
    excludes_full: bool = False
    regions: frozenset[str] | None = None


NO_RESTRICTIONS = Restrictions()


class EvacuatedServer(NamedTuple):
    """A server that a request does not get because of an evacuation.

    Attributes:
        server: The server.
        in_flight: Requests in flight at it, over all hosts, as known to this host.
        age_s: Seconds since this host learned of the evacuation.
    """

    server: ServerEntry
    in_flight: int
    age_s: float


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
        evacuations: The evacuated failure domains.
        regions: The region of each failure domain. A domain without one is in none.
    """

    def __init__(
        self,
        roster: Roster,
        health: ServerHealth,
        statements: ServerStatements,
        timers: Timers,
        count_in_flight: Callable[[str], int],
        evacuations: Evacuations,
        regions: Mapping[str, str],
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
            Ineligibility.REGION: _Rule(
                lambda request: request.regions is not None,
                lambda server, request: (
                    request.regions is not None
                    and regions.get(server.failure_domain) not in request.regions
                ),
            ),
            Ineligibility.UNCONFIRMED: _Rule(
                lambda _: evacuations.are_unconfirmed(),
                lambda server, _: evacuations.are_unconfirmed(),
            ),
            # The last one, so that it is found only if it is the only reason.
            Ineligibility.EVACUATED: _Rule(
                lambda _: bool(evacuations),
                lambda server, _: evacuations.is_evacuated(server.failure_domain),
            ),
        }
        self._health = health
        self._evacuations = evacuations
        self._timers = timers
        self._count_in_flight = count_in_flight

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

    def may_be_reached(self, server: ServerEntry, restrictions: Restrictions) -> bool:
        """Return whether anything may be sent to a server, or fetched from it.

        Servers that leave or have no room may still be the source of a copy.
        """
        return not any(
            self._rules[reason].applies(server, restrictions)
            for reason in (Ineligibility.REGION, Ineligibility.EVACUATED)
        )

    def has_left(self, server: ServerEntry) -> bool:
        """Return whether a server that was chosen may get nothing more meanwhile."""
        return any(
            self._rules[reason].applies(server, NO_RESTRICTIONS)
            for reason in (
                Ineligibility.LEAVING,
                Ineligibility.UNCONFIRMED,
                Ineligibility.EVACUATED,
            )
        )

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

    def find_evacuated(
        self, servers: Iterable[ServerEntry], restrictions: Restrictions
    ) -> EvacuatedServer | None:
        """Return the first server that may get no request only due to an evacuation."""
        if not self._evacuations:
            return None
        for server in servers:
            reason = self.find_reason(server, restrictions)
            if reason is Ineligibility.EVACUATED:
                begun_s = self._evacuations.get_begun_s(server.failure_domain)
                return EvacuatedServer(
                    server,
                    self._count_in_flight(server.identity),
                    self._timers.now() - begun_s,
                )
        return None

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
# The reasons that apply only if a restriction has another value than its default.
_RESTRICTION_REASONS = (
    Ineligibility.FULL,
    Ineligibility.EXCLUDED,
    Ineligibility.REGION,
)


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


# Returns those of several servers to which a reason does not apply.
_Rule = Callable[[list[ServerEntry], Restrictions], list[ServerEntry]]


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
        self._health = health
        self._statements = statements
        self._timers = timers
        self._count_in_flight = count_in_flight
        self._evacuations = evacuations
        self._regions = regions
        self._rules: dict[Ineligibility, _Rule] = {
            Ineligibility.LEAVING: self._omit_leaving,
            Ineligibility.WAITING: self._omit_waiting,
            Ineligibility.FULL: self._omit_full,
            Ineligibility.EXCLUDED: self._omit_excluded,
            Ineligibility.REGION: self._omit_other_regions,
            Ineligibility.UNCONFIRMED: self._omit_unconfirmed,
            # The last one, so that it is found only if it is the only reason.
            Ineligibility.EVACUATED: self._omit_evacuated,
        }
        # Those that apply without restrictions.
        self._general_rules = [
            omit
            for reason, omit in self._rules.items()
            if reason not in _RESTRICTION_REASONS
        ]

    def list_eligible(
        self, service: str, restrictions: Restrictions = NO_RESTRICTIONS
    ) -> list[ServerEntry]:
        """Return the servers of a service that may get a request now.

        Servers in backoff are among them, since they are tried if no other is left.
        """
        return self._omit_ineligible(self._roster.list_usable(service), restrictions)

    def list_allowed(
        self, servers: list[ServerEntry], restrictions: Restrictions
    ) -> list[ServerEntry]:
        """Return those of several servers for which ``find_reason`` finds none."""
        return self.list_healthy(self._omit_ineligible(servers, restrictions))

    def list_healthy(self, servers: Iterable[ServerEntry]) -> list[ServerEntry]:
        """Return those of several servers that are not in backoff."""
        is_backing_off = self._health.is_backing_off
        return [server for server in servers if not is_backing_off(server.identity)]

    def may_be_reached(self, server: ServerEntry, restrictions: Restrictions) -> bool:
        """Return whether requests may be sent to a server, now or after a wait."""
        reachable = self._omit_other_regions([server], restrictions)
        return bool(self._omit_evacuated(reachable, restrictions))

    def may_be_source(
        self, server: ServerEntry, restrictions: Restrictions = NO_RESTRICTIONS
    ) -> bool:
        """Return whether caches of a server may be copied to others.

        Servers that leave or have no room may, and in services of uneven speed those of
        evacuated failure domains for a while.
        """
        if self.may_be_reached(server, restrictions):
            return True
        return (
            self._statements.loads.is_uneven(server.service)
            and self._evacuations.allows_copies(server.failure_domain)
            and bool(self._omit_other_regions([server], restrictions))
        )

    def has_left(self, server: ServerEntry) -> bool:
        """Return whether a server that was chosen may get nothing more meanwhile."""
        reasons = (
            Ineligibility.LEAVING,
            Ineligibility.UNCONFIRMED,
            Ineligibility.EVACUATED,
        )
        return not all(
            self._rules[reason]([server], NO_RESTRICTIONS) for reason in reasons
        )

    def find_reason(
        self, server: ServerEntry, restrictions: Restrictions = NO_RESTRICTIONS
    ) -> Ineligibility | None:
        """Return why a server may get no request now, None if it may get one."""
        servers = [server]
        for reason, omit in self._rules.items():
            if not omit(servers, restrictions):
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

    def _omit_ineligible(
        self, servers: list[ServerEntry], restrictions: Restrictions
    ) -> list[ServerEntry]:
        if restrictions == NO_RESTRICTIONS:
            rules = self._general_rules
        else:
            rules = self._rules.values()
        for omit in rules:
            servers = omit(servers, restrictions)
        return servers

    def _omit_leaving(self, servers: list[ServerEntry], _) -> list[ServerEntry]:
        if not self._statements.count_leaving():
            return [server for server in servers if not server.leaving]
        is_leaving = self._statements.is_leaving
        return [
            server
            for server in servers
            if not server.leaving and not is_leaving(server)
        ]

    def _omit_waiting(self, servers: list[ServerEntry], _) -> list[ServerEntry]:
        if not self._statements.has_waits():
            return servers
        now_s, get_wait_s = self._timers.now(), self._statements.get_wait_s
        return [server for server in servers if not get_wait_s(server, now_s)]

    def _omit_full(
        self, servers: list[ServerEntry], restrictions: Restrictions
    ) -> list[ServerEntry]:
        if not restrictions.excludes_full:
            return servers
        get_slots = self._statements.get_slots
        return [
            server
            for server in servers
            if self._count_in_flight(server.identity) < get_slots(server)
        ]

    def _omit_excluded(
        self, servers: list[ServerEntry], restrictions: Restrictions
    ) -> list[ServerEntry]:
        excluded = restrictions.excluded
        if not excluded:
            return servers
        return [server for server in servers if server.identity not in excluded]

    def _omit_other_regions(
        self, servers: list[ServerEntry], restrictions: Restrictions
    ) -> list[ServerEntry]:
        allowed, regions = restrictions.regions, self._regions
        if allowed is None:
            return servers
        return [
            server
            for server in servers
            if regions.get(server.failure_domain) in allowed
        ]

    def _omit_unconfirmed(self, servers: list[ServerEntry], _) -> list[ServerEntry]:
        return [] if self._evacuations.are_unconfirmed() else servers

    def _omit_evacuated(self, servers: list[ServerEntry], _) -> list[ServerEntry]:
        if not self._evacuations:
            return servers
        domains = frozenset(self._evacuations.list_domains())
        return [server for server in servers if server.failure_domain not in domains]

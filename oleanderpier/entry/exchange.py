"""What a host knows of backend servers from responses, and shares with other hosts."""

import random
from collections.abc import Callable, Collection

from oleanderpier.entry.crash_gossip import CrashGossip
from oleanderpier.entry.leaving import LeavingGossip
from oleanderpier.entry.limit_gossip import LimitGossip
from oleanderpier.entry.metrics import EntryMetrics
from oleanderpier.entry.permit_owner import PermitOwner
from oleanderpier.entry.prefill_notices import PrefillNotices
from oleanderpier.entry.send_limits import SendLimits
from oleanderpier.entry.server_owners import ServerOwners
from oleanderpier.entry.server_permits import PermitRequests
from oleanderpier.entry.speed_notices import SpeedNotices
from oleanderpier.fleet import (
    CRASHES_FEATURE,
    LEAVING_FEATURE,
    LIMITS_FEATURE,
    NOTICES_FEATURE,
    PERMITS_FEATURE,
    REQUEST_KEYS_FEATURE,
    CrashNews,
    FleetView,
    LeavingServers,
    LimitedServers,
    LimitQuery,
    LimitReply,
    PrefillEnd,
    PrefillNotice,
    ServerPermitQuery,
    ServerPermitRelease,
    ServerPermitReply,
    SpeedNotice,
)
from oleanderpier.peers import Mesh
from oleanderpier.routing import (
    MIN_ANSWERS,
    ColdRate,
    CrashCauses,
    ServerEntry,
    ServerStatements,
    is_request_key,
)
from oleanderpier.utils import Timers, rank_candidates

__all__ = ["ServerExchange"]


class ServerExchange:
    """Holds what servers have said or done, and the parts that exchange it.

    Args:
        view: The other hosts.
        list_ready: Returns the ready hosts, including this one if it is ready.
        timers: The timer service.
        rng: The source of randomness.
        mesh: The streams to the other hosts.
        has_survivor: Returns whether the failure domain of a crashed server goes on;
            see ``Survivors``.
        count_in_flight: Returns the requests in flight at a server that hosts report.
        get_cold_rate: Returns the requests per second that a server takes while it is
            cold, None if it is not.
        metrics: The metrics of this host.
        estimate_prefill_s: Returns how long a server takes to read some tokens.
        find_server: Returns the registration of a server, None if it is unknown.

    Attributes:
        statements: What the servers have said.
        leaving: Exchanges which servers leave.
        limits: Exchanges the limits that servers name.
        send_limits: Holds these limits over all hosts together.
        permits: Asks the owners of servers for permits.
        permit_owner: Grants the permits of the servers that this host owns.
        poison: The parts of prompts that crash servers.
        crash_gossip: Exchanges crashes and what is known of their causes.
        prefills: Exchanges the long prompts that servers are reading.
        speeds: Exchanges the speeds of servers.
    """

    def __init__(
        self,
        view: FleetView,
        list_ready: Callable[[], list[str]],
        timers: Timers,
        rng: random.Random,
        mesh: Mesh,
        has_survivor: Callable[[str, Collection[str], float], bool],
        count_in_flight: Callable[[str], int],
        get_cold_rate: Callable[[ServerEntry], ColdRate | None],
        metrics: EntryMetrics,
        estimate_prefill_s: Callable[[ServerEntry, int], float],
        find_server: Callable[[str], ServerEntry | None],
    ) -> None:
        self._mesh = mesh
        self._view = view
        self._list_ready = list_ready
        self.statements = ServerStatements()
        self.leaving = LeavingGossip(
            self.statements,
            lambda: view.list_with_feature(LEAVING_FEATURE),
            timers,
            rng,
            mesh,
        )
        self.limits = LimitGossip(
            self.statements,
            lambda: view.list_with_feature(LIMITS_FEATURE),
            timers,
            rng,
            mesh,
        )
        self.send_limits = SendLimits(
            mesh.host,
            self.statements,
            lambda: _keep_supporting(LIMITS_FEATURE, list_ready(), mesh.host, view),
            timers,
            rng,
            mesh,
        )
        owners = ServerOwners(
            mesh.host,
            lambda: _keep_supporting(PERMITS_FEATURE, list_ready(), mesh.host, view),
            timers,
        )
        self.permit_owner = PermitOwner(
            mesh.host, owners, count_in_flight, timers, mesh
        )
        self.permits = PermitRequests(
            mesh.host,
            owners,
            self.permit_owner,
            self.statements,
            get_cold_rate,
            timers,
            rng,
            mesh,
            metrics,
        )
        self.poison = CrashCauses(MIN_ANSWERS, has_survivor)
        self.crash_gossip = CrashGossip(
            self.poison,
            lambda: view.list_with_feature(CRASHES_FEATURE),
            timers,
            rng,
            mesh,
        )

        self.prefills = PrefillNotices(
            self.statements.prefills,
            estimate_prefill_s,
            find_server,
            self._list_notice_receivers,
            timers,
            mesh,
            metrics,
        )
        self.speeds = SpeedNotices(
            self.statements.loads,
            find_server,
            self._list_notice_receivers,
            timers,
            mesh,
            metrics,
        )

    def subscribe(self) -> None:
        """Take the messages of the other hosts."""
        self._mesh.subscribe(LeavingServers, self.leaving.receive)
        self._mesh.subscribe(LimitedServers, self.limits.receive)
        self._mesh.subscribe(LimitQuery, self.send_limits.receive_query)
        self._mesh.subscribe(LimitReply, self.send_limits.receive_reply)
        self._mesh.subscribe(ServerPermitQuery, self.permit_owner.receive_query)
        self._mesh.subscribe(ServerPermitReply, self.permits.receive_reply)
        self._mesh.subscribe(ServerPermitRelease, self.permit_owner.receive_release)
        self._mesh.subscribe(PrefillEnd, self.permit_owner.receive_prefill_end)
        self._view.subscribe_silent(self.permit_owner.remove_host)
        self._view.subscribe_silent(self.permits.remove_host)
        self._mesh.subscribe(CrashNews, self.crash_gossip.receive)
        self._mesh.subscribe(PrefillNotice, self.prefills.receive)
        self._mesh.subscribe(SpeedNotice, self.speeds.receive)

    def is_tester(self, key: str) -> bool:
        """Return whether this is the host that tries a quarantined key."""
        feature = REQUEST_KEYS_FEATURE if is_request_key(key) else CRASHES_FEATURE
        own = self._mesh.host
        hosts = _keep_supporting(feature, self._list_ready(), own, self._view)
        return rank_candidates(key, hosts)[:1] == [own]

    def send_all(self, newcomer: str) -> None:
        """Send everything to a host that has just started."""
        for part in (self.leaving, self.limits, self.crash_gossip):
            part.send_all(newcomer)

    def _list_notice_receivers(self) -> list[str]:
        """Return the other ready hosts that take notices of prompts and speeds."""
        own = self._mesh.host
        hosts = _keep_supporting(NOTICES_FEATURE, self._list_ready(), own, self._view)
        return [host for host in hosts if host != own]


def _keep_supporting(
    feature: str, hosts: list[str], own: str, view: FleetView
) -> list[str]:
    """Return those of several hosts that announce a feature, including this host."""
    supporting = {own, *view.list_with_feature(feature)}
    return [host for host in hosts if host in supporting]

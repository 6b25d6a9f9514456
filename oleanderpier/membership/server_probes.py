"""Schedule of this host's probes of backend servers."""

from collections import defaultdict
from collections.abc import Callable
from random import Random

from oleanderpier.membership.histories import ProbeHistory
from oleanderpier.membership.members import Members
from oleanderpier.membership.messages import MemberState
from oleanderpier.membership.probers import ProbeAssignment
from oleanderpier.membership.server_messages import ServerState
from oleanderpier.membership.server_table import ServerTable
from oleanderpier.utils import Timers

__all__ = ["PROBE_INTERVAL_S", "ServerProbes", "group_hosts"]

# Interval at which due probes are started.
SCHEDULE_INTERVAL_S = 0.5
# Interval between probes of a server, and after a probe that failed.
PROBE_INTERVAL_S = 2.0
FAILED_PROBE_INTERVAL_S = 0.5

# States in which the fallback prober probes a server too.
_FALLBACK_PROBE_STATES = (ServerState.SUSPECT, ServerState.FAILED)


class ServerProbes:
    """The probes that this host has to send, and their results.

    Args:
        table: The records of all backend servers.
        members: The members of the fleet.
        timers: The timer service.
        generator: The random number generator.
        probe: Called with the name of a backend server to probe it.
    """

    def __init__(
        self,
        table: ServerTable,
        members: Members,
        timers: Timers,
        generator: Random,
        probe: Callable[[str], None],
    ) -> None:
        self._table = table
        self._members = members
        self._timers = timers
        self._generator = generator
        self._probe = probe
        domain = members.find_domain(members.host) or ""
        self._assigner = ProbeAssignment(members.host, domain)
        self._histories: dict[str, ProbeHistory] = {}
        # By server: True if this host always probes it, False as the fallback.
        self._assignment: dict[str, bool] = {}
        self._assignment_stale = True
        self._assignment_inputs: tuple[list[str], list[str]] | None = None

    def start(self) -> None:
        """Start to probe."""
        self._members.subscribe(self._handle_member_change)
        self._timers.subscribe(SCHEDULE_INTERVAL_S, self._run_due_probes)

    def find_history(self, server: str) -> ProbeHistory | None:
        """Return the results of this host's probes, None if it does not probe it."""
        return self._histories.get(server)

    def is_fallback(self, server: str) -> bool:
        """Return whether this host is the fallback prober of a server."""
        return not self._assignment.get(server, True)

    def list_primary(self) -> list[str]:
        """Return the backend servers that this host always probes."""
        return [server for server, always in self._assignment.items() if always]

    def remove_servers(self, removed: list[str]) -> None:
        """Discard removed servers and mark the assignment as outdated."""
        self._assignment_stale = True
        for server in removed:
            self._histories.pop(server, None)

    def probe_now(self, server: str) -> None:
        """Make the probe of a server due now, if this host probes it."""
        if server in self._assignment:
            history = self._histories.setdefault(server, ProbeHistory(0.0))
            history.due_s = self._timers.now()

    def probe_soon(self, server: str) -> None:
        """Bring the probe of a server forward at another host's request."""
        history = self._histories.get(server)
        if history is not None:
            soonest_s = history.due_s - PROBE_INTERVAL_S + FAILED_PROBE_INTERVAL_S
            history.due_s = max(soonest_s, self._timers.now())

    def _handle_member_change(self, host: str, state: MemberState) -> None:
        self._assignment_stale = True

    def _run_due_probes(self) -> None:
        if self._assignment_stale:
            self._update_assignment()
        now_s = self._timers.now()
        for server, history in self._histories.items():
            if now_s >= history.due_s and self._should_probe(server):
                history.due_s = now_s + PROBE_INTERVAL_S
                self._probe(server)

    def _update_assignment(self) -> None:
        self._assignment_stale = False
        servers = list(self._table.entries or {})
        alive = self._members.list_alive()
        if (servers, alive) == self._assignment_inputs:
            return
        self._assignment_inputs = (servers, alive)
        self._assignment = self._assigner.assign(servers, group_hosts(self._members))
        for server in list(self._histories):
            if server not in self._assignment:
                del self._histories[server]
        now_s = self._timers.now()
        for server in self._assignment:
            if server not in self._histories:
                delay_s = self._generator.uniform(0.0, PROBE_INTERVAL_S)
                self._histories[server] = ProbeHistory(now_s + delay_s)

    def _should_probe(self, server: str) -> bool:
        return (
            self._assignment[server]
            or self._table.find_state(server) in _FALLBACK_PROBE_STATES
        )


def group_hosts(members: Members) -> dict[str, list[str]]:
    """Return the names of the hosts that are alive, by failure domain."""
    groups = defaultdict(list)
    for host in members.list_alive():
        groups[members.find_domain(host)].append(host)
    return groups

"""When this host probes which backend servers."""

from collections import defaultdict
from collections.abc import Callable
from random import Random

from oleanderpier.membership.members import Members
from oleanderpier.membership.messages import MemberState
from oleanderpier.membership.probers import ProbeDuties
from oleanderpier.membership.records import ProbeRecord
from oleanderpier.membership.server_messages import ServerState
from oleanderpier.membership.server_table import ServerTable
from oleanderpier.utils import Timers

__all__ = ["PROBE_INTERVAL_S", "ServerProbes", "group_hosts"]

TICK_S = 0.5
PROBE_INTERVAL_S = 2.0
# The pause after a probe that failed.
RETRY_INTERVAL_S = 0.5

_IN_DOUBT = (ServerState.SUSPECT, ServerState.FAILED)


class ServerProbes:
    """This host's share of the probes, with what they found.

    Args:
        table: What is known of each backend server.
        members: The other hosts.
        timers: The timer service.
        generator: The source of randomness.
        probe: Called with the name of a backend server to probe.
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
        self._choice = ProbeDuties(members.host, domain)
        self._records: dict[str, ProbeRecord] = {}
        # Whether this host always probes it, or is the fallback.
        self._duties: dict[str, bool] = {}
        self._stale = True
        self._duties_for: tuple[list[str], list[str]] | None = None

    def start(self) -> None:
        """Begin to probe."""
        self._members.subscribe(self._note_member)
        self._timers.subscribe(TICK_S, self._tick)

    def find_record(self, server: str) -> ProbeRecord | None:
        """Return what this host's probes found, None if it does not probe it."""
        return self._records.get(server)

    def is_fallback(self, server: str) -> bool:
        """Return whether this host probes a server only while it is in doubt."""
        return not self._duties.get(server, True)

    def list_always(self) -> list[str]:
        """Return the backend servers that this host always probes."""
        return [server for server, always in self._duties.items() if always]

    def note_list(self, gone: list[str]) -> None:
        """Take that the list of backend servers has changed."""
        self._stale = True
        for server in gone:
            self._records.pop(server, None)

    def probe_now(self, server: str) -> None:
        """Probe a backend server next, if it is one of this host's."""
        if server in self._duties:
            record = self._records.setdefault(server, ProbeRecord(0.0))
            record.due_s = self._timers.now()

    def probe_soon(self, server: str) -> None:
        """Probe a backend server earlier, as another host doubts it."""
        record = self._records.get(server)
        if record is not None:
            soonest_s = record.due_s - PROBE_INTERVAL_S + RETRY_INTERVAL_S
            record.due_s = max(soonest_s, self._timers.now())

    def _note_member(self, host: str, state: MemberState) -> None:
        self._stale = True

    def _tick(self) -> None:
        if self._stale:
            self._take_duties()
        now_s = self._timers.now()
        for server, record in self._records.items():
            if now_s >= record.due_s and self._has_to_probe(server):
                record.due_s = now_s + PROBE_INTERVAL_S
                self._probe(server)

    def _take_duties(self) -> None:
        self._stale = False
        servers = list(self._table.entries or {})
        alive = self._members.list_alive()
        if (servers, alive) == self._duties_for:
            return
        self._duties_for = (servers, alive)
        self._duties = self._choice.find(servers, group_hosts(self._members))
        for server in list(self._records):
            if server not in self._duties:
                del self._records[server]
        now_s = self._timers.now()
        for server in self._duties:
            if server not in self._records:
                delay_s = self._generator.uniform(0.0, PROBE_INTERVAL_S)
                self._records[server] = ProbeRecord(now_s + delay_s)

    def _has_to_probe(self, server: str) -> bool:
        return self._duties[server] or self._table.find_state(server) in _IN_DOUBT


def group_hosts(members: Members) -> dict[str, list[str]]:
    """Return the hosts that are alive, by failure domain."""
    groups = defaultdict(list)
    for host in members.list_alive():
        groups[members.find_domain(host)].append(host)
    return groups

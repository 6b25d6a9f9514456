"""What this host knows of the others from their reports."""

import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from eliot import log_message

from oleanderpier.fleet.messages import HostReport
from oleanderpier.membership import Members
from oleanderpier.utils import Outbox, Timers

__all__ = ["FleetTimes", "FleetView"]


class FleetTimes(NamedTuple):
    """How often hosts report, and how long a report holds.

    Attributes:
        interval_s: Between two reports in a small fleet.
        messages_per_s: Reports that one host sends at most; larger fleets
            report less often.
        intervals_kept: For so many intervals a host counts as being there.
        least_kept_s: But for so long at least.
        connect_s: A host that was just heard of has this long to report.
    """

    interval_s: float = 0.25
    messages_per_s: float = 100.0
    intervals_kept: float = 3.5
    least_kept_s: float = 0.9
    connect_s: float = 1.0


class _Peer(NamedTuple):
    """The last report of a host and when it came."""

    report: HostReport
    heard_s: float


class FleetView:
    """Sends this host's reports and keeps those of the others.

    Args:
        host: This host.
        failure_domain: Where it stands.
        members: Which hosts there are.
        timers: The timer service.
        rng: The source of randomness.
        outbox: Where reports go.
        make_report: Returns this host's report.
        notify: Told of each report, with the host.
        times: How often hosts report.
    """

    def __init__(
        self,
        host: str,
        failure_domain: str,
        members: Members,
        timers: Timers,
        rng: random.Random,
        outbox: Outbox,
        make_report: Callable[[], HostReport],
        notify: Callable[[str, HostReport], None],
        times: FleetTimes | None = None,
    ) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._members = members
        self._timers = timers
        self._rng = rng
        self._outbox = outbox
        self._make_report = make_report
        self._notify = notify
        self._times = times or FleetTimes()
        self._peers: dict[str, _Peer] = {}
        self._loads: Counter[str] = Counter()

    def start(self) -> None:
        """Begin to report."""
        self._report()

    def report_now(self) -> None:
        """Send a report outside the usual order, since something changed."""
        self._send(self._make_report())

    def count_load(self, identity: str) -> int:
        """Return the requests in flight of the other hosts at a server."""
        return self._loads[identity]

    def count_hosts(self) -> int:
        """Return how many hosts are known, this one and gone ones included."""
        return max(1, len(self._members.list_known()))

    def list_present(self) -> list[str]:
        """Return the other hosts whose last report still holds."""
        return [host for host, peer in self._peers.items() if self._holds(peer)]

    def list_ready(self) -> list[str]:
        """Return the other hosts that are there and take requests."""
        return [
            host
            for host, peer in self._peers.items()
            if peer.report.ready and self._holds(peer)
        ]

    def handle(self, sender: str, message: HostReport) -> None:
        """Take in a report."""
        known = self._peers.get(sender)
        self._peers[sender] = _Peer(message, self._timers.now())
        if known is None or not self._holds(known):
            log_message("fleet:host_reports", host=sender, ready=message.ready)
        self._count_loads()
        self._notify(sender, message)

    def get_interval_s(self) -> float:
        """Return the pause between two reports, longer in a large fleet."""
        hosts = len(self._members.list_alive())
        return max(self._times.interval_s, hosts / self._times.messages_per_s)

    def _holds(self, peer: _Peer) -> bool:
        times = self._times
        kept_s = max(times.least_kept_s, times.intervals_kept * self.get_interval_s())
        return self._timers.now() - peer.heard_s < kept_s

    def _report(self) -> None:
        interval_s = self.get_interval_s()
        self._timers.call_later(interval_s * self._rng.uniform(0.9, 1.1), self._report)
        self._drop_silent()
        self._send(self._make_report())

    def _send(self, report: HostReport) -> None:
        targets = set(self._members.list_alive()) | set(self._peers)
        targets.discard(self._host)
        for host in targets:
            self._outbox.send(host, report)

    def _drop_silent(self) -> None:
        silent = [host for host, peer in self._peers.items() if not self._holds(peer)]
        for host in silent:
            del self._peers[host]
            log_message("fleet:host_silent", host=host)
        if silent:
            self._count_loads()

    def _count_loads(self) -> None:
        self._loads = Counter()
        for peer in self._peers.values():
            for identity, use in peer.report.servers.items():
                self._loads[identity] += use.in_flight

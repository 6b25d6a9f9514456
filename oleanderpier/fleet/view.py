"""What this host knows of the others from their reports."""

import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from eliot import log_message

from oleanderpier.fleet.messages import HostReport, merge_reports
from oleanderpier.membership import Members
from oleanderpier.utils import Outbox, Timers

__all__ = ["FleetTimes", "FleetView"]


class FleetTimes(NamedTuple):
    """How often hosts report, and how long a report holds.

    Attributes:
        interval_s: Between two reports in a small fleet.
        nearby_per_s: Reports that one host sends at most to the hosts of its
            own failure domain; larger ones report less often.
        far_per_s: The same to the hosts of the others.
        intervals_kept: For so many intervals a host counts as being there.
        least_kept_s: But for so long at least.
        closed_kept_s: But only for so long once its stream has ended.
    """

    interval_s: float = 0.25
    nearby_per_s: float = 30.0
    far_per_s: float = 20.0
    intervals_kept: float = 3.5
    least_kept_s: float = 0.9
    closed_kept_s: float = 0.3


class _Peer(NamedTuple):
    """The last report of a host, when it came, and for how long it holds."""

    report: HostReport
    heard_s: float
    kept_s: float


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
        self._new_callbacks: list[Callable[[str], None]] = []
        self._loads: Counter[str] = Counter()
        self._oldest_s = timers.now()
        # Keys: whether hosts are of the own failure domain.
        self._due_s = {True: 0.0, False: 0.0}
        self._kept_s = dict.fromkeys((True, False), self._times.least_kept_s)
        self._unsent: dict[bool, HostReport | None] = {True: None, False: None}

    def start(self) -> None:
        """Begin to report."""
        self._report()

    def subscribe_new(self, callback: Callable[[str], None]) -> None:
        """Call back with each host that reports first, or again after a silence."""
        self._new_callbacks.append(callback)

    def report_now(self) -> None:
        """Send a report outside the usual order, since something changed."""
        self._collect_news()
        for nearby, hosts in self._group_hosts().items():
            self._send_report(nearby, hosts)

    def count_load(self, identity: str) -> int:
        """Return the requests in flight of the other hosts at a server."""
        return self._loads[identity]

    def get_load_age_s(self) -> float:
        """Return the age of the oldest report that ``count_load`` counts.

        It is looked up as often as this host reports.
        """
        return self._timers.now() - self._oldest_s

    def count_hosts(self) -> int:
        """Return how many hosts are known, this one and gone ones included."""
        return max(1, len(self._members.list_known()))

    def list_present_nearby(self) -> list[str]:
        """Return the hosts of the own failure domain that are there."""
        return [
            host
            for host, peer in self._peers.items()
            if self._holds(peer) and self._is_nearby(host)
        ]

    def list_answered_nearby(self) -> list[str]:
        """Return those of ``list_present_nearby`` whom the platform answers."""
        hosts = self.list_present_nearby()
        return [host for host in hosts if self._peers[host].report.platform_answers]

    def list_ready(self) -> list[str]:
        """Return the other hosts that are there and take requests."""
        return [
            host
            for host, peer in self._peers.items()
            if peer.report.ready and self._holds(peer)
        ]

    def list_ready_nearby(self) -> list[str]:
        """Return those of ``list_ready`` that are in the own failure domain."""
        return [host for host in self.list_ready() if self._is_nearby(host)]

    def get_caller_address(self, host: str) -> str:
        """Return where callers connect to a host that has reported."""
        return self._peers[host].report.caller_address

    def note_closed(self, host: str) -> None:
        """Take that a host's stream has ended; it may be gone."""
        peer = self._peers.get(host)
        if peer is not None:
            left_s = self._timers.now() - peer.heard_s + self._times.closed_kept_s
            self._peers[host] = peer._replace(kept_s=min(peer.kept_s, left_s))

    def handle(self, sender: str, message: HostReport) -> None:
        """Take in a report."""
        known = self._peers.get(sender)
        is_new = known is None or not self._holds(known)
        if known is not None:
            self._add_loads(known.report, -1)
        self._peers[sender] = _Peer(
            message, self._timers.now(), self._kept_s[self._is_nearby(sender)]
        )
        self._add_loads(message, 1)
        if is_new:
            log_message("fleet:host_reports", host=sender, ready=message.ready)
            for callback in self._new_callbacks:
                callback(sender)
        self._notify(sender, message)

    def _holds(self, peer: _Peer) -> bool:
        return self._timers.now() - peer.heard_s < peer.kept_s

    def _get_interval_s(self, nearby: bool, hosts: int) -> float:
        """Return the pause between two reports to a group of hosts."""
        times = self._times
        per_s = times.nearby_per_s if nearby else times.far_per_s
        return max(times.interval_s, hosts / per_s)

    def _report(self) -> None:
        """Send reports to the hosts whose turn it is."""
        self._timers.call_later(
            self._times.interval_s * self._rng.uniform(0.9, 1.1), self._report
        )
        self._drop_silent()
        now_s = self._timers.now()
        self._collect_news()
        for nearby, hosts in self._group_hosts().items():
            if hosts and now_s >= self._due_s[nearby]:
                interval_s = self._get_interval_s(nearby, len(hosts))
                self._due_s[nearby] = now_s + interval_s - self._times.interval_s / 2
                self._send_report(nearby, hosts)

    def _collect_news(self) -> None:
        """Add what is new to the report that each group of hosts gets next."""
        report = self._make_report()
        for nearby, unsent in self._unsent.items():
            self._unsent[nearby] = merge_reports(unsent, report)

    def _send_report(self, nearby: bool, hosts: list[str]) -> None:
        report, self._unsent[nearby] = self._unsent[nearby], None
        if report is not None:
            self._outbox.send_to_all(hosts, report)

    def _group_hosts(self) -> dict[bool, list[str]]:
        """Return the other hosts, those of the own failure domain apart."""
        hosts = set(self._members.list_alive()) | set(self._peers)
        hosts.discard(self._host)
        groups: dict[bool, list[str]] = {True: [], False: []}
        for host in hosts:
            groups[self._is_nearby(host)].append(host)
        self._kept_s = {
            nearby: max(
                self._times.least_kept_s,
                self._times.intervals_kept * self._get_interval_s(nearby, len(hosts)),
            )
            for nearby, hosts in groups.items()
        }
        return groups

    def _is_nearby(self, host: str) -> bool:
        return self._members.find_domain(host) == self._failure_domain

    def _drop_silent(self) -> None:
        silent = [host for host, peer in self._peers.items() if not self._holds(peer)]
        for host in silent:
            self._add_loads(self._peers.pop(host).report, -1)
            log_message("fleet:host_silent", host=host)
        now_s = self._timers.now()
        heard_s = (peer.heard_s for peer in self._peers.values())
        self._oldest_s = min(heard_s, default=now_s)

    def _add_loads(self, report: HostReport, sign: int) -> None:
        for identity, use in report.servers.items():
            self._loads[identity] += sign * use.in_flight
            if not self._loads[identity]:
                del self._loads[identity]

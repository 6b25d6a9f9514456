"""Exchanges reports with the other hosts and aggregates those received."""

import math
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from eliot import log_message

from oleanderpier.fleet.messages import HostReport, merge_reports
from oleanderpier.membership import Members
from oleanderpier.utils import Outbox, Timers

__all__ = ["FleetView", "ReportTiming"]


class ReportTiming(NamedTuple):
    """How often hosts report and how long a received report is valid.

    Attributes:
        interval_s: The seconds between two reports in a small fleet.
        same_domain_per_s: Upper bound of the messages per second that one host
            sends to the hosts of its own failure domain. With more hosts the
            interval grows.
        other_domains_per_s: The same bound for the hosts of all other failure
            domains.
        valid_intervals: The number of intervals for which a report is valid.
        min_valid_s: Lower bound of that time, in seconds.
        closed_valid_s: Upper bound of the time for which a report stays valid
            after the sender's stream has closed, in seconds.
    """

    interval_s: float = 0.25
    same_domain_per_s: float = 30.0
    other_domains_per_s: float = 20.0
    valid_intervals: float = 3.5
    min_valid_s: float = 0.9
    closed_valid_s: float = 0.3

    def compute_interval_s(self, in_domain: bool, hosts: int) -> float:
        """Return the seconds between two reports to a group of hosts.

        Args:
            in_domain: Whether they are in the sender's failure domain.
            hosts: The number of hosts in the group.
        """
        per_s = self.same_domain_per_s if in_domain else self.other_domains_per_s
        return max(self.interval_s, hosts / per_s)


# Hosts that one part of a paced report is sent to, and the pause until the next part. A
# report has 1 to 2 KB: 15 of them take 12 to 25 ms on a link of 10 Mbit/s, those for 87
# hosts at once 70 to 150 ms, which the events of all streams on the link would wait.
PACED_HOSTS = 15
PACING_INTERVAL_S = 0.025
# Upper bound of the parts of a report. Its ages count from the first part, so that it
# must not take long in a large fleet.
MAX_REPORT_PARTS = 6


class _ReceivedReport(NamedTuple):
    """The last report of a host.

    Attributes:
        report: The report.
        received_s: When it arrived, in seconds on the timer service's clock.
        valid_s: For how many seconds after that it is valid.
    """

    report: HostReport
    received_s: float
    valid_s: float


class FleetView:
    """Sends this host's reports and keeps the last report of every other host.

    A host counts as present while its last report is valid.

    Args:
        host: The name of this host.
        failure_domain: The failure domain of this host.
        members: The membership of the fleet.
        timers: The timer service.
        rng: The source of randomness.
        outbox: Sends reports to other hosts.
        make_report: Returns this host's report and resets the counts in it.
        notify_report: Called with each received report and its sender.
        timing: The intervals of reports and their validity.
        is_paced: Returns whether a periodic report is sent to a few hosts at a time.
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
        notify_report: Callable[[str, HostReport], None],
        timing: ReportTiming | None = None,
        is_paced: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_paced = is_paced
        self._host = host
        self._failure_domain = failure_domain
        self._members = members
        self._timers = timers
        self._rng = rng
        self._outbox = outbox
        self._make_report = make_report
        self._notify_report = notify_report
        self._timing = timing or ReportTiming()
        self._reports: dict[str, _ReceivedReport] = {}
        self._appeared_callbacks: list[Callable[[str], None]] = []
        self._silent_callbacks: list[Callable[[str], None]] = []
        # State of each group of hosts. The key is whether the group is in this host's
        # failure domain.
        self._next_report_s = {True: 0.0, False: 0.0}
        self._valid_s = dict.fromkeys((True, False), self._timing.min_valid_s)
        self._pending: dict[bool, HostReport | None] = {True: None, False: None}
        # The parts of paced reports that are left: receivers and report.
        self._unsent_parts: deque[tuple[list[str], HostReport]] = deque()

    def start(self) -> None:
        """Start to report periodically."""
        self._send_due_reports()

    def subscribe_appeared(self, callback: Callable[[str], None]) -> None:
        """Call back with each host whose report follows no valid earlier one."""
        self._appeared_callbacks.append(callback)

    def subscribe_silent(self, callback: Callable[[str], None]) -> None:
        """Call back with each host whose last report is no longer valid."""
        self._silent_callbacks.append(callback)

    def report_now(self) -> None:
        """Send a report immediately, such as after a change of state."""
        self._send_all_parts()
        self._update_pending()
        for in_domain, hosts in self._group_hosts().items():
            self._send_report(in_domain, hosts)

    def count_hosts(self) -> int:
        """Return the number of known hosts, including this one and failed ones."""
        return max(1, len(self._members.list_known()))

    def list_present_in_domain(self) -> list[str]:
        """Return the other hosts present in this host's failure domain."""
        return [
            host
            for host, received in self._reports.items()
            if self._is_valid(received) and self._is_in_own_domain(host)
        ]

    def list_platform_reachable_in_domain(self) -> list[str]:
        """Return the hosts of ``list_present_in_domain`` that reach the platform."""
        hosts = self.list_present_in_domain()
        return [host for host in hosts if self._reports[host].report.platform_reachable]

    def list_ready(self, max_age_s: float = math.inf) -> list[str]:
        """Return the other hosts that are present and accept requests.

        Args:
            max_age_s: How long ago they must have reported at most. Reports of hosts in
                other failure domains are valid for longer the more hosts there are.
        """
        oldest_s = self._timers.now() - max_age_s
        return [
            host
            for host, received in self._reports.items()
            if received.report.ready
            and self._is_valid(received)
            and received.received_s >= oldest_s
        ]

    def list_ready_in_domain(self, max_age_s: float = math.inf) -> list[str]:
        """Return the hosts of ``list_ready`` in this host's failure domain."""
        hosts = self.list_ready(max_age_s)
        return [host for host in hosts if self._is_in_own_domain(host)]

    def list_with_feature(self, feature: str) -> list[str]:
        """Return the other present hosts whose reports announce a feature."""
        return [
            host
            for host, received in self._reports.items()
            if feature in received.report.replica_summaries and self._is_valid(received)
        ]

    def get_caller_address(self, host: str) -> str:
        """Return the address for callers of a host that has reported."""
        return self._reports[host].report.caller_address

    def handle_stream_closed(self, host: str) -> None:
        """Shorten the validity of a host's report, since the host may have failed."""
        received = self._reports.get(host)
        if received is not None:
            valid_s = (
                self._timers.now() - received.received_s + self._timing.closed_valid_s
            )
            self._reports[host] = received._replace(
                valid_s=min(received.valid_s, valid_s)
            )

    def receive_report(self, sender: str, message: HostReport) -> None:
        """Store a report and notify subscribers."""
        previous = self._reports.get(sender)
        is_new = previous is None or not self._is_valid(previous)
        self._reports[sender] = _ReceivedReport(
            message, self._timers.now(), self._valid_s[self._is_in_own_domain(sender)]
        )
        if is_new:
            log_message("fleet:host_reports", host=sender, ready=message.ready)
            for callback in self._appeared_callbacks:
                callback(sender)
        self._notify_report(sender, message)

    def _is_valid(self, received: _ReceivedReport) -> bool:
        return self._timers.now() - received.received_s < received.valid_s

    def _send_due_reports(self) -> None:
        """Send reports to the groups of hosts whose interval has passed."""
        self._timers.call_later(
            self._timing.interval_s * self._rng.uniform(0.9, 1.1),
            self._send_due_reports,
        )
        self._drop_expired_reports()
        now_s = self._timers.now()
        self._update_pending()
        for in_domain, hosts in self._group_hosts().items():
            if hosts and now_s >= self._next_report_s[in_domain]:
                interval_s = self._timing.compute_interval_s(in_domain, len(hosts))
                self._next_report_s[in_domain] = (
                    now_s + interval_s - self._timing.interval_s / 2
                )
                self._send_paced_report(in_domain, hosts)

    def _update_pending(self) -> None:
        """Merge a new report into the next report to each group of hosts.

        The groups have different intervals, and counts of a report must reach
        both.
        """
        report = self._make_report()
        for in_domain, pending in self._pending.items():
            self._pending[in_domain] = merge_reports(pending, report)

    def _send_report(self, in_domain: bool, hosts: list[str]) -> None:
        report, self._pending[in_domain] = self._pending[in_domain], None
        if report is not None:
            self._outbox.send_to_all(hosts, report)

    def _send_paced_report(self, in_domain: bool, hosts: list[str]) -> None:
        """Send a report to a few hosts at a time, so that links stay free between."""
        if not self._is_paced():
            self._send_all_parts()
            self._send_report(in_domain, hosts)
            return
        report, self._pending[in_domain] = self._pending[in_domain], None
        if report is None:
            return
        has_begun = bool(self._unsent_parts)
        count = max(PACED_HOSTS, math.ceil(len(hosts) / MAX_REPORT_PARTS))
        for start in range(0, len(hosts), count):
            self._unsent_parts.append((hosts[start : start + count], report))
        if not has_begun:
            self._send_next_part()

    def _send_next_part(self) -> None:
        if self._unsent_parts:
            self._outbox.send_to_all(*self._unsent_parts.popleft())
        if self._unsent_parts:
            self._timers.call_later(PACING_INTERVAL_S, self._send_next_part)

    def _send_all_parts(self) -> None:
        """Send what is left of paced reports, before a later report overtakes it."""
        while self._unsent_parts:
            self._outbox.send_to_all(*self._unsent_parts.popleft())

    def _group_hosts(self) -> dict[bool, list[str]]:
        """Group the other hosts by whether they are in this host's domain.

        Also updates how long a report from each group is valid.
        """
        hosts = set(self._members.list_alive()) | set(self._reports)
        hosts.discard(self._host)
        groups: dict[bool, list[str]] = {True: [], False: []}
        for host in hosts:
            groups[self._is_in_own_domain(host)].append(host)
        self._valid_s = {
            in_domain: max(
                self._timing.min_valid_s,
                self._timing.valid_intervals
                * self._timing.compute_interval_s(in_domain, len(hosts)),
            )
            for in_domain, hosts in groups.items()
        }
        return groups

    def _is_in_own_domain(self, host: str) -> bool:
        return self._members.find_domain(host) == self._failure_domain

    def _drop_expired_reports(self) -> None:
        expired = [
            host
            for host, received in self._reports.items()
            if not self._is_valid(received)
        ]
        for host in expired:
            del self._reports[host]
            log_message("fleet:host_silent", host=host)
            for callback in self._silent_callbacks:
                callback(host)

"""The requests that the other hosts have in flight at each backend server.

Hosts of the same failure domain report their own requests to each other. Reports to
other failure domains become rare as the fleet grows, so each host also sends the total
of its failure domain to a few hosts elsewhere, and each host gets one total from every
other failure domain. While a total is valid, it replaces the reports of that domain.
Small fleets need no totals, since all hosts report to each other often.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from functools import lru_cache
from typing import NamedTuple

from eliot import log_message

from oleanderpier.fleet.messages import DomainLoads
from oleanderpier.fleet.view import ReportTiming
from oleanderpier.utils import Outbox, Timers, rank_candidates

__all__ = ["FleetLoads", "FleetSite"]

# A host that has just started does not know the loads of its failure domain. It sends
# totals only after all hosts there have had time to report.
FIRST_TOTAL_DELAY_S = 1.0
# Time constant of the moving mean of a server's requests in flight: long against the
# age of loads, short against the 5 s in which the users count sends over the limit.
MEAN_PERIOD_S = 2.0
# Smaller means are dropped.
MIN_MEAN_IN_FLIGHT = 0.01
MAX_CACHED_PARTNERS = 8_192


class FleetSite(NamedTuple):
    """A host's place in the fleet, as its loads need it.

    Attributes:
        host: The name of this host.
        failure_domain: The failure domain of this host.
        find_domain: Returns the failure domain of a host, None if it is not known.
        list_senders: Returns the hosts of this failure domain that send totals, with
            this one if it does.
        list_receivers: Returns the hosts of all failure domains that accept totals.
    """

    host: str
    failure_domain: str
    find_domain: Callable[[str], str | None]
    list_senders: Callable[[], list[str]]
    list_receivers: Callable[[], list[str]]


class _Contribution(NamedTuple):
    """Loads of one host or one failure domain.

    Attributes:
        in_flight: Requests in flight, by server id.
        hosts: The number of hosts whose requests these are.
        as_of_s: The mean time for which they were counted, on the monotonic clock.
        valid_until_s: When they are too old to be used. Reports of hosts are removed
            by ``FleetLoads.remove_host`` instead.
    """

    in_flight: Mapping[str, int]
    hosts: int
    as_of_s: float
    valid_until_s: float = float("inf")


class _Total:
    """The sum of several contributions.

    Attributes:
        in_flight: Requests in flight, by server id.
        hosts: The number of hosts.
    """

    def __init__(self) -> None:
        self.in_flight: Counter[str] = Counter()
        self.hosts = 0
        self._as_of_sum_s = 0.0

    def add(self, contribution: _Contribution, sign: int = 1) -> None:
        """Add a contribution, or subtract one that was added before."""
        self.hosts += sign * contribution.hosts
        self._as_of_sum_s += sign * contribution.hosts * contribution.as_of_s
        for identity, count in contribution.in_flight.items():
            self.in_flight[identity] += sign * count
            if not self.in_flight[identity]:
                del self.in_flight[identity]

    def compute_as_of_s(self, default_s: float) -> float:
        """Return the mean time for which the hosts' requests were counted."""
        return self._as_of_sum_s / self.hosts if self.hosts else default_s


class FleetLoads:
    """Sums up the requests in flight of the other hosts, and sends domain totals.

    Args:
        site: This host's place in the fleet.
        timers: The timer service.
        outbox: Sends totals to other hosts.
        count_own: Returns this host's requests in flight, by server id.
        timing: The intervals of reports, which hold for totals as well.
    """

    def __init__(
        self,
        site: FleetSite,
        timers: Timers,
        outbox: Outbox,
        count_own: Callable[[], Mapping[str, int]],
        timing: ReportTiming | None = None,
    ) -> None:
        self._site = site
        self._timers = timers
        self._outbox = outbox
        self._count_own = count_own
        self._timing = timing or ReportTiming()
        self._reports: dict[str, _Contribution] = {}
        # The hosts whose reports are in the total of the fleet.
        self._counted: set[str] = set()
        # The hosts of this failure domain that have reported.
        self._neighbours: set[str] = set()
        self._domain_totals: dict[str, _Contribution] = {}
        self._fleet_total = _Total()
        self._own_domain_total = _Total()
        # Moving sums of the requests in flight and of the weights of their samples,
        # which is below 1 until the samples cover several times MEAN_PERIOD_S.
        self._mean_in_flight: dict[str, float] = {}
        self._mean_weight = 0.0
        self._next_total_s = timers.now() + FIRST_TOTAL_DELAY_S
        self._find_partner = lru_cache(MAX_CACHED_PARTNERS)(_find_partner)

    def start(self) -> None:
        """Start to send the totals of this failure domain."""
        self._timers.subscribe(self._timing.interval_s, self._update)

    def count_in_flight(self, identity: str) -> int:
        """Return how many requests the other hosts have in flight at a server."""
        return self._fleet_total.in_flight[identity]

    def get_mean_in_flight(self, identity: str) -> float:
        """Return the mean of ``count_in_flight`` over about ``MEAN_PERIOD_S``."""
        if not self._mean_weight:
            return float(self.count_in_flight(identity))
        return self._mean_in_flight.get(identity, 0.0) / self._mean_weight

    def get_age_s(self) -> float:
        """Return the age of what is counted, in seconds, as the mean over hosts."""
        now_s = self._timers.now()
        return max(0.0, now_s - self._fleet_total.compute_as_of_s(now_s))

    def receive_report(self, host: str, in_flight: Mapping[str, int]) -> None:
        """Apply the requests in flight of another host.

        Args:
            host: The host.
            in_flight: Its requests in flight, by server id.
        """
        self.remove_host(host)
        now_s = self._timers.now()
        report = self._reports[host] = _Contribution(in_flight, 1, now_s)
        domain = self._site.find_domain(host)
        if domain == self._site.failure_domain:
            self._neighbours.add(host)
            self._own_domain_total.add(report)
        if domain not in self._domain_totals:
            self._counted.add(host)
            self._fleet_total.add(report)

    def remove_host(self, host: str) -> None:
        """Remove the report of a host that has become silent."""
        report = self._reports.pop(host, None)
        if report is None:
            return
        if host in self._neighbours:
            self._neighbours.discard(host)
            self._own_domain_total.add(report, -1)
        if host in self._counted:
            self._counted.discard(host)
            self._fleet_total.add(report, -1)

    def receive_total(self, sender: str, message: DomainLoads) -> None:
        """Apply the total of another failure domain; it replaces its hosts' reports."""
        domain = message.failure_domain
        if domain == self._site.failure_domain:
            log_message("loads:total_of_own_domain", host=sender)
            return
        now_s = self._timers.now()
        previous = self._domain_totals.get(domain)
        if previous is not None:
            self._fleet_total.add(previous, -1)
        valid_s = max(
            self._timing.min_valid_s, self._timing.valid_intervals * message.interval_s
        )
        total = self._domain_totals[domain] = _Contribution(
            message.in_flight, message.hosts, now_s - message.age_s, now_s + valid_s
        )
        self._fleet_total.add(total)
        for host in self._list_hosts(domain) if previous is None else []:
            if host in self._counted:
                self._counted.discard(host)
                self._fleet_total.add(self._reports[host], -1)

    def _list_hosts(self, domain: str) -> list[str]:
        return [
            host for host in self._reports if self._site.find_domain(host) == domain
        ]

    def _update(self) -> None:
        """Update the means, drop expired totals, and send one if it is due."""
        self._update_means()
        now_s = self._timers.now()
        for domain, total in list(self._domain_totals.items()):
            if now_s >= total.valid_until_s:
                self._drop_total(domain)
        if now_s >= self._next_total_s:
            self._send_total()

    def _update_means(self) -> None:
        weight = self._timing.interval_s / MEAN_PERIOD_S
        self._mean_weight += weight * (1.0 - self._mean_weight)
        means, in_flight = self._mean_in_flight, self._fleet_total.in_flight
        for identity in {*means, *in_flight}:
            mean = means.get(identity, 0.0)
            mean += weight * (in_flight[identity] - mean)
            if mean >= MIN_MEAN_IN_FLIGHT:
                means[identity] = mean
            else:
                means.pop(identity, None)

    def _drop_total(self, domain: str) -> None:
        """Use the reports of a failure domain again, as no totals of it arrive."""
        self._fleet_total.add(self._domain_totals.pop(domain), -1)
        for host in self._list_hosts(domain):
            if host not in self._counted:
                self._counted.add(host)
                self._fleet_total.add(self._reports[host])
        log_message("loads:domain_silent", failure_domain=domain)

    def _send_total(self) -> None:
        """Send the total of this failure domain to the hosts that get it from here."""
        site, now_s = self._site, self._timers.now()
        senders = tuple(sorted(site.list_senders()))
        if site.host not in senders:
            return
        outside = [
            host
            for host in site.list_receivers()
            if site.find_domain(host) != site.failure_domain
        ]
        receivers = [
            host for host in outside if self._find_partner(host, senders) == site.host
        ]
        compute_interval_s = self._timing.compute_interval_s
        interval_s = compute_interval_s(False, len(receivers))
        self._next_total_s = now_s + interval_s - self._timing.interval_s / 2
        # In a small fleet the reports of all hosts are newer than a total of them.
        total_age_s = interval_s + compute_interval_s(True, len(senders) - 1)
        if not receivers or compute_interval_s(False, len(outside)) <= total_age_s:
            return
        neighbours = self._own_domain_total
        hosts = neighbours.hosts + 1
        age_s = (now_s - neighbours.compute_as_of_s(now_s)) * neighbours.hosts / hosts
        in_flight = neighbours.in_flight + Counter(self._count_own())
        self._outbox.send_to_all(
            receivers,
            DomainLoads(
                site.failure_domain,
                hosts,
                max(0.0, age_s),
                interval_s,
                dict(in_flight),
            ),
        )


def _find_partner(host: str, senders: tuple[str, ...]) -> str:
    """Return the host from which another one gets the total of a failure domain."""
    return rank_candidates(host, senders)[0]

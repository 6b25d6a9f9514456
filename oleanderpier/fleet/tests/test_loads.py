"""Tests of the sums of requests in flight over the other hosts."""

from collections import Counter

from testtools import TestCase

from oleanderpier.fleet import DomainLoads, FleetLoads, FleetSite
from oleanderpier.utils import ManualTimers

# Delay of every message.
LATENCY_S = 0.002
REPORT_INTERVAL_S = 0.5


class FakeHosts:
    """Hosts with fixed loads, which report within their failure domain.

    Args:
        hosts: The number of hosts.
        domains: The number of failure domains, which hosts join in turn.

    Attributes:
        loads: The component under test, by host.
        own: Requests in flight of each host, by server id.
        stopped: The hosts that send nothing.
        not_ready: The hosts that only send reports.
        totals_sent: The number of totals sent, by host.
    """

    def __init__(self, hosts: int, domains: int) -> None:
        self.timers = ManualTimers()
        self.domains = {f"h{n}": f"d{n % domains}" for n in range(hosts)}
        self.own = {host: Counter({"s1": 1}) for host in self.domains}
        self.stopped: set[str] = set()
        self.not_ready: set[str] = set()
        self.totals_sent: Counter[str] = Counter()
        self.loads = {host: self._make_loads(host) for host in self.domains}
        for loads in self.loads.values():
            loads.start()
        self.timers.subscribe(REPORT_INTERVAL_S, self._report)

    def run(self, seconds: float) -> None:
        """Advance time in small steps."""
        for _ in range(round(seconds / 0.05)):
            self.timers.advance(0.05)

    def count(self, host: str) -> int:
        """Return the requests of the other hosts, as known to a host."""
        return self.loads[host].count_in_flight("s1")

    def deliver_total(self, sender: str, receivers: list[str], message) -> None:
        """Deliver a total after the latency."""
        if sender not in self.stopped:
            self.totals_sent[sender] += len(receivers)
            self.timers.call_later(
                LATENCY_S,
                lambda: [
                    self.loads[host].receive_total(sender, message)
                    for host in receivers
                ],
            )

    def _make_loads(self, host: str) -> FleetLoads:
        domain = self.domains[host]
        site = FleetSite(
            host,
            domain,
            self.domains.get,
            lambda: [
                other
                for other, its in self.domains.items()
                if its == domain and other not in self.stopped | self.not_ready
            ],
            lambda: list(self.domains),
        )
        outbox = _Outbox(self, host)
        return FleetLoads(site, self.timers, outbox, lambda: self.own[host])

    def _report(self) -> None:
        for sender in self.domains.keys() - self.stopped:
            for host in self.domains:
                if host != sender and self.domains[host] == self.domains[sender]:
                    self.loads[host].receive_report(sender, dict(self.own[sender]))


class _Outbox:
    def __init__(self, hosts: FakeHosts, sender: str) -> None:
        self._hosts = hosts
        self._sender = sender

    def send_to_all(self, hosts, message) -> None:
        self._hosts.deliver_total(self._sender, list(hosts), message)


class DomainTotalTest(TestCase):
    """Every host knows the loads of all failure domains within a second or so."""

    def test_all_hosts_are_counted(self):
        """Reports of the own domain and totals of the others add up to all hosts."""
        hosts = FakeHosts(60, 4)
        hosts.run(4.0)
        self.assertEqual({59}, {hosts.count(host) for host in hosts.domains})
        ages_s = [loads.get_age_s() for loads in hosts.loads.values()]
        self.assertLess(max(ages_s), REPORT_INTERVAL_S + 0.3)

    def test_reports_are_not_counted_beside_a_total(self):
        """A report of a host is not added to the total of its failure domain."""
        hosts = FakeHosts(60, 4)
        hosts.run(4.0)
        hosts.loads["h0"].receive_report("h1", {"s1": 1})
        self.assertEqual(59, hosts.count("h0"))

    def test_reports_are_used_when_totals_stop(self):
        """A failure domain that sends no totals counts by its hosts' reports."""
        hosts = FakeHosts(60, 4)
        hosts.run(4.0)
        hosts.stopped.update(host for host, d in hosts.domains.items() if d == "d1")
        hosts.loads["h0"].receive_report("h1", {"s1": 5})
        self.assertEqual(59, hosts.count("h0"))
        hosts.run(1.5)
        self.assertEqual(59 - 15 + 5, hosts.count("h0"))

    def test_host_is_counted_once_when_its_domain_becomes_known(self):
        """A report from before the host's domain was known is not added again."""
        hosts = FakeHosts(60, 4)
        hosts.run(4.0)
        domains, hosts.domains["h1"] = dict(hosts.domains), None
        hosts.loads["h0"].receive_report("h1", {"s1": 5})
        self.assertEqual(59 + 5, hosts.count("h0"))
        hosts.domains.update(domains)
        hosts.stopped.update(host for host, d in domains.items() if d == "d1")
        hosts.run(1.5)
        self.assertEqual(59 - 15 + 5, hosts.count("h0"))

    def test_another_host_takes_over(self):
        """The hosts of a domain send the totals of one that has failed."""
        hosts = FakeHosts(60, 4)
        hosts.run(4.0)
        hosts.stopped.add("h1")
        for loads in hosts.loads.values():
            loads.remove_host("h1")
        hosts.run(1.5)
        self.assertEqual({58}, {hosts.count(f"h{n}") for n in range(0, 60, 4)})

    def test_host_that_is_not_ready_sends_no_total(self):
        """A host that starts or drains leaves the totals to the others."""
        hosts = FakeHosts(60, 4)
        hosts.run(4.0)
        hosts.totals_sent.clear()
        hosts.not_ready.add("h1")
        hosts.run(1.0)
        self.assertEqual(0, hosts.totals_sent["h1"])
        self.assertEqual({59}, {hosts.count(f"h{n}") for n in range(0, 60, 4)})

    def test_small_fleet_sends_no_totals(self):
        """The reports of a small fleet are newer than totals would be."""
        hosts = FakeHosts(8, 3)
        hosts.run(4.0)
        self.assertEqual(0, hosts.totals_sent.total())

    def test_total_of_frozen_sender_is_old(self):
        """The age that a total states counts as age of the loads."""
        hosts = FakeHosts(2, 2)
        hosts.loads["h0"].receive_total("h1", DomainLoads("d1", 5, 4.0, 0.25, {}))
        self.assertAlmostEqual(4.0, hosts.loads["h0"].get_age_s())

    def test_age_grows_while_hosts_are_silent(self):
        """The age counts from the last reports."""
        hosts = FakeHosts(3, 1)
        hosts.run(1.0)
        self.assertLess(hosts.loads["h0"].get_age_s(), 0.6)
        hosts.stopped.update(("h1", "h2"))
        hosts.run(0.7)
        self.assertGreater(hosts.loads["h0"].get_age_s(), 0.6)

    def test_own_domain_is_not_counted_twice(self):
        """A total of the own failure domain is ignored."""
        hosts = FakeHosts(4, 2)
        message = DomainLoads("d0", 2, 0.0, 0.25, {"s1": 2})
        hosts.loads["h0"].receive_total("h2", message)
        self.assertEqual(0, hosts.count("h0"))

    def test_started_host_sends_no_total(self):
        """A host sends no total before the other hosts have had time to report."""
        hosts = FakeHosts(60, 4)
        hosts.run(0.9)
        self.assertEqual(0, hosts.totals_sent.total())

    def test_silent_host_is_not_counted(self):
        """The requests of a host are removed with its report."""
        hosts = FakeHosts(3, 1)
        hosts.run(1.0)
        self.assertEqual(2, hosts.count("h0"))
        hosts.loads["h0"].remove_host("h1")
        hosts.loads["h0"].remove_host("h1")
        self.assertEqual(1, hosts.count("h0"))

    def test_message_rate_is_bounded(self):
        """Totals add at most 20 messages per second to those of a host."""
        for count, domains in ((60, 4), (300, 10)):
            hosts = FakeHosts(count, domains)
            hosts.run(4.0)
            hosts.totals_sent.clear()
            hosts.run(10.0)
            sent = hosts.totals_sent.total() / count / 10.0
            self.assertLess(sent, 21, count)

    def test_mean_follows_load(self):
        """The mean of a server reaches its load within some seconds."""
        hosts = FakeHosts(60, 4)
        hosts.run(20.0)
        self.assertAlmostEqual(59, hosts.loads["h0"].get_mean_in_flight("s1"), 1)
        for own in hosts.own.values():
            own.clear()
        hosts.run(20.0)
        self.assertEqual(0.0, hosts.loads["h0"].get_mean_in_flight("s1"))

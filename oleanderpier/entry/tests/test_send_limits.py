"""Replays of a server that names a limit, to fleets on simulated time.

The bounds are the users': in any 4 s no more than one and a half times what the limit
allows, and five requests; and no server idle under its limit while callers are refused.
"""

import bisect
import random

from testtools import TestCase

from bench.emulator.outboxes import DelayedOutbox
from oleanderpier.entry.send_limits import SendLimits
from oleanderpier.fleet import LimitQuery
from oleanderpier.routing import LimitStatement, ServerStatements
from oleanderpier.routing.tests.fakes import make_server
from oleanderpier.utils import ManualTimers, rank_candidates

SERVER = make_server("s1", born_ms=5)
FLEET_SIZES = (7, 78, 300)
LIMITS_PER_S = (0.4, 3.0, 20.0)
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
MIN_USED_RATIO = 0.9
# Requests that callers send, as a multiple of the limit.
DEMAND_RATIO = 3.0
LENGTH_S = 60.0


class Fleet:
    """Hosts with callers, and one server that names a limit.

    Args:
        hosts: The number of hosts.
        per_s: The limit.

    Attributes:
        names: The names of all hosts.
        ready: The ready hosts, as each host sees them.
        silent: The hosts that neither send nor receive.
        sends_s: When a request was sent to the server.
    """

    def __init__(self, hosts: int, per_s: float) -> None:
        self.timers = ManualTimers()
        self.per_s = per_s
        self.names = [f"h{number}" for number in range(hosts)]
        self.ready = {name: list(self.names) for name in self.names}
        self.silent: set[str] = set()
        self.lost_links: set[tuple[str, str]] = set()
        self.sends_s: list[float] = []
        self.refused = 0
        self._rng = random.Random(hosts)
        self.statements = {name: ServerStatements() for name in self.names}
        self.limits = {name: self._make_limits(name) for name in self.names}
        for statements in self.statements.values():
            statements.record_limit("s1", LimitStatement(5, per_s, 0.0, ""))

    @property
    def owner(self) -> str:
        """The host that owns the limit while all are ready."""
        return rank_candidates("s1", self.names)[0]

    def _make_limits(self, name: str) -> SendLimits:
        return SendLimits(
            name,
            self.statements[name],
            lambda: self.ready[name],
            self.timers,
            random.Random(name),
            DelayedOutbox(self.timers, name, self._deliver),
        )

    def _deliver(self, sender: str, receiver: str, message) -> None:
        if {sender, receiver} & self.silent or (sender, receiver) in self.lost_links:
            return
        if isinstance(message, LimitQuery):
            self.limits[receiver].receive_query(sender, message)
        else:
            self.limits[receiver].receive_reply(sender, message)

    def start_callers(self, hosts: list[str]) -> None:
        """Let callers send requests to some hosts, at random."""
        rate_per_s = DEMAND_RATIO * self.per_s

        def arrive() -> None:
            self.timers.call_later(self._rng.expovariate(rate_per_s), arrive)
            self._handle_request(self._rng.choice(hosts))

        self.timers.call_later(self._rng.expovariate(rate_per_s), arrive)

    def _handle_request(self, host: str) -> None:
        if host in self.silent:
            return
        if self.statements[host].is_willing(SERVER, self.timers.now()):
            self.limits[host].request_send(SERVER, self._record_decision)
        else:
            self.refused += 1

    def _record_decision(self, may_send: bool) -> None:
        if may_send:
            self.sends_s.append(self.timers.now())
        else:
            self.refused += 1

    def set_ready(self, names: list[str], seen_by: list[str] | None = None) -> None:
        """Set which hosts some hosts, or all, take for ready."""
        for name in seen_by or self.names:
            self.ready[name] = list(names)

    def count_most(self) -> int:
        """Return the most requests that the server got in any ``WINDOW_S``."""
        return max(
            bisect.bisect_left(self.sends_s, start_s + WINDOW_S) - index
            for index, start_s in enumerate(self.sends_s)
        )


class SendLimitsTest(TestCase):
    """The limit holds for all hosts together, and is used."""

    def each_fleet(self):
        """Yield fleets of all sizes with all limits."""
        for hosts in FLEET_SIZES:
            for per_s in LIMITS_PER_S:
                yield Fleet(hosts, per_s)

    def check_limit(self, fleet: Fleet) -> None:
        """Check the upper bound."""
        allowed = LIMIT_FACTOR * WINDOW_S * fleet.per_s + LIMIT_EXTRA
        case = f"{len(fleet.names)} hosts, {fleet.per_s} a second"
        self.assertLessEqual(fleet.count_most(), allowed, case)

    def check_used(self, fleet: Fleet, from_s: float, to_s: float) -> None:
        """Check that the limit is used while callers are refused.

        One request may be on either side of the ends of the time.
        """
        sent = sum(from_s <= at_s < to_s for at_s in fleet.sends_s)
        taken = fleet.per_s * (to_s - from_s)
        case = f"{len(fleet.names)} hosts, {fleet.per_s} a second"
        self.assertGreater(fleet.refused, 0)
        self.assertGreaterEqual(sent, MIN_USED_RATIO * taken - 1, case)

    def test_callers_at_all_hosts(self):
        """Far more requests than the server takes, each host has a few."""
        for fleet in self.each_fleet():
            fleet.start_callers(fleet.names)
            fleet.timers.advance(LENGTH_S)
            self.check_limit(fleet)
            self.check_used(fleet, 5.0, LENGTH_S)

    def test_callers_crowd_at_one_host(self):
        """The limit is not divided by hosts without callers."""
        for fleet in self.each_fleet():
            fleet.start_callers(fleet.names[:1])
            fleet.timers.advance(LENGTH_S)
            self.check_limit(fleet)
            self.check_used(fleet, 5.0, LENGTH_S)

    def test_crowd_moves_from_host_to_host(self):
        """What one of them has sent counts for the next."""
        for fleet in self.each_fleet():
            fleet.start_callers(fleet.names[:1])
            fleet.timers.advance(LENGTH_S / 2)
            fleet.start_callers(fleet.names[1:2])
            fleet.timers.advance(LENGTH_S / 2)
            self.check_limit(fleet)
            self.check_used(fleet, 5.0, LENGTH_S)

    def test_owner_stands_still(self):
        """The others take it for ready and use their shares."""
        for fleet in self.each_fleet():
            fleet.start_callers(fleet.names)
            fleet.timers.advance(LENGTH_S / 3)
            fleet.silent.add(fleet.owner)
            fleet.timers.advance(LENGTH_S / 3)
            fleet.silent.clear()
            fleet.timers.advance(LENGTH_S / 3)
            self.check_limit(fleet)
            self.check_used(fleet, 2 * LENGTH_S / 3 + 2.0, LENGTH_S)

    def test_owners_restart_one_after_the_other(self):
        """Each next owner knows nothing of what was sent before."""
        for fleet in self.each_fleet():
            fleet.start_callers(fleet.names)
            ready = rank_candidates("s1", fleet.names)
            fleet.timers.advance(LENGTH_S / 3)
            for number in range(5):
                fleet.set_ready(ready[:number] + ready[number + 1 :])
                fleet.timers.advance(2.0)
            fleet.set_ready(ready)
            fleet.timers.advance(LENGTH_S / 3)
            self.check_limit(fleet)
            self.check_used(fleet, 5.0, 2 * LENGTH_S / 3 + 10.0)

    def test_hosts_disagree_on_the_owner(self):
        """Half of them do not see the owner as ready for two seconds."""
        for fleet in self.each_fleet():
            fleet.start_callers(fleet.names)
            fleet.timers.advance(LENGTH_S / 2)
            others = [name for name in fleet.names if name != fleet.owner]
            fleet.set_ready(others, others[::2])
            fleet.timers.advance(2.0)
            fleet.set_ready(fleet.names)
            fleet.timers.advance(LENGTH_S / 2)
            self.check_limit(fleet)

    def test_owner_gets_no_queries_of_half_of_the_hosts(self):
        """One way of their streams is lost."""
        for fleet in self.each_fleet():
            fleet.start_callers(fleet.names)
            fleet.timers.advance(LENGTH_S / 2)
            fleet.lost_links = {(name, fleet.owner) for name in fleet.names[::2]}
            fleet.timers.advance(LENGTH_S / 2)
            self.check_limit(fleet)
            self.check_used(fleet, LENGTH_S / 2, LENGTH_S)

    def test_limit_ends(self):
        """The owner grants what asks still come, and then nobody asks."""
        fleet = Fleet(7, 3.0)
        fleet.start_callers(fleet.names)
        fleet.timers.advance(5.0)
        sent = len(fleet.sends_s)
        end = LimitStatement(5, float("inf"), 5.0, "")
        fleet.statements[fleet.owner].record_limit("s1", end)
        fleet.timers.advance(5.0)
        self.assertGreater(len(fleet.sends_s) - sent, 0.8 * 5.0 * DEMAND_RATIO * 3.0)

"""Replays of hosts that share a server under permits, on simulated time.

The bounds are those of the specification: never more requests than the room of the
server while its owner can be asked, and in any second no more requests to a cold server
than one and a half times its rate and five, whichever hosts can ask.
"""

import math

from testtools import TestCase

from oleanderpier.entry.tests.permit_fleet import SERVER, SLOTS, PermitFleet
from oleanderpier.fleet import (
    PrefillEnd,
    ServerPermitQuery,
    ServerPermitRelease,
    ServerPermitReply,
)
from oleanderpier.routing import LoadStatement, PermitOutcome
from oleanderpier.utils import rank_candidates

GRANTED, FULL = PermitOutcome.GRANTED, PermitOutcome.FULL
NO_OWNER = PermitOutcome.NOT_OWNER
ROOM = SLOTS + math.ceil(SLOTS / 5)
FLEET_SIZES = (3, 83, 131)
COLD_PER_S = 11.0
MAX_COLD_SENDS = 21.5
WORK_S = 0.07
REPLY_TIMEOUT_S = 0.1
SILENT_OWNER_WAIT_S = 1.0


class RoomTest(TestCase):
    """The requests of all hosts together stay within the room of the server."""

    def test_callers_at_all_hosts(self):
        """Far more requests than the server takes, with waits and without."""
        for hosts in FLEET_SIZES:
            for max_wait_s in (0.0, 0.4):
                fleet = PermitFleet(hosts)
                fleet.start_callers(fleet.names, 200.0, WORK_S, max_wait_s)
                fleet.timers.advance(10.0)
                self.assertLessEqual(fleet.peak, ROOM, (hosts, max_wait_s))
                # The server runs SLOTS requests all of the time.
                used = len(fleet.sends_s) * WORK_S / (10.0 * SLOTS)
                self.assertGreater(used, 0.9, (hosts, max_wait_s))

    def test_messages_of_a_request(self):
        """A query, a reply and a release; none if this host is the owner."""
        fleet = PermitFleet(5)
        request = fleet.ask_now(fleet.others[0])
        request.sent.end_prefill()
        request.sent.release()
        request.sent.release()
        fleet.timers.advance(0.1)
        self.assertEqual(GRANTED, request.answer.outcome)
        once = {ServerPermitQuery: 1, ServerPermitReply: 1, ServerPermitRelease: 1}
        self.assertEqual(once, fleet.messages)
        own = fleet.ask_now(fleet.owner)
        own.sent.release()
        self.assertEqual(once, fleet.messages)
        self.assertEqual(
            (GRANTED, 0), (own.answer.outcome, fleet.count_permits(fleet.owner))
        )

    def test_end_of_long_prefill(self):
        """It is sent for prompts that delay the requests beside them."""
        fleet = PermitFleet(5)
        long = fleet.ask_now(fleet.others[0], uncached_tokens=12_000)
        other = fleet.ask_now(fleet.others[1], uncached_tokens=800)
        self.assertEqual(PermitOutcome.PREFILLING, other.answer.outcome)
        long.sent.end_prefill()
        fleet.timers.advance(0.1)
        self.assertEqual(1, fleet.messages[PrefillEnd])
        other = fleet.ask_now(fleet.others[1], uncached_tokens=800)
        self.assertEqual(GRANTED, other.answer.outcome)

    def test_caller_leaves_while_its_request_waits(self):
        """Its query is withdrawn, and the next one gets the room."""
        fleet = PermitFleet(5)
        held = [fleet.ask_now(fleet.others[0]) for _ in range(ROOM)]
        left = fleet.ask(fleet.others[0], max_wait_s=2.0)
        fleet.timers.advance(0.02)
        waiting = fleet.ask(fleet.others[1], max_wait_s=2.0)
        fleet.timers.advance(0.02)
        left.sent.release()
        fleet.timers.advance(0.02)
        held[0].sent.release()
        fleet.timers.advance(0.02)
        self.assertIsNone(left.answer)
        self.assertEqual(GRANTED, waiting.answer.outcome)
        self.assertEqual(ROOM, fleet.count_permits(fleet.owner))

    def test_wait_ends_without_a_permit(self):
        """The owner says so in time; it is not taken for silent."""
        fleet = PermitFleet(5)
        for _ in range(ROOM):
            fleet.ask_now(fleet.others[0])
        waiting = fleet.ask(fleet.others[1], max_wait_s=0.3)
        fleet.timers.advance(0.3 + REPLY_TIMEOUT_S)
        self.assertEqual(PermitOutcome.WAIT_TOO_LONG, waiting.answer.outcome)
        metrics = fleet.metrics[fleet.others[1]].registry
        name = "oleanderpier_permit_timeouts_total"
        self.assertEqual(0, metrics.get_sample_value(name))

    def test_stated_load_reaches_the_owner(self):
        """A server that is 4 times slower gets fewer requests."""
        fleet = PermitFleet(5)
        request = fleet.ask_now(fleet.others[0])
        loads = fleet.requests[fleet.others[0]]._statements.loads
        loads.record(SERVER, LoadStatement(1, 0, SLOTS, 4.0), fleet.timers.now())
        request.sent.release()
        fleet.timers.advance(0.02)
        outcomes = []
        for _ in range(3):
            asked = fleet.ask(fleet.others[0])
            fleet.timers.advance(0.02)
            outcomes.append(asked.answer.outcome)
        self.assertEqual([GRANTED, GRANTED, FULL], outcomes)


class FailureTest(TestCase):
    """Hosts go on without an owner, and no owner keeps what nobody holds."""

    def test_owner_is_killed(self):
        """It costs one timeout; what waits goes on when it is known to be gone."""
        fleet = PermitFleet(5)
        host = fleet.others[0]
        for _ in range(ROOM):
            fleet.ask_now(host)
        waiting = fleet.ask(host, max_wait_s=3.0)
        fleet.timers.advance(0.1)
        fleet.killed.add(fleet.owner)
        asked_s = fleet.timers.now()
        first = fleet.ask_now(host)
        self.assertEqual(NO_OWNER, first.answer.outcome)
        self.assertAlmostEqual(REPLY_TIMEOUT_S, first.answered_s - asked_s, 3)
        second = fleet.ask(host)
        self.assertEqual(NO_OWNER, second.answer.outcome)
        self.assertIsNone(waiting.answer)
        fleet.remove_host(fleet.owner)
        self.assertEqual(NO_OWNER, waiting.answer.outcome)

    def test_silent_owner_is_asked_ever_more_seldom(self):
        """Otherwise requests wait in vain while many hosts are out of reach."""
        fleet = PermitFleet(5)
        fleet.killed.add(fleet.owner)
        waited = 0
        for _ in range(40):
            asked_s = fleet.timers.now()
            request = fleet.ask_now(fleet.others[0])
            waited += request.answered_s > asked_s
            fleet.timers.advance(0.25)
        self.assertLessEqual(waited, 4)

    def test_owner_that_replies_again_is_not_remembered_as_silent(self):
        """An entry was kept for each host that was ever silent."""
        fleet = PermitFleet(5)
        fleet.frozen.add(fleet.owner)
        fleet.ask_now(fleet.others[0])
        requests = fleet.requests[fleet.others[0]]
        self.assertEqual({fleet.owner}, set(requests._silence_known_s))
        fleet.go_on()
        fleet.timers.advance(SILENT_OWNER_WAIT_S)
        self.assertEqual(GRANTED, fleet.ask_now(fleet.others[0]).answer.outcome)
        self.assertEqual({}, requests._silence_known_s)

    def test_new_owner_counts_reported_requests(self):
        """It does not know the permits of the previous owner for 3 s."""
        fleet = PermitFleet(5)
        fleet.killed.add(fleet.owner)
        fleet.remove_host(fleet.owner)
        fleet.reported = ROOM
        host = rank_second(fleet)
        asker = next(name for name in fleet.others if name != host)
        self.assertEqual(FULL, fleet.ask_now(asker).answer.outcome)
        fleet.reported = 0
        fleet.timers.advance(3.0)
        self.assertEqual(GRANTED, fleet.ask_now(asker).answer.outcome)

    def test_room_after_the_owner_was_killed(self):
        """The new owner keeps the bound."""
        fleet = PermitFleet(83)
        fleet.start_callers(fleet.names, 150.0, WORK_S, 0.4)
        fleet.timers.advance(3.0)
        killed = fleet.owner
        fleet.killed.add(killed)
        fleet.timers.advance(1.0)
        fleet.remove_host(killed)
        fleet.timers.advance(3.0)
        fleet.peak = fleet.in_flight
        fleet.timers.advance(5.0)
        self.assertLessEqual(fleet.peak, ROOM)

    def test_owner_stands_still(self):
        """When it goes on, it keeps no permits of queries that were given up."""
        fleet = PermitFleet(83)
        fleet.start_callers(fleet.others, 100.0, WORK_S, 0.4)
        fleet.timers.advance(2.0)
        fleet.frozen.add(fleet.owner)
        fleet.timers.advance(2.0)
        fleet.go_on()
        fleet.timers.advance(2.0)
        fleet.peak = fleet.in_flight
        fleet.timers.advance(4.0)
        self.assertLessEqual(fleet.peak, ROOM)
        fleet.killed = set(fleet.others)
        fleet.timers.advance(6.0)
        self.assertEqual(0, fleet.count_permits(fleet.owner))

    def test_link_fails_in_one_direction(self):
        """The permits of a host that gets no replies, or sends no queries, end."""
        for is_query_lost in (True, False):
            fleet = PermitFleet(5)
            host = fleet.others[0]
            link = (host, fleet.owner) if is_query_lost else (fleet.owner, host)
            fleet.lost.add(link)
            asked = [fleet.ask_now(host) for _ in range(3)]
            outcomes = [request.answer.outcome for request in asked]
            self.assertEqual([NO_OWNER] * 3, outcomes, is_query_lost)
            for request in asked:
                request.sent.release()
            fleet.timers.advance(0.1)
            self.assertEqual(0, fleet.count_permits(fleet.owner), is_query_lost)
            other = fleet.ask_now(fleet.others[1])
            self.assertEqual(GRANTED, other.answer.outcome, is_query_lost)

    def test_release_is_lost(self):
        """The permit expires after the deadline of its request."""
        fleet = PermitFleet(5)
        host = fleet.others[0]
        held = [fleet.ask_now(host, expires_after_s=2.0) for _ in range(ROOM)]
        fleet.lost.add((host, fleet.owner))
        for request in held:
            request.sent.release()
        self.assertEqual(FULL, fleet.ask_now(fleet.others[1]).answer.outcome)
        fleet.timers.advance(2.5)
        self.assertEqual(GRANTED, fleet.ask_now(fleet.others[1]).answer.outcome)

    def test_host_dies_with_permits(self):
        """What waits gets its room."""
        fleet = PermitFleet(5)
        for _ in range(ROOM):
            fleet.ask_now(fleet.others[0])
        waiting = fleet.ask(fleet.others[1], max_wait_s=2.0)
        fleet.timers.advance(0.1)
        fleet.killed.add(fleet.others[0])
        fleet.remove_host(fleet.others[0])
        fleet.timers.advance(0.1)
        self.assertEqual(GRANTED, waiting.answer.outcome)

    def test_hosts_disagree_on_the_owner(self):
        """A host that does not own the server says so, and grants nothing."""
        fleet = PermitFleet(5)
        fleet.set_ready(fleet.others, [fleet.others[0]])
        second = rank_second(fleet)
        asker = next(name for name in fleet.others if name != second)
        fleet.set_ready(fleet.names)
        fleet.set_ready(fleet.others, [asker])
        request = fleet.ask(asker)
        fleet.timers.advance(0.02)
        self.assertEqual(NO_OWNER, request.answer.outcome)
        self.assertEqual(0, fleet.count_permits(second))


class ColdTest(TestCase):
    """A cold server gets no more than its bound in any second."""

    def check_bound(self, fleet: PermitFleet, case: str) -> None:
        """Check the upper bound."""
        self.assertLessEqual(fleet.count_most_in_a_second(), MAX_COLD_SENDS, case)
        self.assertGreater(len(fleet.sends_s), 0, case)

    def make_fleet(self, hosts: int = 83, slots: int = 0) -> PermitFleet:
        """Return a fleet with far more callers than a cold server takes."""
        fleet = PermitFleet(hosts, slots, cold_per_s=COLD_PER_S)
        fleet.start_callers(fleet.names, 150.0, WORK_S)
        return fleet

    def test_all_hosts_ask(self):
        """The rate is used, and the bound holds."""
        for hosts in FLEET_SIZES:
            fleet = self.make_fleet(hosts)
            fleet.timers.advance(20.0)
            self.check_bound(fleet, f"{hosts} hosts")
            self.assertGreater(len(fleet.sends_s), 20.0 * 0.6 * COLD_PER_S)

    def test_owner_is_killed_or_stands_still(self):
        """The others use their shares meanwhile."""
        for kind in ("killed", "frozen"):
            fleet = self.make_fleet()
            fleet.timers.advance(5.0)
            getattr(fleet, kind).add(fleet.owner)
            fleet.timers.advance(5.0)
            if kind == "frozen":
                fleet.go_on()
            else:
                fleet.remove_host(fleet.owner)
            fleet.timers.advance(5.0)
            self.check_bound(fleet, kind)

    def test_hosts_disagree_on_the_owner(self):
        """Two owners that both grant, and hosts that can ask neither."""
        fleet = self.make_fleet()
        fleet.timers.advance(5.0)
        fleet.set_ready(fleet.others, [rank_second(fleet), *fleet.others[::2]])
        fleet.timers.advance(5.0)
        fleet.lost = {(fleet.owner, name) for name in fleet.others[1::4]}
        fleet.timers.advance(5.0)
        self.check_bound(fleet, "two owners")

    def test_crowd_after_a_quiet_time(self):
        """Hosts that can't ask the owner do not save their shares up."""
        fleet = PermitFleet(83, 0, cold_per_s=COLD_PER_S)
        for name in fleet.others:
            fleet.lost |= {(fleet.owner, name)}
            fleet.ask(name)
        fleet.timers.advance(50.0)
        for _ in range(3):
            for name in fleet.others:
                fleet.timers.advance(0.001)
                fleet._handle_request(name, WORK_S, 0.0)
        fleet.start_callers(fleet.names, 150.0, WORK_S)
        fleet.timers.advance(5.0)
        self.check_bound(fleet, "crowd")

    def test_fleet_is_divided(self):
        """Parts without most of the hosts grant no more than the shares."""
        fleet = self.make_fleet()
        fleet.timers.advance(5.0)
        parts = [fleet.names[number::3] for number in range(3)]
        for part in parts:
            fleet.set_ready(part, part)
        fleet.timers.advance(10.0)
        self.check_bound(fleet, "three parts")


def rank_second(fleet: PermitFleet) -> str:
    """Return the host that owns the server when its owner is gone."""
    return rank_candidates(SERVER.identity, fleet.others)[0]

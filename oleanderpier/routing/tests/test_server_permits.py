"""Tests of the permits of servers: room, rates, prefill, waiting and lost holders."""

import time

from testtools import TestCase

from oleanderpier.routing import (
    PermitDemand,
    PermitHolder,
    PermitOutcome,
    PermitRate,
    ServerKey,
    ServerPermits,
    StatedLoad,
)
from oleanderpier.routing.permit_states import (
    FIRST_MEAN_S,
    RATE_KEPT_S,
    SLOW_FACTOR_LIFETIME_S,
)
from oleanderpier.routing.server_permits import UNUSED_KEPT_S
from oleanderpier.routing.tests.permit_plays import make_demand

SERVER = ServerKey("s1", 5)
LONG_TOKENS = 12_000
MAX_DECISION_S = 50e-6


class ServerPermitsCase(TestCase):
    """Helpers."""

    def setUp(self):
        """Make an owner without permits."""
        super().setUp()
        self.number = 0
        self.reset()

    def reset(self) -> None:
        """Begin with an owner without permits."""
        self.permits = ServerPermits()

    def make(self, **fields) -> PermitDemand:
        """Return a query with a number of its own."""
        self.number += 1
        return make_demand(self.number, **fields)

    def ask(self, now_s: float = 0.0, server: ServerKey = SERVER, **fields):
        """Return the decision on a new query."""
        return self.permits.request(server, self.make(**fields), now_s)

    def fill(self, permits: int, now_s: float = 0.0, **fields) -> list[PermitHolder]:
        """Get permits; return their holders."""
        holders = []
        for _ in range(permits):
            query = self.make(**fields)
            decision = self.permits.request(SERVER, query, now_s)
            self.assertEqual(PermitOutcome.GRANTED, decision.outcome)
            holders.append(query.holder)
        return holders

    def enqueue(self, now_s: float = 0.0, **fields) -> PermitHolder:
        """Queue a query; return its holder."""
        query = self.make(**{"max_wait_s": 9.0, **fields})
        decision = self.permits.request(SERVER, query, now_s)
        self.assertEqual(PermitOutcome.QUEUED, decision.outcome)
        return query.holder


class RoomTest(ServerPermitsCase):
    """Guards against more requests than a server's room, and against idle slots."""

    def test_room_is_the_slots_and_a_fifth(self):
        """Rounded up; the room of 16 slots is 20."""
        for slots, room in ((1, 2), (5, 6), (6, 8), (16, 20)):
            self.reset()
            self.fill(room, slots=slots)
            decision = self.ask(slots=slots)
            self.assertEqual((PermitOutcome.FULL, room), (decision[0], decision[2]))

    def test_unknown_slots_are_no_limit(self):
        """A server that has not stated its load gets requests as before."""
        self.fill(500, slots=0)
        self.assertEqual(
            PermitOutcome.GRANTED, self.ask(slots=0, max_wait_s=1.0).outcome
        )

    def test_latest_slots_count(self):
        """Of a query, and of what the server stated at the end of a request."""
        holders = self.fill(20, slots=16)
        self.assertEqual(PermitOutcome.FULL, self.ask(slots=0).outcome)
        self.assertEqual(PermitOutcome.GRANTED, self.ask(slots=17).outcome)
        self.permits.release(holders[0], 0.0, StatedLoad(1, 0, 4, None))
        self.assertEqual(PermitOutcome.FULL, self.ask(slots=0).outcome)

    def test_slow_server_has_less_room_for_as_long_as_it_is_known(self):
        """At 2.5 times the usual time per request, 16 slots do the work of 6.4."""
        holders = self.fill(9, slots=16)
        slow = StatedLoad(8, 0, 16, 2.5)
        self.permits.release(holders.pop(), 1.0, slow)
        self.assertEqual(PermitOutcome.FULL, self.ask(1.0, slots=16).outcome)
        self.permits.release(holders.pop(), 1.0, None)
        self.fill(1, 1.0, slots=16)
        late_s = 1.0 + SLOW_FACTOR_LIFETIME_S
        self.assertEqual(PermitOutcome.FULL, self.ask(late_s, slots=16).outcome)
        self.fill(12, late_s + 0.01, slots=16)

    def test_speed_of_the_moment_does_not_bind_long_requests(self):
        """They last longer than the speed, so that slots would be idle after it."""
        for _ in range(10):
            holders = self.fill(16, slots=16)
            for holder in holders:
                self.permits.release(holder, 1.4, None)
        holders = self.fill(20, 1.4, slots=16)
        self.permits.release(holders.pop(), 1.5, StatedLoad(8, 0, 16, 2.5))
        self.assertEqual(PermitOutcome.GRANTED, self.ask(1.5, slots=16).outcome)

    def test_status_has_the_inputs_of_decisions(self):
        """Logs explain a refusal by them and their age."""
        self.assertIsNone(self.permits.get_status(SERVER, 0.0))
        holders = self.fill(9, slots=16, uncached_tokens=1500, max_wait_s=1.0)
        self.permits.release(holders[0], 1.0, StatedLoad(8, 0, 16, 2.5))
        self.enqueue(1.1, slots=16)
        status = self.permits.get_status(SERVER, 1.2)
        self.assertEqual((8, 1, 8, 16, 2.5), status[:5])
        self.assertAlmostEqual(0.2, status.slow_factor_age_s)
        self.assertEqual(8 * 1500, status.prefill_tokens)
        self.assertEqual(1.0, self.permits.get_status(SERVER, 2.0).slow_factor)

    def test_fast_server_has_no_more_room_than_its_slots(self):
        """And a very slow one has room for one request and one on the way."""
        holder = self.fill(1, slots=16)[0]
        self.permits.release(holder, 0.0, StatedLoad(0, 0, 16, 0.5))
        holders = self.fill(20, slots=16)
        self.assertEqual(PermitOutcome.FULL, self.ask(slots=16).outcome)
        for holder in holders:
            self.permits.release(holder, 0.0, StatedLoad(0, 0, 16, 99.0))
        self.fill(2, slots=16)
        self.assertEqual(PermitOutcome.FULL, self.ask(slots=16).outcome)

    def test_each_run_of_a_server_has_its_own_permits(self):
        """Requests to the run before do not fill the present one."""
        self.fill(5)
        restarted = SERVER._replace(born_ms=6)
        self.assertEqual(
            PermitOutcome.GRANTED, self.ask(server=restarted, slots=4).outcome
        )

    def test_repeated_query_gets_the_same_permit(self):
        """A message that arrives twice does not take two slots."""
        query = self.make()
        self.permits.request(SERVER, query, 0.0)
        decision = self.permits.request(SERVER, query, 0.1)
        self.assertEqual((PermitOutcome.GRANTED, 0.0, 1), decision)
        self.fill(4)
        queued = self.make(max_wait_s=9.0)
        self.permits.request(SERVER, queued, 0.2)
        again = self.permits.request(SERVER, queued, 0.2)
        self.assertEqual(PermitOutcome.QUEUED, again.outcome)
        self.assertEqual(1, self.permits.count_queued())

    def test_new_owner_counts_what_hosts_report(self):
        """Else it grants the whole room beside the permits of the owner before."""
        self.permits.assume_in_flight(SERVER, 4, until_s=3.0)
        self.fill(1)
        self.assertEqual(4, self.permits.count_in_flight(SERVER, 0.0))
        self.permits.assume_in_flight(SERVER, 5, until_s=3.0)
        self.assertEqual(PermitOutcome.FULL, self.ask(2.9).outcome)
        self.assertEqual(PermitOutcome.GRANTED, self.ask(3.0).outcome)


class RateTest(ServerPermitsCase):
    """Guards against more requests per second than a server takes."""

    RATE = PermitRate(4.0, 2.0)

    def test_new_bucket_is_empty(self):
        """The owner before may have granted the burst just now."""
        decision = self.ask(rate=self.RATE)
        self.assertEqual((PermitOutcome.USED_UP, 0.25, 0), decision)
        self.assertEqual(PermitOutcome.GRANTED, self.ask(0.25, rate=self.RATE).outcome)

    def test_request_does_not_wait_for_a_rate(self):
        """It goes to another server."""
        decision = self.ask(rate=self.RATE, max_wait_s=5.0)
        self.assertEqual(PermitOutcome.USED_UP, decision.outcome)

    def test_burst_is_the_most_after_idle_time(self):
        """Two, and then one in a quarter of a second."""
        self.ask(rate=self.RATE, slots=0)
        self.fill(2, 60.0, rate=self.RATE, slots=0)
        self.assertEqual(
            PermitOutcome.USED_UP, self.ask(60.2, rate=self.RATE, slots=0).outcome
        )

    def test_rate_holds_for_hosts_that_do_not_know_it_yet(self):
        """Hosts learn at different times that a server is cold."""
        self.ask(rate=self.RATE)
        self.assertEqual(PermitOutcome.USED_UP, self.ask(0.1).outcome)
        higher = PermitRate(1000.0, 2.0)
        self.assertEqual(PermitOutcome.USED_UP, self.ask(0.1, rate=higher).outcome)
        late_s = RATE_KEPT_S + 0.1
        self.assertEqual(PermitOutcome.GRANTED, self.ask(late_s).outcome)

    def test_queued_requests_are_granted_at_the_rate(self):
        """Also if the last query with the rate is long ago, and there is room."""
        holders = self.fill(5)
        for _ in range(3):
            self.enqueue(rate=PermitRate(1.0, 2.0))
        granted_s = []
        for holder in holders:
            granted_s += [0.0] * len(self.permits.release(holder, 0.0))
        for step in range(1, 400):
            decided = self.permits.remove_expired(step / 100)
            granted_s += [step / 100] * len(decided)
            self.assertTrue(all(each.outcome == 0 for _, each in decided))
        self.assertEqual([1.0, 2.0, 3.0], granted_s)


class PrefillTest(ServerPermitsCase):
    """Guards against long prompts that delay each other and the short ones."""

    def test_requests_go_elsewhere_while_a_long_prompt_is_in_prefill(self):
        """A long one and short ones, until its first event."""
        holder = self.fill(1, uncached_tokens=LONG_TOKENS)[0]
        for tokens in (LONG_TOKENS, 100):
            decision = self.ask(uncached_tokens=tokens)
            self.assertEqual(PermitOutcome.PREFILLING, decision.outcome)
            self.assertTrue(0.1 < decision.wait_s < 0.15, decision)
        self.assertEqual([], self.permits.end_prefill(holder, 0.13))
        self.fill(1, 0.13, uncached_tokens=LONG_TOKENS)

    def test_request_that_may_wait_is_granted(self):
        """All servers are busy with long prompts then."""
        self.fill(1, uncached_tokens=LONG_TOKENS)
        self.fill(1, uncached_tokens=LONG_TOKENS, max_wait_s=0.5)

    def test_short_prompts_do_not_count(self):
        """Their hosts send no end of prefill."""
        self.fill(15, slots=16, uncached_tokens=900)

    def test_prefill_ends_with_the_permit(self):
        """A request that fails before its first event blocks nothing."""
        for end in (self.permits.release, self.permits.end_prefill):
            holder = self.fill(1, uncached_tokens=LONG_TOKENS)[0]
            end(holder, 0.1)
            self.permits.end_prefill(holder, 0.1)
            self.assertEqual(0, self.permits._states[SERVER].prefill_tokens)

    def test_expected_wait_follows_the_measured_speed(self):
        """A server that takes 1 s for a prompt is not expected to take 0.14 s."""
        for number in range(60):
            holder = self.fill(1, number, uncached_tokens=LONG_TOKENS)[0]
            self.permits.end_prefill(holder, number + 0.9)
            self.permits.release(holder, number + 0.9)
        self.fill(1, 100.0, uncached_tokens=LONG_TOKENS)
        wait_s = self.ask(100.3).wait_s
        self.assertTrue(0.5 < wait_s < 0.7, wait_s)


class WaitingTest(ServerPermitsCase):
    """Guards against requests that wait for what they can't get."""

    def test_released_room_goes_to_the_queue(self):
        """In its order, one for each release."""
        holders = self.fill(5)
        second = self.enqueue(urgency=2)
        first = self.enqueue(urgency=1)
        for holder, queued in zip(holders, (first, second), strict=False):
            decided = self.permits.release(holder, 0.1)
            self.assertEqual([(queued, (PermitOutcome.GRANTED, 0.0, 5))], decided)
        self.assertEqual([], self.permits.release(holders[2], 0.1))
        self.assertEqual(4, self.permits.count_in_flight(SERVER, 0.1))

    def test_wait_above_the_allowed_one_is_refused_at_once(self):
        """With the expected wait: requests ahead / slots x mean time."""
        self.fill(5)
        step_s = FIRST_MEAN_S / 4
        for place in range(1, 5):
            decision = self.ask(max_wait_s=place * step_s - 0.001)
            self.assertEqual(PermitOutcome.WAIT_TOO_LONG, decision.outcome)
            self.assertAlmostEqual(place * step_s, decision.wait_s)
            self.assertAlmostEqual(place * step_s, self.ask().wait_s)
            self.enqueue(max_wait_s=place * step_s + 0.001)

    def test_queued_request_is_refused_when_its_wait_becomes_too_long(self):
        """More urgent requests have come, or nothing has ended."""
        self.fill(5)
        queued = self.enqueue(urgency=3, max_wait_s=0.06)
        self.assertEqual([], self.permits.remove_expired(0.0))
        for _ in range(2):
            self.enqueue(urgency=0)
        decided = self.permits.remove_expired(0.01)
        self.assertEqual([queued], [holder for holder, _ in decided])
        self.assertEqual(PermitOutcome.WAIT_TOO_LONG, decided[0][1].outcome)
        self.assertTrue(decided[0][1].wait_s > 0.05, decided)
        silent = self.enqueue(0.02, urgency=0, max_wait_s=0.2)
        refused_s = next(
            step / 100
            for step in range(2, 100)
            if silent in dict(self.permits.remove_expired(step / 100))
        )
        self.assertTrue(refused_s <= 0.22, refused_s)

    def test_request_whose_time_is_over_gets_no_permit(self):
        """Its host has stopped waiting; the permit would stay unused."""
        holders = self.fill(5)
        queued = self.enqueue(max_wait_s=0.1)
        decided = self.permits.release(holders[0], 0.101)
        self.assertEqual(queued, decided[0][0])
        self.assertEqual(PermitOutcome.WAIT_TOO_LONG, decided[0][1].outcome)
        self.assertEqual(4, self.permits.count_in_flight(SERVER, 0.101))

    def test_queue_holds_four_times_the_slots(self):
        """The next one of equal rank is refused."""
        self.fill(5)
        for number in range(16):
            self.enqueue(workspace=f"q{number}", max_wait_s=99.0)
        decision = self.ask(workspace="other", max_wait_s=99.0)
        self.assertEqual(PermitOutcome.WAIT_TOO_LONG, decision.outcome)
        self.assertEqual(16, self.permits.count_queued())

    def test_full_queue_of_others_does_not_keep_out_who_comes_before_them(self):
        """Neither repeats, nor one workspace, nor less urgent requests do."""
        kinds = (
            ({"is_repeat": True}, {}),
            ({"workspace": "many"}, {"workspace": "few"}),
            ({"urgency": 2}, {"urgency": 1}),
        )
        for queued_fields, fields in kinds:
            self.reset()
            holders = self.fill(5, workspace="many")
            queued = [self.enqueue(**queued_fields, max_wait_s=99.0) for _ in range(16)]
            first = self.enqueue(**fields, max_wait_s=99.0)
            decided = self.permits.release(holders[0], 0.0)
            self.assertEqual([queued[-1], first], [holder for holder, _ in decided])
            outcomes = [decision.outcome for _, decision in decided]
            self.assertEqual(
                [PermitOutcome.WAIT_TOO_LONG, PermitOutcome.GRANTED], outcomes
            )

    def test_displaced_request_hears_of_it_without_a_release(self):
        """At the next interval."""
        self.fill(5)
        queued = [self.enqueue(is_repeat=True, max_wait_s=99.0) for _ in range(16)]
        self.enqueue(max_wait_s=99.0)
        decided = self.permits.remove_expired(0.0)
        self.assertEqual([queued[-1]], [holder for holder, _ in decided])

    def test_caller_that_leaves_the_queue_gets_no_permit(self):
        """Nor does its release give one away."""
        holders = self.fill(5)
        left, other = self.enqueue(), self.enqueue()
        self.assertEqual([], self.permits.release(left, 0.0))
        decided = self.permits.release(holders[0], 0.0)
        self.assertEqual([other], [holder for holder, _ in decided])
        self.assertEqual(0, self.permits.count_queued())

    def test_request_without_wait_does_not_pass_the_queue(self):
        """While room that has just become known is not yet given to the queue."""
        self.fill(5)
        queued = self.enqueue(urgency=1)
        self.assertEqual(PermitOutcome.FULL, self.ask(slots=8, urgency=1).outcome)
        self.assertEqual(PermitOutcome.GRANTED, self.ask(slots=8, urgency=0).outcome)
        decided = self.permits.remove_expired(0.02)
        self.assertEqual([queued], [holder for holder, _ in decided])


class LostHolderTest(ServerPermitsCase):
    """Guards against room that is lost with a host or a message."""

    def test_host_that_dies_gives_its_room_to_the_queue(self):
        """Its own queued requests get none."""
        self.fill(3, host="dead")
        self.fill(2, host="alive")
        self.enqueue(host="dead")
        queued = [self.enqueue(host="alive") for _ in range(4)]
        decided = self.permits.remove_host("dead", 0.1)
        self.assertEqual(queued[:3], [holder for holder, _ in decided])
        self.assertEqual(1, self.permits.count_queued())
        self.assertEqual(5, self.permits.count_in_flight(SERVER, 0.1))

    def test_permit_without_a_release_expires(self):
        """The release was lost; a late one is ignored."""
        holders = self.fill(5, expires_after_s=2.0)
        queued = self.enqueue(1.0)
        self.assertEqual([], self.permits.remove_expired(1.9))
        decided = self.permits.remove_expired(2.0)
        self.assertEqual([queued], [holder for holder, _ in decided])
        self.assertEqual([], self.permits.release(holders[0], 2.1))
        self.assertEqual(1, self.permits.count_in_flight(SERVER, 2.1))

    def test_expiry_and_lost_hosts_do_not_count_as_measured_times(self):
        """A request takes 0.1 s, also if the owner heard of its end after 60 s."""
        self.fill(3, host="dead")
        self.fill(2, expires_after_s=60.0)
        self.permits.remove_host("dead", 50.0)
        self.permits.remove_expired(60.0)
        self.fill(5, 60.0)
        self.assertAlmostEqual(FIRST_MEAN_S / 4, self.ask(60.0).wait_s)

    def test_unknown_holder_is_ignored(self):
        """A release that arrives twice, or at a new owner."""
        unknown = PermitHolder("h1", 999)
        self.assertEqual([], self.permits.release(unknown, 0.0))
        self.assertEqual([], self.permits.end_prefill(unknown, 0.0))
        self.assertEqual([], self.permits.remove_host("h9", 0.0))

    def test_unused_servers_are_removed(self):
        """Servers come and go for as long as the owner runs."""
        holder = self.fill(1, expires_after_s=500.0)[0]
        self.permits.remove_expired(UNUSED_KEPT_S + 1)
        self.assertEqual(1, self.permits.count_in_flight(SERVER, 0.0))
        self.permits.release(holder, UNUSED_KEPT_S + 1)
        self.permits.remove_expired(2 * UNUSED_KEPT_S)
        self.assertEqual({}, self.permits._states)


class CostTest(ServerPermitsCase):
    """Guards against decisions that take a noticeable part of a host's time."""

    ROUNDS = 50
    CALLS = 20

    def test_decision_is_cheap_with_many_servers_and_a_full_queue(self):
        """150 servers, and 64 requests of many urgencies in the queue of one.

        The processor time of the fastest round counts: other processes share the
        machine.
        """
        for workspaces, urgencies in ((1, 1), (5, 3), (64, 1), (64, 10)):
            self.reset()
            for server in range(150):
                for _ in range(16):
                    key = ServerKey(f"s{server}", 5)
                    self.ask(server=key, slots=16, workspace="w0")
            holders = self.fill(4, slots=16)
            for place in range(64):
                self.enqueue(
                    slots=16,
                    workspace=f"w{place % workspaces}",
                    urgency=place % urgencies,
                    is_repeat=place % 5 == 4,
                    max_wait_s=1e6,
                )
            self.assertEqual(64, self.permits.count_queued())
            cheapest_s = min(
                self.measure_round(step, workspaces, urgencies, holders)
                for step in range(self.ROUNDS)
            )
            self.assertTrue(
                cheapest_s < MAX_DECISION_S, (workspaces, urgencies, cheapest_s)
            )

    def measure_round(
        self, step: int, workspaces: int, urgencies: int, holders: list[PermitHolder]
    ) -> float:
        """Return the seconds for the dearer of a query and a release, on average."""
        query_s = release_s = 0.0
        for place in range(self.CALLS):
            now_s = 1.0 + step + place / self.CALLS
            fields = {
                "slots": 16,
                "workspace": f"w{place % workspaces}",
                "urgency": place % urgencies,
            }
            # One more than the queue holds.
            query = self.make(**fields, max_wait_s=1e6)
            from_s = time.thread_time()
            decision = self.permits.request(SERVER, query, now_s)
            query_s += time.thread_time() - from_s
            if decision.outcome == PermitOutcome.QUEUED:
                self.permits.remove_expired(now_s)
            from_s = time.thread_time()
            decided = self.permits.release(holders.pop(0), now_s)
            release_s += time.thread_time() - from_s
            holders += [holder for holder, _ in decided]
            self.enqueue(now_s, **fields, max_wait_s=1e6)
        return max(query_s, release_s) / self.CALLS

"""Replays the load patterns that permits answer, with servers whose work takes time."""

import random
from bisect import bisect_right
from statistics import mean

from testtools import TestCase

from oleanderpier.routing import (
    LimitBuckets,
    PermitOutcome,
    ServerKey,
    ServerPermits,
    compute_cold_rate,
    compute_cold_share_per_s,
)
from oleanderpier.routing.permit_queue import AGEING_S
from oleanderpier.routing.tests.permit_plays import PermitPlay, make_demand

HOSTS = 131
# The small service: 4 servers that together finish 350 requests per second.
SERVERS, SLOTS, WORK_S = 4, 6, 0.0686
ROOM = 8
# A cold server takes 11 requests per second, and the bound in any second is
# 11 x 1.5 + 5.
COLD_PER_S, COLD_BOUND, COLD_HOSTS = 11.0, 21.5, 83


def count_most(times_s: list[float], window_s: float) -> int:
    """Return the most times in a window of a length, wherever it begins."""
    times_s = sorted(times_s)
    return max(
        bisect_right(times_s, from_s + window_s) - place
        for place, from_s in enumerate(times_s)
    )


class SmallServiceTest(TestCase):
    """Many hosts send to few slots, in groups of three requests at a time."""

    def play(self, per_s: float, until_s: float, max_wait_s: float) -> PermitPlay:
        """Return a play in which half of the requests are urgent."""
        play = PermitPlay(SERVERS, SLOTS, WORK_S)
        at_s = 0.0
        while at_s < until_s:
            at_s += play.rng.expovariate(per_s / 3)
            for place in range(3):
                demand = make_demand(
                    len(play.requests),
                    host=f"h{play.rng.randrange(HOSTS)}",
                    slots=SLOTS,
                    urgency=0 if (len(play.requests) + place) % 2 else 3,
                    workspace=f"w{play.rng.randrange(5)}",
                )
                play.submit(at_s, demand, max_wait_s)
        play.run(until_s + 3.0)
        return play

    def test_no_server_gets_more_than_its_room(self):
        """Neither at the usual load nor at 1.3 times what the service finishes."""
        for per_s in (130.0, 450.0):
            play = self.play(per_s, 10.0, max_wait_s=0.3)
            most = max(server.most for server in play.servers.values())
            self.assertTrue(most <= ROOM, most)

    def test_urgent_requests_are_all_served_and_first(self):
        """The others get the rest, and none is left without a decision."""
        play = self.play(450.0, 15.0, max_wait_s=0.3)
        self.assertEqual(0, play.count(PermitOutcome.WAIT_TOO_LONG, urgency=0))
        refused = play.count(PermitOutcome.WAIT_TOO_LONG, urgency=3)
        granted = play.count(PermitOutcome.GRANTED)
        self.assertEqual(len(play.requests), refused + granted)
        # Of 450 per second, at most 350 can be served. The room is used meanwhile.
        self.assertTrue(granted / 15.0 > 0.95 * SERVERS * SLOTS / WORK_S, granted)
        waits_s = [
            request.decided_s - request.asked_s
            for request in play.requests
            if request.demand.urgency == 0
        ]
        self.assertTrue(mean(waits_s) < 0.05, mean(waits_s))

    def test_hardly_any_request_is_refused_below_the_capacity(self):
        """Where hosts chose alone, 1 in 10 of 130 per second was."""
        play = self.play(130.0, 20.0, max_wait_s=0.3)
        self.assertEqual(0, play.count(PermitOutcome.WAIT_TOO_LONG))

    def test_expected_waits_are_those_that_follow(self):
        """On average, for urgent and other requests, at 0.95 times the capacity.

        The waits are long enough here that nobody is refused: else only those are
        compared that waited for less time than expected.
        """
        play = self.play(0.95 * SERVERS * SLOTS / WORK_S, 40.0, max_wait_s=5.0)
        for urgency in (0, 3):
            queued = [
                request
                for request in play.requests
                if request.demand.urgency == urgency
                and request.expected_wait_s is not None
            ]
            self.assertTrue(len(queued) > 1000, len(queued))
            expected_s = mean(request.expected_wait_s for request in queued)
            actual_s = mean(request.decided_s - request.queued_s for request in queued)
            self.assertTrue(
                0.75 < expected_s / actual_s < 1.33, (urgency, expected_s, actual_s)
            )


class WorkspacesTest(TestCase):
    """One workspace sends 11.6 times its usual traffic."""

    def test_other_workspaces_keep_their_share(self):
        """Nine of ten go on as usual; the tenth has what they leave."""
        slots, work_s, until_s = 16, 0.2, 15.0
        play = PermitPlay(1, slots, work_s)
        # All ten together use 0.6 of the server as a rule.
        usual_per_s = 0.06 * slots / work_s
        for number in range(10):
            per_s = usual_per_s * (11.6 if number == 0 else 1.0)
            at_s = play.rng.expovariate(per_s)
            while at_s < until_s:
                demand = make_demand(0, slots=slots, workspace=f"w{number}")
                play.submit(at_s, demand, max_wait_s=0.4)
                at_s += play.rng.expovariate(per_s)
        play.run(until_s + 3.0)
        refused = {
            f"w{number}": play.count(
                PermitOutcome.WAIT_TOO_LONG, workspace=f"w{number}"
            )
            for number in range(10)
        }
        self.assertTrue(refused.pop("w0") > 100)
        self.assertTrue(sum(refused.values()) <= 5, refused)
        waits_s = [
            request.decided_s - request.asked_s
            for request in play.requests
            if request.demand.workspace != "w0"
        ]
        self.assertTrue(mean(waits_s) < 0.05, mean(waits_s))


class RepeatsTest(TestCase):
    """Requests that were refused come again to a service that is full."""

    def test_repeats_do_not_take_the_places_of_first_attempts(self):
        """First attempts need 0.9 of the service, and as many repeats come besides."""
        until_s = 15.0
        play = PermitPlay(SERVERS, SLOTS, WORK_S)
        per_s = 0.9 * SERVERS * SLOTS / WORK_S
        for is_repeat in (False, True):
            at_s = play.rng.expovariate(per_s)
            while at_s < until_s:
                demand = make_demand(
                    0,
                    host=f"h{play.rng.randrange(HOSTS)}",
                    slots=SLOTS,
                    workspace=f"w{play.rng.randrange(5)}",
                    is_repeat=is_repeat,
                )
                play.submit(at_s, demand, max_wait_s=0.17 if is_repeat else 0.347)
                at_s += play.rng.expovariate(per_s)
        play.run(until_s + 3.0)
        refused = play.count(PermitOutcome.WAIT_TOO_LONG, is_repeat=False)
        self.assertEqual(0, refused)
        self.assertTrue(play.count(PermitOutcome.WAIT_TOO_LONG, is_repeat=True) > 1000)


class ColdServerTest(TestCase):
    """All hosts ask for a server that takes 11 requests per second."""

    def setUp(self):
        """Make two owners, which both believe that they own the server."""
        super().setUp()
        self.owners = (ServerPermits(), ServerPermits())
        self.shares = [LimitBuckets() for _ in range(COLD_HOSTS)]
        self.rng = random.Random(3)
        self.sent_s: list[float] = []

    def ask(self, host: int, now_s: float, knows_rate: bool) -> bool:
        """Ask the owner that a host believes in; return whether it may send."""
        server = ServerKey("s1", 1)
        # Hosts differ in which owner they ask, and change their opinion.
        owner = self.owners[(host + int(now_s * 3)) % 2]
        query = make_demand(
            len(self.sent_s) * 1000 + host + 1,
            host=f"h{host} {now_s}",
            slots=16,
            rate=compute_cold_rate(COLD_PER_S) if knows_rate else None,
            max_wait_s=self.rng.choice((0.0, 0.3)),
        )
        decision = owner.request(server, query, now_s)
        if decision.outcome == PermitOutcome.GRANTED:
            owner.release(query.holder, now_s)
            return True
        return False

    def use_share(self, host: int, now_s: float) -> bool:
        """Return whether a host that can't ask may send."""
        server = ServerKey("s1", 1)
        per_s = compute_cold_share_per_s(COLD_PER_S, COLD_HOSTS)
        first = self.rng.random()
        wait_s = self.shares[host].acquire(server, per_s, now_s, first, burst=1.0)
        return not wait_s

    def test_bound_holds_in_every_second(self):
        """With two owners, hosts that can't ask, and hosts that learn of it late."""
        for step in range(12_000):
            now_s = step / 200
            # A pause and a rush, so that the buckets are full.
            if 20.0 < now_s < 24.0:
                continue
            for host in self.rng.sample(range(COLD_HOSTS), 4):
                if host % 10:
                    may_send = self.ask(host, now_s, knows_rate=host % 10 < 8)
                else:
                    may_send = self.use_share(host, now_s)
                if may_send:
                    self.sent_s.append(now_s)
        most = count_most(self.sent_s, 1.0)
        self.assertTrue(most <= COLD_BOUND, most)
        # Neither is the server left unused.
        self.assertTrue(len(self.sent_s) / 56.0 > 2 * 0.7 * COLD_PER_S - 1)

    def test_one_owner_grants_seven_tenths_of_the_rate(self):
        """Over a longer time; and 9 in the first second after idle time."""
        self.owners = (self.owners[0], self.owners[0])
        for step in range(12_000):
            now_s = step / 200
            if self.ask(step % COLD_HOSTS, now_s, True):
                self.sent_s.append(now_s)
        self.assertEqual(462, len(self.sent_s) + 1)
        self.assertTrue(count_most(self.sent_s, 0.999) <= 9)


class LongPromptsTest(TestCase):
    """Long uncached prompts come together with short ones, at two servers."""

    LONG_S = 0.14

    def test_prompts_do_not_delay_each_other(self):
        """Two long ones go to two servers; what must not wait is granted anyway."""
        permits = ServerPermits()
        servers = [ServerKey("s1", 1), ServerKey("s2", 1)]
        beside = []
        long_until_s = dict.fromkeys(servers, -1.0)
        holders = {}
        for number in range(200):
            now_s = number * 0.05
            for server in servers:
                if server in holders and now_s >= long_until_s[server]:
                    permits.end_prefill(holders.pop(server), now_s)
            # Every fourth prompt is long: the servers are busy with those for a third
            # of the time.
            tokens = 12_000 if number % 4 == 0 else 130
            order = servers if number % 3 else servers[::-1]
            for server in order:
                query = make_demand(
                    number * 10 + servers.index(server),
                    slots=0,
                    uncached_tokens=tokens,
                )
                decision = permits.request(server, query, now_s)
                if decision.outcome == PermitOutcome.GRANTED:
                    beside.append(now_s < long_until_s[server])
                    if tokens > 1000:
                        long_until_s[server] = now_s + self.LONG_S
                        holders[server] = query.holder
                    break
                self.assertEqual(PermitOutcome.PREFILLING, decision.outcome)
        self.assertEqual(200, len(beside))
        self.assertEqual(0, sum(beside))


class DeadHostTest(TestCase):
    """A host dies while it holds half of the permits of a server."""

    def test_its_room_is_used_again(self):
        """At once if others see that it is gone, else when its permits expire."""
        for is_seen in (True, False):
            permits = ServerPermits()
            server = ServerKey("s1", 1)
            for number in range(ROOM):
                host = "dead" if number % 2 else "alive"
                query = make_demand(number, host=host, slots=SLOTS, expires_after_s=4.0)
                permits.request(server, query, 0.0)
            waiting = [
                make_demand(100 + number, slots=SLOTS, max_wait_s=9.0)
                for number in range(ROOM)
            ]
            for query in waiting:
                permits.request(server, query, 0.1)
            end = permits.remove_expired
            decided = permits.remove_host("dead", 1.0) if is_seen else end(3.9)
            self.assertEqual(ROOM // 2 if is_seen else 0, len(decided))
            decided += permits.remove_expired(4.0)
            self.assertEqual(ROOM, len(decided))
            self.assertEqual(ROOM, permits.count_in_flight(server, 4.0))


class AgeingTest(TestCase):
    """More urgent requests than the service finishes, for a long time."""

    def test_request_of_little_urgency_is_served_in_the_end(self):
        """It waits for as long as ageing takes to make it the most urgent one."""
        play = PermitPlay(1, SLOTS, WORK_S)
        per_s = 2.0 * SLOTS / WORK_S
        urgency, until_s = 4, 10.0
        at_s = 0.0
        while at_s < until_s:
            demand = make_demand(0, slots=SLOTS, urgency=0)
            play.submit(at_s, demand, max_wait_s=0.2)
            at_s += play.rng.expovariate(per_s)
        # It comes soon after the others, and again when many have been refused.
        slow = [
            play.submit(from_s, make_demand(0, slots=SLOTS, urgency=urgency), 5.0)
            for from_s in (0.5, 4.0)
        ]
        play.run(until_s + 3.0)
        longest_s = (urgency + 1) * AGEING_S
        for request in slow:
            self.assertEqual(PermitOutcome.GRANTED, request.outcome)
            waited_s = request.decided_s - request.asked_s
            self.assertTrue(waited_s < longest_s, waited_s)

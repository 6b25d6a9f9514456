"""Tests of the choice by loads that are older than requests take."""

import math
from collections import Counter

from testtools import TestCase

from oleanderpier.routing import Choice, LimitStatement, PromptPrefix, ServerQuery
from oleanderpier.routing.residence import ResidenceTimes
from oleanderpier.routing.tests.fakes import ENGINE, RoutingFixture

# A request of the service ``engine`` takes one second.
RESIDENCE_S = 1.0
QUERY = ServerQuery(ENGINE, (PromptPrefix("k", 10_000),))


def make_fixture(load_age_s: float, loads: dict[str, int]) -> RoutingFixture:
    """Return a host that knows the loads of others and how long requests take."""
    fixture = RoutingFixture(load_age_s=load_age_s)
    fixture.remote_loads.in_flight.update(loads)
    fixture.chooser.begin_request(ServerQuery(ENGINE), "s0")
    fixture.chooser.end_request("s0", RESIDENCE_S)
    return fixture


class AgedLoadTest(TestCase):
    """The older the loads, the less a host relies on them."""

    def find_highest_load(self, load_age_s: float, uneven: bool = False) -> int:
        """Return the highest load of a server that is chosen for its cache.

        All other servers hold five requests.
        """
        for load in range(5, 40):
            loads = {f"s{n}": 5 for n in range(9)} | {"s3": load}
            fixture = make_fixture(load_age_s, loads)
            fixture.caches.apply_updates([("k", "s3")])
            fixture.statements.loads.set_all_under_permits(uneven)
            fixture.statements.loads.allow_permits(False)
            if fixture.chooser.choose(QUERY).server.identity != "s3":
                return load - 1
        return 40

    def test_margin_grows_with_age(self):
        """With exact loads a server may get as near to the limit as possible."""
        limits = [self.find_highest_load(age_s) for age_s in (0.0, 0.2, 1.0, 30.0)]
        self.assertEqual(sorted(limits, reverse=True), limits)
        # 2 x the mean of 5.67 + 3, less the request itself.
        self.assertGreaterEqual(limits[0], 13)
        self.assertLess(limits[-1], limits[0] - 2)

    def test_margin_in_services_of_uneven_speed(self):
        """Prompts left their servers for a margin that few sends needed."""
        for age_s, tolerated in ((0.0, 0), (0.2, 1), (1.0, 1), (30.0, 1)):
            even, uneven = (
                self.find_highest_load(age_s, uneven) for uneven in (False, True)
            )
            self.assertGreaterEqual(uneven, even + tolerated, age_s)

    def test_hosts_choose_different_servers_by_the_same_loads(self):
        """The server with the lowest old load does not get all requests."""
        loads = {f"s{n}": 2 for n in range(9)} | {"s3": 1}
        fixture = make_fixture(30.0, loads)
        chosen = Counter(
            fixture.chooser.choose(ServerQuery(ENGINE)).server.identity
            for _ in range(900)
        )
        self.assertLess(max(chosen.values()), 2 * 900 / 9)
        self.assertEqual(9, len(chosen))

    def test_holders_share_a_frequent_prompt(self):
        """Several servers that have a prompt cached all get requests for it."""
        fixture = make_fixture(1.0, {f"s{n}": 5 for n in range(9)})
        fixture.caches.apply_updates([("k", "s3"), ("k", "s7")])
        chosen = Counter(
            fixture.chooser.choose(QUERY).server.identity for _ in range(200)
        )
        self.assertEqual({"s3", "s7"}, set(chosen))
        self.assertGreater(min(chosen.values()), 50)

    def test_servers_that_leave_lower_the_limit(self):
        """The mean counts all registered servers."""
        fixture = make_fixture(0.0, {f"s{n}": 5 for n in range(9)})
        before = fixture.chooser.choose(QUERY).stats.load_limit
        for number in range(3):
            fixture.register_server(f"left{number}", leaving=True)
        fixture.timers.advance(1.0)
        self.assertLess(fixture.chooser.choose(QUERY).stats.load_limit, before)

    def test_all_servers_over_limit(self):
        """If no healthy server is below the limit, all of them get requests."""
        fixture = make_fixture(30.0, {f"s{n}": 20 for n in range(9)})
        for number in range(2, 9):
            fixture.remote_loads.in_flight[f"s{number}"] = 0
            fixture.health.record_unreachable(f"s{number}")
        chosen = Counter(
            fixture.chooser.choose(QUERY).server.identity for _ in range(200)
        )
        self.assertEqual({"s0", "s1"}, set(chosen))
        self.assertGreater(min(chosen.values()), 50)


class OverloadedCopyTest(TestCase):
    """A request that finds no server below the load limit may copy its prompt."""

    def list_choices(self, uneven: bool, holders: tuple[str, ...]) -> list[Choice]:
        """Return choices among two servers over the limit and unreachable ones."""
        fixture = make_fixture(30.0, {"s0": 20, "s1": 20})
        fixture.statements.loads.set_all_under_permits(uneven)
        fixture.statements.loads.allow_permits(False)
        for number in range(2, 9):
            fixture.health.record_unreachable(f"s{number}")
        fixture.caches.apply_updates([("k", holder) for holder in holders])
        choices = [fixture.chooser.choose(QUERY) for _ in range(100)]
        self.assertEqual({"least_loaded"}, {choice.reason for choice in choices})
        self.assertEqual({"s0", "s1"}, {choice.server.identity for choice in choices})
        return choices

    def test_prompt_is_copied(self):
        """The least loaded server read it again, though another one has it cached."""
        for choice in self.list_choices(True, ("s0",)):
            if choice.server.identity == "s0":
                self.assertIsNone(choice.copy_source)
            else:
                self.assertEqual("s0", choice.copy_source.identity)

    def test_source_has_to_be_reachable(self):
        """A copy from a server in backoff would delay the request."""
        for choice in self.list_choices(True, ("s2",)):
            self.assertIsNone(choice.copy_source)

    def test_even_service_copies_as_before(self):
        """Its requests in overload have no copy source."""
        for choice in self.list_choices(False, ("s0",)):
            self.assertIsNone(choice.copy_source)


class ResidenceTest(TestCase):
    """Requests in flight are estimated to remain for half of a fixed duration."""

    def test_survival_depends_on_duration(self):
        """Long requests survive longer; the duration adapts."""
        times = ResidenceTimes()
        times.record_duration(ENGINE, 0.02)
        self.assertLess(times.estimate_survival(ENGINE, 0.25), 0.001)
        for _ in range(300):
            times.record_duration(ENGINE, 2.0)
        self.assertGreater(times.estimate_survival(ENGINE, 0.25), 0.75)

    def test_exact_loads_survive(self):
        """Loads without age are exact, whatever is known of the service."""
        self.assertEqual(1.0, ResidenceTimes().estimate_survival(ENGINE, 0.0))

    def test_instant_requests(self):
        """Durations of zero give no error."""
        times = ResidenceTimes()
        times.record_duration(ENGINE, 0.0)
        self.assertEqual(0.0, times.estimate_survival(ENGINE, 0.1))


class LimitedServerTest(TestCase):
    """The others hold what servers that name a limit do not take."""

    SLOTS = 64

    def make_fixture(self, limit_per_s: float, busy_load: int) -> RoutingFixture:
        """Return a host that knows six servers with a limit and three busy ones.

        The limits are used up, if they are finite; a busy server has the prompt cached.
        """
        limited = [f"s{n}" for n in range(6)]
        loads = dict.fromkeys(limited, 1) | {f"s{n}": busy_load for n in range(6, 9)}
        fixture = make_fixture(0.0, loads)
        fixture.caches.apply_updates([("k", "s7")])
        for number in range(9):
            server = fixture.roster.get_entry(f"s{number}")
            fixture.statements.record_slots(server, self.SLOTS)
            if server.identity in limited:
                limit = LimitStatement(server.born_ms, limit_per_s, 0.0, "")
                fixture.statements.record_limit(server.identity, limit)
                fixture.statements.record_wait(server, 1.0)
        return fixture

    def test_prompts_stay_cached_at_the_servers_without_a_limit(self):
        """Their load is not measured against that of the limited ones."""
        for limit_per_s, reason in ((2.0, "cached"), (math.inf, "least_loaded")):
            fixture = self.make_fixture(limit_per_s, busy_load=20)
            self.assertEqual(reason, fixture.chooser.choose(QUERY).reason)

    def test_full_servers_get_nothing_that_limited_ones_do_not_take(self):
        """It would wait there until its caller has given up."""
        for query in (QUERY, ServerQuery(ENGINE)):
            fixture = self.make_fixture(2.0, busy_load=self.SLOTS)
            self.assertIsNone(fixture.chooser.choose(query))
            fixture.remote_loads.in_flight["s8"] = self.SLOTS - 1
            self.assertEqual("s8", fixture.chooser.choose(query).server.identity)

    def test_request_that_was_sent_before_goes_to_a_full_server(self):
        """A caller may have a part of its response."""
        fixture = self.make_fixture(2.0, busy_load=self.SLOTS)
        self.assertIsNotNone(fixture.chooser.choose(QUERY, avoid=["s6"]))

    def test_full_servers_are_used_if_none_names_a_limit(self):
        """Then all are alike, and each has a queue of its own."""
        fixture = self.make_fixture(math.inf, busy_load=self.SLOTS)
        self.assertIsNotNone(fixture.chooser.choose(QUERY))

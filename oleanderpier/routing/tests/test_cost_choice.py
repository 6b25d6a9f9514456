"""Tests of the choice of servers of services under permits."""

import statistics
import timeit

from testtools import TestCase

from oleanderpier.routing import (
    LoadStatement,
    PromptPrefix,
    ServerQuery,
    ServiceEntry,
)
from oleanderpier.routing.hash_order import list_first, score_server
from oleanderpier.routing.server_loads import SPEED_LIFETIME_S
from oleanderpier.routing.tests.fakes import ENGINE, RoutingFixture, make_server
from oleanderpier.routing.tests.replay import SLOTS, PromptKind, Replay

SHARED_TOKENS = 10_512
LONG = PromptKind("long", 112.0, 40, 10_512, 1300)
SHORT = PromptKind("short", 61.8, 20, 699, 130)
TAGS = PromptKind("tags", 198.0, 30, 2041, 360)
KINDS = [LONG, SHORT, TAGS]
# A single prompt in a burst.
HOT = PromptKind("hot", 200.0, 1, 10_512, 1300)


def make_query(key: str, shared_tokens: int, own_tokens: int) -> ServerQuery:
    """Return a query with one shared prefix."""
    return ServerQuery(
        ENGINE,
        (PromptPrefix(key, shared_tokens),),
        prompt_tokens=shared_tokens + own_tokens,
    )


LONG_QUERY = make_query("long", 10_512, 1300)
SHORT_QUERY = make_query("short", 699, 130)


def make_fixture(servers: int = 9, load_age_s: float = 0.0) -> RoutingFixture:
    """Return a chooser over servers with slots that state their speed."""
    fixture = RoutingFixture(servers, load_age_s)
    for number in range(servers):
        state_load(fixture, f"s{number}", 1.0)
        fixture.statements.record_slots(make_server(f"s{number}"), SLOTS)
        fixture.remote_loads.in_flight[f"s{number}"] = 8
    return fixture


def state_load(fixture: RoutingFixture, identity: str, slow_factor: float) -> None:
    """Let a server state its speed."""
    fixture.statements.loads.record(
        make_server(identity),
        LoadStatement(1, 0, SLOTS, slow_factor),
        fixture.timers.now(),
    )


def send(fixture: RoutingFixture, query: ServerQuery, identity: str) -> None:
    """Send a request that ends at once, after which the server holds the prompt."""
    fixture.chooser.begin_request(query, identity)
    fixture.chooser.end_request(identity, 0.5)


def choose(fixture: RoutingFixture, query: ServerQuery) -> str:
    """Return the id of the server that is chosen."""
    return fixture.chooser.choose(query).server.identity


class FullHolderTest(TestCase):
    """A hot prompt whose server is full."""

    def setUp(self):
        """Let one server hold both prompts."""
        super().setUp()
        self.fixture = make_fixture()
        for query in (LONG_QUERY, SHORT_QUERY):
            send(self.fixture, query, "s3")

    def test_free_slot_is_taken(self):
        """Requests waited for the holder, which was below the load limit."""
        self.fixture.remote_loads.in_flight["s3"] = 20
        choice = self.fixture.chooser.choose(LONG_QUERY)
        self.assertLess(20, choice.stats.load_limit)
        self.assertEqual("spilled", choice.reason)
        self.assertNotEqual("s3", choice.server.identity)

    def test_holder_with_room_keeps_its_prompts(self):
        """Moving them has a price."""
        for query in (LONG_QUERY, SHORT_QUERY):
            self.assertEqual({"s3"}, {choose(self.fixture, query) for _ in range(50)})

    def test_short_wait_is_better_than_a_long_prefill(self):
        """Long prompts stay for a wait for which short ones move."""
        self.fixture.remote_loads.in_flight["s3"] = SLOTS
        self.assertEqual("s3", choose(self.fixture, LONG_QUERY))
        self.assertNotEqual("s3", choose(self.fixture, SHORT_QUERY))

    def test_load_limit_is_kept(self):
        """A holder with free slots may hold more than the users allow."""
        for identity in self.fixture.remote_loads.in_flight:
            self.fixture.remote_loads.in_flight[identity] = 1
        self.fixture.remote_loads.in_flight["s3"] = 8
        self.assertNotEqual("s3", choose(self.fixture, LONG_QUERY))

    def test_refusals_of_holders_count_for_the_others(self):
        """Holders share the requests, so that the loads of the others are old too."""
        send(self.fixture, SHORT_QUERY, "s4")
        send(self.fixture, SHORT_QUERY, "s5")
        self.fixture.remote_loads.age_s = 2.0
        for refusing, expected in (((), "cached"), (("s3", "s5"), "spilled")):
            choice = self.fixture.chooser.choose(SHORT_QUERY, (), refusing)
            self.assertEqual(expected, choice.reason)

    def test_all_holders_have_refused(self):
        """All hosts sent the request to the first server in the hash order."""
        chosen = set()
        for _ in range(50):
            choice = self.fixture.chooser.choose(LONG_QUERY, (), {"s3"})
            self.assertEqual("spilled", choice.reason)
            chosen.add(choice.server.identity)
        self.assertGreater(len(chosen), 1)

    def test_all_servers_are_full(self):
        """A server is found, and not the same one by all hosts."""
        for identity in self.fixture.remote_loads.in_flight:
            self.fixture.remote_loads.in_flight[identity] = 40
        chosen = {choose(self.fixture, ServerQuery(ENGINE)) for _ in range(100)}
        self.assertGreater(len(chosen), 4)


class UnevenServersTest(TestCase):
    """Machines on which the same work takes longer for a time."""

    def setUp(self):
        """Measure the time that requests take without their prompts."""
        super().setUp()
        self.fixture = make_fixture()
        for _ in range(50):
            self.fixture.chooser.costs.prefill_times.record(ENGINE, 0, 100.0)

    def test_slow_holder_loses_short_prompts_while_it_is_slow(self):
        """They stayed with it; reading them again takes 8 ms."""
        send(self.fixture, SHORT_QUERY, "s3")
        state_load(self.fixture, "s3", 2.5)
        self.assertNotEqual("s3", choose(self.fixture, SHORT_QUERY))
        self.fixture.timers.advance(SPEED_LIFETIME_S + 0.1)
        self.assertEqual("s3", choose(self.fixture, SHORT_QUERY))

    def test_slow_holder_keeps_long_prompts(self):
        """Reading them again takes more than is gained while it is slow."""
        self.fixture.remote_loads.in_flight["s3"] = 4
        send(self.fixture, LONG_QUERY, "s3")
        state_load(self.fixture, "s3", 2.0)
        self.assertEqual("s3", choose(self.fixture, LONG_QUERY))

    def test_slow_server_has_fewer_slots(self):
        """Its owner grants fewer permits, so that it would refuse the request."""
        self.fixture.remote_loads.in_flight["s3"] = 8
        send(self.fixture, LONG_QUERY, "s3")
        state_load(self.fixture, "s3", 2.5)
        cost = self.fixture.chooser.costs.choose(LONG_QUERY).cost
        self.assertNotEqual("s3", cost.server.identity)

    def test_requests_without_prompts_avoid_slow_servers(self):
        """They were sent to all servers alike."""
        send(self.fixture, ServerQuery(ENGINE), "s3")
        state_load(self.fixture, "s3", 2.0)
        chosen = {choose(self.fixture, ServerQuery(ENGINE)) for _ in range(200)}
        self.assertNotIn("s3", chosen)
        self.assertGreater(len(chosen), 5)


class MeasurementTest(TestCase):
    """The requests that tell how long prefill takes."""

    def record(self, waiting: int, slow_factor: float, took_s: float) -> float:
        """Return the measured time of each request, after some that read nothing."""
        fixture = make_fixture()
        query = ServerQuery(ENGINE, prompt_tokens=1)
        choice = fixture.chooser.choose(query)
        load = LoadStatement(16, waiting, SLOTS, slow_factor)
        fixture.statements.loads.record(choice.server, load, 0.0)
        for _ in range(50):
            fixture.chooser.costs.record_first_event(choice, took_s)
        return fixture.chooser.costs.prefill_times.estimate(ENGINE).base_ms

    def test_request_at_a_server_with_a_queue_is_left_out(self):
        """It may have waited, which would be taken for slow prefill."""
        self.assertEqual(0.0, self.record(3, 1.0, 2.0))

    def test_slow_machines_are_allowed_for(self):
        """Otherwise the slow factor of a server would count twice."""
        self.assertAlmostEqual(100.0, self.record(0, 1.0, 0.1), delta=1.0)
        self.assertAlmostEqual(100.0, self.record(0, 2.0, 0.2), delta=1.0)


class UncachedTokensTest(TestCase):
    """The tokens that the chosen server has to read, and copies."""

    def test_tokens_of_holders_and_of_others(self):
        """The owner of a server needs them to bound its prefills."""
        fixture = make_fixture()
        self.assertEqual(11_812, fixture.chooser.choose(LONG_QUERY).uncached_tokens)
        send(fixture, LONG_QUERY, "s3")
        self.assertEqual(1300, fixture.chooser.choose(LONG_QUERY).uncached_tokens)

    def test_copy_is_made_only_if_it_is_faster_than_prefill(self):
        """Copies that took longer than the prefill were made as well."""
        for link_mbps, is_copied in ((100_000.0, False), (1_000_000.0, True)):
            fixture = make_fixture()
            service = ServiceEntry(ENGINE, 1.0, 1.0, 160_000.0, link_mbps)
            fixture.chooser.costs.update_services((service,))
            send(fixture, LONG_QUERY, "s3")
            fixture.remote_loads.in_flight["s3"] = 20
            choice = fixture.chooser.choose(LONG_QUERY)
            self.assertEqual("spilled", choice.reason)
            self.assertEqual(is_copied, choice.copy_source is not None)
            expected = 1300 if is_copied else 11_812
            self.assertEqual(expected, choice.uncached_tokens)

    def test_services_without_permits(self):
        """They are chosen as before, and nothing is computed."""
        fixture = RoutingFixture()
        choice = fixture.chooser.choose(LONG_QUERY)
        self.assertEqual((0, None), (choice.uncached_tokens, choice.cost))
        fixture.chooser.costs.update_services((ServiceEntry(ENGINE, 1.0, 1.0),))
        self.assertIsNotNone(fixture.chooser.choose(LONG_QUERY).cost)


class OldLoadsTest(TestCase):
    """A day of the homework deployment, with loads that are 0.8 and 2 s old."""

    def test_calm_traffic_stays_with_the_holders(self):
        """Prompts that are read again and copied have a price."""
        for age_s in (0.8, 2.0):
            ratios = {}
            for by_costs in (False, True):
                replay = Replay(56, age_s, by_costs)
                replay.run(10.0, KINDS)
                calm = replay.run(5.0, KINDS)
                ratios[by_costs] = statistics.mean(item.was_read for item in calm)
            self.assertLess(ratios[True], ratios[False] + 0.01)

    def test_burst_of_one_prompt(self):
        """All hosts sent it to the holder that seemed free, which filled up."""
        for age_s in (0.8, 2.0):
            hot, short = self.run_bursts(age_s, by_costs=True)
            hot_before, short_before = self.run_bursts(age_s, by_costs=False)
            self.assertLess(hot, 0.85 * hot_before)
            self.assertLess(short, short_before + 0.01)

    def run_bursts(self, age_s: float, by_costs: bool) -> tuple[float, float]:
        """Return the mean time to the first event of hot and of short prompts."""
        burst = []
        for seed in (1, 2, 3):
            replay = Replay(56, age_s, by_costs, seed)
            replay.run(4.0, KINDS)
            burst += replay.run(4.0, [*KINDS, HOT])
        hot, short = (
            statistics.mean(
                item.first_event_s for item in burst if item.kind == kind.name
            )
            for kind in (HOT, SHORT)
        )
        return hot, short

    def test_hosts_do_not_choose_the_same_server(self):
        """Equally good servers are chosen at random, since all loads are old."""
        fixture = make_fixture(load_age_s=2.0)
        fixture.remote_loads.in_flight["s3"] = 6
        chosen = [choose(fixture, ServerQuery(ENGINE)) for _ in range(400)]
        self.assertLess(chosen.count("s3"), 120)

    def test_time_of_a_decision(self):
        """It would hold up the other requests of the host."""
        fixture = make_fixture(150, 0.8)
        for number in range(20):
            send(fixture, LONG_QUERY, f"s{number}")
        # Other processes on the machine only add to the time.
        shortest_s = min(
            timeit.repeat(
                lambda: fixture.chooser.choose(LONG_QUERY), number=5, repeat=1000
            )
        )
        self.assertLess(1e6 * shortest_s / 5, 50.0)

    def test_hash_order(self):
        """The first server in it is the one that other builds choose."""
        servers = [make_server(f"s{number}") for number in range(20)]
        for key in ("a", "b", "c"):
            expected = sorted(
                (entry.identity for entry in servers),
                key=lambda identity, key=key: score_server(key, identity),
            )
            self.assertEqual(expected[:3], list_first(key, servers, 3))

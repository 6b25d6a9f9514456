"""Tests of how prompts that servers are reading change the choice of a server."""

import timeit
from collections import Counter

from testtools import TestCase

from oleanderpier.routing import (
    LoadStatement,
    Prefills,
    PromptPrefix,
    ServerQuery,
)
from oleanderpier.routing.hash_order import iterate_first, score_server
from oleanderpier.routing.tests.fakes import ENGINE, RoutingFixture, make_server

LONG_TOKENS = 11_812
LONG_QUERY = ServerQuery(
    ENGINE, (PromptPrefix("long", 10_000),), None, LONG_TOKENS, target_s=0.545
)
SHORT_QUERY = ServerQuery(
    ENGINE, (PromptPrefix("short", 580),), None, 710, target_s=0.319
)
PLAIN_QUERY = ServerQuery(ENGINE, target_s=0.319)
# Longer than a third of the short prompts' target.
LONG_READ_S = 0.2
SLOTS = 16


def make_fixture(servers: int = 9, load_age_s: float = 0.05) -> RoutingFixture:
    """Return servers that state their speed, with services not under permits."""
    fixture = RoutingFixture(servers, load_age_s)
    fixture.statements.loads.allow_permits(False)
    for number in range(servers):
        state_speed(fixture, f"s{number}", 1.0)
    return fixture


def state_speed(fixture: RoutingFixture, identity: str, slow_factor: float) -> None:
    """Let a server state its speed now."""
    load = LoadStatement(0, 0, SLOTS, slow_factor)
    server = make_server(identity)
    fixture.statements.loads.record(server, load, fixture.timers.now())


def record_prefill(
    fixture: RoutingFixture, identity: str, expected_s: float = LONG_READ_S
) -> None:
    """Let a host have sent a long prompt to a server."""
    fixture.statements.prefills.record(
        make_server(identity), LONG_TOKENS, expected_s, fixture.timers.now()
    )


def choose(fixture: RoutingFixture, query: ServerQuery) -> str:
    """Return the id of the server that a request gets."""
    return fixture.chooser.choose(query).server.identity


def list_order(key: str, servers: int = 9) -> list[str]:
    """Return the ids of all servers in the hash order of a key."""
    identities = [f"s{number}" for number in range(servers)]
    return sorted(identities, key=lambda identity: score_server(key, identity))


class PrefillsTest(TestCase):
    """What is known of the prompts that servers are reading."""

    def test_prompts_are_read_in_turns(self):
        """Two at a time take as long as one after the other."""
        prefills, server = Prefills(), make_server("s1")
        prefills.record(server, LONG_TOKENS, 0.125, 1.0)
        prefills.record(server, LONG_TOKENS, 0.125, 1.0)
        self.assertEqual(0.25, prefills.get_remaining_s(server, 1.0))
        self.assertEqual({"s1"}, set(prefills.list_reading(1.125)))
        self.assertEqual(0.0, prefills.get_remaining_s(server, 1.25))
        self.assertEqual(set(), set(prefills.list_reading(1.25)))

    def test_entry_ends_with_the_run_of_the_server(self):
        """A server that has restarted reads nothing that the last run was sent."""
        fixture = make_fixture()
        prefills, now_s = fixture.statements.prefills, fixture.timers.now()
        fixture.roster.subscribe_removed(fixture.statements.record_end)
        record_prefill(fixture, "s1")
        restarted = make_server("s1", born_ms=2)
        self.assertEqual(0.0, prefills.get_remaining_s(restarted, now_s))
        fixture.register_server("s1", born_ms=2)
        self.assertEqual(set(), set(prefills.list_reading(now_s)))
        prefills.record(restarted, LONG_TOKENS, 0.1, now_s)
        # A late notice of the earlier run.
        record_prefill(fixture, "s1")
        self.assertEqual(0.1, prefills.get_remaining_s(restarted, now_s))

    def test_wrong_figures_have_a_bounded_effect(self):
        """Another host may send any figure."""
        prefills, server = Prefills(), make_server("s1")
        for expected_s in (float("nan"), -1.0, 0.0):
            prefills.record(server, LONG_TOKENS, expected_s, 0.0)
        prefills.record(server, 3999, 1.0, 0.0)
        self.assertEqual(0.0, prefills.get_remaining_s(server, 0.0))
        prefills.record(server, LONG_TOKENS, float("inf"), 0.0)
        self.assertEqual(2.0, prefills.get_remaining_s(server, 0.0))


class ShortPromptTest(TestCase):
    """A short prompt beside a long one."""

    def test_short_prompt_leaves_its_only_holder(self):
        """It waited for a prompt of another kind, and missed its target."""
        fixture = make_fixture()
        fixture.caches.record_send("short", "s3")
        record_prefill(fixture, "s3")
        fixture.timers.advance(0.01)
        for _ in range(2):
            # By all loads, and by the stored statistics.
            choice = fixture.chooser.choose(SHORT_QUERY)
            self.assertNotEqual("s3", choice.server.identity)
            self.assertEqual("spilled", choice.reason)
            self.assertEqual("s3", choice.left.server.identity)
            self.assertAlmostEqual(LONG_READ_S - 0.01, choice.left.remaining_s)
            self.assertAlmostEqual(0.01, choice.left.age_s)
        # The remaining time is now less than a third of the target.
        fixture.timers.advance(0.1)
        self.assertEqual("s3", choose(fixture, SHORT_QUERY))

    def test_all_hosts_move_it_to_the_same_server(self):
        """It is read once more, not once for each host."""
        moved = set()
        for _ in range(5):
            fixture = make_fixture()
            fixture.caches.record_send("short", "s3")
            record_prefill(fixture, "s3")
            moved.add(choose(fixture, SHORT_QUERY))
        self.assertEqual(1, len(moved))

    def test_long_prompt_stays_where_it_is_cached(self):
        """Reading it elsewhere would delay the requests there."""
        fixture = make_fixture()
        fixture.caches.record_send("long", "s3")
        record_prefill(fixture, "s3", 1.0)
        self.assertEqual("s3", choose(fixture, LONG_QUERY))

    def test_prompt_without_a_target_stays(self):
        """It is not known how long its caller may wait."""
        fixture = make_fixture()
        fixture.caches.record_send("short", "s3")
        record_prefill(fixture, "s3", 1.0)
        self.assertEqual("s3", choose(fixture, SHORT_QUERY._replace(target_s=0.0)))

    def test_one_of_several_holders_without_a_long_prompt_is_preferred(self):
        """They are equally good otherwise."""
        fixture = make_fixture()
        for identity in ("s3", "s4", "s5"):
            fixture.caches.record_send("short", identity)
        for identity in ("s3", "s5"):
            record_prefill(fixture, identity, 0.05)
        chosen = {choose(fixture, SHORT_QUERY) for _ in range(50)}
        self.assertEqual({"s4"}, chosen)

    def test_request_without_prompt_avoids_long_prompts_and_slow_servers(self):
        """Any server is as good for it otherwise."""
        for load_age_s in (0.0, 0.4):
            fixture = make_fixture(load_age_s=load_age_s)
            for identity in ("s0", "s1", "s2"):
                record_prefill(fixture, identity)
            for identity in ("s3", "s4"):
                state_speed(fixture, identity, 2.5)
            chosen = {choose(fixture, PLAIN_QUERY) for _ in range(200)}
            self.assertEqual({"s5", "s6", "s7", "s8"}, chosen)

    def test_slow_server_is_used_while_the_others_have_no_slots(self):
        """Guards against refusals of a small service in heavy use."""
        fixture = make_fixture(load_age_s=0.4)
        state_speed(fixture, "s0", 2.5)
        for number in range(9):
            identity = f"s{number}"
            fixture.statements.record_slots(fixture.roster.get_entry(identity), 6)
        for load, is_used in ((2, False), (6, True)):
            for number in range(9):
                fixture.remote_loads.in_flight[f"s{number}"] = load
            chosen = {choose(fixture, PLAIN_QUERY) for _ in range(200)}
            self.assertEqual(is_used, "s0" in chosen, load)

    def test_lost_notice_costs_one_wait_only(self):
        """A host that was not told sends the request where it would have."""
        fixture = make_fixture()
        fixture.caches.record_send("short", "s3")
        self.assertEqual("s3", choose(fixture, SHORT_QUERY))


class LongPromptTest(TestCase):
    """Long prompts that no server has cached."""

    def test_two_long_prompts_are_read_by_two_servers(self):
        """At the same one they delayed each other."""
        fixture = make_fixture()
        first, second, third = list_order("long")[:3]
        self.assertEqual(first, choose(fixture, LONG_QUERY))
        record_prefill(fixture, first)
        choice = fixture.chooser.choose(LONG_QUERY)
        self.assertEqual(second, choice.server.identity)
        self.assertEqual(first, choice.left.server.identity)
        self.assertEqual("hashed", choice.reason)
        record_prefill(fixture, second)
        self.assertEqual(third, choose(fixture, LONG_QUERY))

    def test_least_remaining_time_if_three_servers_read(self):
        """With more candidates, hosts would agree less often."""
        fixture = make_fixture()
        first, second, third = list_order("long")[:3]
        for identity, expected_s in ((first, 0.3), (second, 0.1), (third, 0.2)):
            record_prefill(fixture, identity, expected_s)
        self.assertEqual(second, choose(fixture, LONG_QUERY))

    def test_slow_server_reads_no_new_prompt(self):
        """It takes several times as long, until its speed changes."""
        fixture = make_fixture()
        first, second = list_order("long")[:2]
        state_speed(fixture, first, 2.5)
        choice = fixture.chooser.choose(LONG_QUERY)
        self.assertEqual(second, choice.server.identity)
        self.assertEqual((0.0, 2.5), choice.left[1:3])
        state_speed(fixture, first, 1.2)
        self.assertEqual(first, choose(fixture, LONG_QUERY))
        state_speed(fixture, first, 2.5)
        fixture.timers.advance(0.6)
        self.assertEqual(first, choose(fixture, LONG_QUERY))

    def test_uncached_tokens(self):
        """They were known for services under permits only."""
        fixture = make_fixture()
        query = LONG_QUERY._replace(
            prefixes=(PromptPrefix("part", 2_000), PromptPrefix("long", 10_000))
        )
        self.assertEqual(LONG_TOKENS, fixture.chooser.choose(query).uncached_tokens)
        fixture.caches.record_send("part", choose(fixture, query))
        self.assertEqual(9_812, fixture.chooser.choose(query).uncached_tokens)
        fixture.caches.record_send("long", "s3")
        self.assertEqual(1_812, fixture.chooser.choose(query).uncached_tokens)
        # Copied from the holder, which is over the load limit.
        fixture.remote_loads.in_flight["s3"] = 40
        choice = fixture.chooser.choose(query)
        self.assertEqual("s3", choice.copy_source.identity)
        self.assertEqual(1_812, choice.uncached_tokens)


class OtherServicesTest(TestCase):
    """Services that are not uneven are served as before."""

    def test_prefills_and_speeds_change_nothing(self):
        """Neither the choice nor what is known of it."""
        fixture = RoutingFixture(9, 0.05)
        first = list_order("long")[0]
        fixture.caches.record_send("short", "s3")
        for identity in (first, "s3"):
            record_prefill(fixture, identity, 1.0)
        choice = fixture.chooser.choose(LONG_QUERY)
        self.assertEqual(first, choice.server.identity)
        self.assertIsNone(choice.left)
        self.assertEqual(0, choice.uncached_tokens)
        self.assertEqual("s3", choose(fixture, SHORT_QUERY))
        chosen = Counter(choose(fixture, PLAIN_QUERY) for _ in range(500))
        self.assertEqual(9, len(chosen))


class CostTest(TestCase):
    """A decision holds up the other requests of the host."""

    def setUp(self):
        """Let 20 of 150 servers read prompts, and let 25 be slow."""
        super().setUp()
        self.fixture = make_fixture(150, 0.8)
        for number in range(150):
            self.fixture.remote_loads.in_flight[f"s{number}"] = 3
            self.fixture.caches.record_send(f"k{number}", f"s{number}")
        for number in range(0, 150, 6):
            state_speed(self.fixture, f"s{number}", 2.5)
        for number in range(0, 140, 7):
            record_prefill(self.fixture, f"s{number}", 1.0)

    def _measure_us(self, decide, number: int) -> float:
        # Other processes on the machine only add to the time.
        repeats = timeit.repeat(decide, number=number, repeat=1000)
        return 1e6 * min(repeats) / number

    def test_time_of_a_choice_among_holders(self):
        """It includes the prompts that leave their holders."""
        queries = [
            SHORT_QUERY._replace(prefixes=(PromptPrefix(f"k{number}", 580),))
            for number in range(20)
        ]

        def choose_all() -> None:
            for query in queries:
                self.fixture.chooser.choose(query)

        self.assertLess(self._measure_us(choose_all, 1) / len(queries), 50.0)

    def test_time_of_a_choice_in_hash_order(self):
        """Without the loads of all servers, which other choices need too."""
        servers = self.fixture.roster.list_usable(ENGINE)
        pick = self.fixture.chooser.prefill_choice.pick_hashed
        queries = [
            LONG_QUERY._replace(prefixes=(PromptPrefix(key, 10_000),))
            for key in "abcdefgh"
        ]

        def pick_all() -> None:
            for query in queries:
                pick(query, servers)

        self.assertLess(self._measure_us(pick_all, 1) / len(queries), 50.0)

    def test_time_of_a_choice_among_all(self):
        """Of a request without prompt, likewise."""
        servers = self.fixture.roster.list_usable(ENGINE)
        pick = self.fixture.chooser.prefill_choice.list_soonest
        self.assertLess(self._measure_us(lambda: pick(servers), 5), 50.0)


class HashOrderTest(TestCase):
    """The order is the one in which other builds choose."""

    def test_order(self):
        """Hosts of several builds run beside each other."""
        servers = [make_server(f"s{number}") for number in range(20)]
        for key in ("a", "b", "é"):
            first = [entry.identity for entry in iterate_first(key, servers, 30)]
            self.assertEqual(list_order(key, 20), first)

"""Tests of the choice of a server, by load pattern."""

import random
from collections import Counter

from testtools import TestCase

from oleanderpier.routing import PromptPrefix, ServerQuery
from oleanderpier.routing.tests.fakes import ENGINE, RoutingFixture

# The users' limit on a server's requests in flight: LOAD_LIMIT_FACTOR times the mean
# of its service plus LOAD_LIMIT_OFFSET.
LOAD_LIMIT_FACTOR = 2
LOAD_LIMIT_OFFSET = 3


def send_request(fixture: RoutingFixture, key: str, tokens: int = 10_000):
    """Choose a server for a prompt and record the request as in flight."""
    query = ServerQuery(ENGINE, (PromptPrefix(key, tokens),) if key else ())
    choice = fixture.chooser.choose(query)
    fixture.chooser.begin_request(query, choice.server.identity)
    return choice


class AffinityTest(TestCase):
    """Prompts that share a prefix are sent to a server that has it cached."""

    def test_hosts_choose_same_server_for_a_key(self):
        """Hosts that exchanged no messages choose the same server for a key."""
        for key in ("a", "b", "c"):
            chosen = {
                send_request(RoutingFixture(), key).server.identity for _ in range(3)
            }
            self.assertEqual(1, len(chosen))

    def test_new_server_gets_no_cached_key(self):
        """A server that joins gets no prefix that another server has cached."""
        fixture = RoutingFixture()
        keys = [f"k{number}" for number in range(40)]
        before = {}
        for key in keys:
            before[key] = send_request(fixture, key).server.identity
            fixture.chooser.end_request(before[key])
        fixture.register_server("joined")
        for key in keys:
            choice = send_request(fixture, key)
            fixture.chooser.end_request(choice.server.identity)
            self.assertEqual(
                (before[key], "cached"), (choice.server.identity, choice.reason)
            )

    def test_entry_of_another_host_is_used(self):
        """A prefix that another host announced is sent to the same server."""
        fixture = RoutingFixture()
        fixture.caches.apply_updates([("k", "s7")])
        self.assertEqual("s7", send_request(fixture, "k").server.identity)

    def test_restart_removes_cache_entries(self):
        """A server that restarts under its id has an empty cache."""
        fixture = RoutingFixture()
        fixture.caches.apply_updates([("k", "s7")])
        fixture.register_server("s7", born_ms=2)
        self.assertEqual([], fixture.caches.list_holders("k"))


class SharedPrefixTest(TestCase):
    """Prompts on many subjects share a few common prefixes."""

    def count_computed_tokens(self, requests: int, copies: bool) -> int:
        """Return the tokens of common prefixes that engines compute themselves.

        Args:
            requests: The number of requests.
            copies: Whether engines can copy a prefix from one another.
        """
        fixture, rng = RoutingFixture(), random.Random(5)
        holders_by_key: dict[str, set[str]] = {}
        computed = 0
        for _ in range(requests):
            prefix = PromptPrefix(f"start-{rng.randrange(40)}", 341)
            subject = PromptPrefix(f"{prefix.key}-{rng.randrange(8)}", 2_041)
            query = ServerQuery(ENGINE, (prefix, subject))
            choice = fixture.chooser.choose(query)
            identity = choice.server.identity
            fixture.chooser.begin_request(query, identity)
            fixture.chooser.end_request(identity)
            holders = holders_by_key.setdefault(prefix.key, set())
            copied = (
                copies and choice.copy_source and choice.copy_source.identity in holders
            )
            if identity not in holders and not copied:
                computed += prefix.tokens
            holders.add(identity)
            fixture.timers.advance(0.05)
        return computed

    def test_shared_prefix_is_copied(self):
        """An engine that gets a new subject copies the common prefix."""
        each_once = 40 * 341
        self.assertEqual(each_once, self.count_computed_tokens(1_500, copies=True))
        self.assertGreater(
            self.count_computed_tokens(1_500, copies=False), 4 * each_once
        )

    def test_cached_prefix_is_not_copied(self):
        """A server that has the common prefix cached does not copy it."""
        fixture = RoutingFixture(servers=1)
        prefix = PromptPrefix("start", 341)
        for subject in ("a", "b"):
            query = ServerQuery(ENGINE, (prefix, PromptPrefix(subject, 2_041)))
            choice = fixture.chooser.choose(query)
            fixture.chooser.begin_request(query, choice.server.identity)
            self.assertIsNone(choice.copy_source)


class HotKeyTest(TestCase):
    """One prompt gets much of the traffic."""

    def test_load_stays_within_limit(self):
        """No server exceeds the users' limit; further servers copy the prefix."""
        fixture = RoutingFixture()
        rng = random.Random(3)
        choices = Counter()
        running: list[str] = []
        for number in range(2_000):
            key = "hot" if rng.random() < 0.4 else f"k{rng.randrange(100)}"
            choice = send_request(fixture, key)
            running.append(choice.server.identity)
            choices[choice.reason, choice.copy_source is not None] += 1
            if len(running) > 120:
                fixture.chooser.end_request(running.pop(rng.randrange(len(running))))
            loads = [fixture.chooser.count_in_flight(f"s{n}") for n in range(9)]
            mean = sum(loads) / len(loads)
            self.assertLessEqual(
                max(loads), LOAD_LIMIT_FACTOR * mean + LOAD_LIMIT_OFFSET, number
            )
        self.assertEqual(0, choices["spilled", False])
        self.assertGreater(choices["cached", False], 0.85 * choices.total())

    def test_choice_has_ages_of_its_data(self):
        """A choice holds the ages of the load and cache data behind it."""
        fixture = RoutingFixture(load_age_s=0.4)
        self.assertIsNone(send_request(fixture, "k").cache_age_s)
        fixture.timers.advance(2.0)
        choice = send_request(fixture, "k")
        self.assertAlmostEqual(2.0, choice.cache_age_s)
        self.assertEqual(0.4, choice.load_age_s)

    def test_load_of_other_hosts_is_counted(self):
        """A server that other hosts have loaded over the bound is not chosen."""
        fixture = RoutingFixture()
        first = send_request(fixture, "k").server.identity
        fixture.remote_loads.in_flight[first] = 40
        choice = send_request(fixture, "k")
        self.assertNotEqual(first, choice.server.identity)
        self.assertEqual(first, choice.copy_source.identity)


class FailingServerTest(TestCase):
    """Failing servers get fewer requests, and none during a backoff."""

    def test_leaving_server_gets_no_request(self):
        """A leaving server gets no requests, but its cache is copied."""
        fixture = RoutingFixture()
        first = send_request(fixture, "k").server.identity
        fixture.register_server(first, leaving=True)
        choice = send_request(fixture, "k")
        self.assertNotEqual(first, choice.server.identity)
        self.assertEqual(first, choice.copy_source.identity)

    def test_server_in_backoff_gets_one_trial(self):
        """An unreachable server gets nothing in its backoff, then one request."""
        fixture = RoutingFixture(servers=2)
        fixture.health.record_unreachable("s0")
        chosen = {
            fixture.chooser.choose(ServerQuery(ENGINE)).server.identity
            for _ in range(9)
        }
        self.assertEqual({"s1"}, chosen)
        fixture.timers.advance(0.6)
        trials = Counter(send_request(fixture, "").server.identity for _ in range(6))
        self.assertEqual(1, trials["s0"])

    def test_all_servers_in_backoff(self):
        """If all servers are in backoff, one is chosen all the same."""
        fixture = RoutingFixture(servers=2)
        for identity in ("s0", "s1"):
            fixture.health.record_unreachable(identity)
        self.assertEqual(
            "last_resort", fixture.chooser.choose(ServerQuery(ENGINE)).reason
        )

    def test_failing_server_gets_fewer_requests(self):
        """A server that fails half of its requests gets under a tenth of all."""
        fixture = RoutingFixture(servers=3)
        rng = random.Random(5)
        got = Counter()
        for _ in range(600):
            identity = send_request(fixture, "").server.identity
            got[identity] += 1
            failed = identity == "s0" and rng.random() < 0.5
            fixture.health.record_response(identity, failed)
            fixture.chooser.end_request(identity)
        self.assertLess(got["s0"], 60)

    def test_equal_failure_rates_share_load(self):
        """Servers with equal failure rates get equal shares of the requests."""
        fixture = RoutingFixture(servers=3)
        rng = random.Random(5)
        got = Counter()
        for _ in range(600):
            identity = send_request(fixture, "").server.identity
            got[identity] += 1
            fixture.health.record_response(identity, rng.random() < 0.5)
            fixture.chooser.end_request(identity)
        self.assertGreater(min(got.values()), 100)

    def test_service_without_servers(self):
        """A service without servers yields no choice."""
        self.assertIsNone(
            RoutingFixture(servers=0).chooser.choose(
                ServerQuery(ENGINE, (PromptPrefix("k", 9),))
            )
        )

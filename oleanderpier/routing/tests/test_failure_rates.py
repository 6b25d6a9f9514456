"""Tests of the penalty for failures in services of uneven speed."""

import random
from collections.abc import Callable
from hashlib import sha256

from testtools import TestCase

from oleanderpier.routing import LoadStatement, PromptPrefix, ServerQuery
from oleanderpier.routing.tests.fakes import ENGINE, RoutingFixture

SERVERS = 31
# The mean requests in flight per server of the small twin of the saves deployment.
MEAN_LOAD = 1.5
FAILING_RATIO = 0.45
PROMPTS = 200


def make_query(number: int) -> ServerQuery:
    """Return a request that uses one of the shared prompts."""
    return ServerQuery(ENGINE, (PromptPrefix(f"k{number}", 10_000),))


def make_fixture(uneven: bool, load_age_s: float = 0.0) -> RoutingFixture:
    """Return a host that knows servers, their loads, and who holds which prompt."""
    fixture = RoutingFixture(SERVERS, load_age_s)
    rng = random.Random(5)
    for number in range(SERVERS):
        load = int(rng.random() * 2 * MEAN_LOAD + 0.5)
        fixture.remote_loads.in_flight[f"s{number}"] = load
    placements = [(f"k{number}", f"s{number % SERVERS}") for number in range(PROMPTS)]
    fixture.caches.apply_updates(placements)
    if uneven:
        server = fixture.roster.get_entry("s0")
        load = LoadStatement(1, 0, 16, slow_factor=1.0)
        fixture.statements.loads.record(server, load, 0.0)
        fixture.statements.loads.allow_permits(False)
    return fixture


def record_results(
    fixture: RoutingFixture, rng: random.Random, get_rate: Callable[[int], float]
) -> None:
    """Record one result of each server, at random by its failure rate."""
    for number in range(SERVERS):
        failed = rng.random() < get_rate(number)
        fixture.health.record_peer_response(f"s{number}", failed)


def list_chosen(fixture: RoutingFixture, get_rate: Callable[[int], float]) -> list[str]:
    """Return the servers of requests for all prompts while servers fail."""
    rng = random.Random(7)
    chosen = []
    for _ in range(60):
        record_results(fixture, rng, get_rate)
    for _ in range(20):
        record_results(fixture, rng, get_rate)
        fixture.timers.advance(0.1)
        chosen += [
            fixture.chooser.choose(make_query(number)).server.identity
            for number in range(PROMPTS)
        ]
    return chosen


def count_left(chosen: list[str]) -> int:
    """Return how many requests went to another server than their prompt's holder."""
    return sum(
        identity != f"s{index % PROMPTS % SERVERS}"
        for index, identity in enumerate(chosen)
    )


class FailurePenaltyTest(TestCase):
    """A server is compared with what is usual in its service."""

    def test_prompts_stay_while_all_servers_fail_alike(self):
        """Prompts left their holders, since another server was luckier."""
        chosen = list_chosen(make_fixture(uneven=True), lambda _: FAILING_RATIO)
        self.assertLess(count_left(chosen) / len(chosen), 0.02)

    def test_server_that_fails_more_often_is_avoided(self):
        """Requests kept going to a server that fails half of them."""
        chosen = list_chosen(
            make_fixture(uneven=True), lambda number: 0.5 * (number == 3)
        )
        self.assertLess(chosen.count("s3") / len(chosen), 0.1 / SERVERS)
        self.assertEqual(
            {"s3"},
            {
                f"s{index % PROMPTS % SERVERS}"
                for index, identity in enumerate(chosen)
                if identity != f"s{index % PROMPTS % SERVERS}"
            },
        )

    def test_failing_half_of_few_servers_is_avoided(self):
        """One of two failing servers must not count as usual."""
        for servers, failing in ((2, 1), (4, 2)):
            fixture = RoutingFixture(servers)
            fixture.statements.loads.set_all_under_permits(True)
            fixture.statements.loads.allow_permits(False)
            fixture.caches.apply_updates([("k0", "s0")])
            for _ in range(30):
                for number in range(servers):
                    fixture.health.record_peer_response(f"s{number}", number < failing)
            for _ in range(20):
                server = fixture.chooser.choose(make_query(0)).server
                self.assertGreaterEqual(int(server.identity[1:]), failing)

    def test_even_service_is_served_as_before(self):
        """Servers of one speed are chosen as the code did before uneven services."""
        fixture = make_fixture(uneven=False, load_age_s=1.0)
        chosen = list_chosen(fixture, lambda _: FAILING_RATIO)
        digest = sha256(" ".join(chosen).encode()).hexdigest()
        self.assertEqual(EVEN_CHOICES_SHA256, digest)


# The choices of commit c2c815c6, before the first change for uneven services.
EVEN_CHOICES_SHA256 = "cb7ee7dcf839c918f7624399389db7c6c3ee69aa32bbb0b5d172327f5d3c12fa"

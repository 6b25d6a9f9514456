"""Tests of what servers say of whether they want requests."""

import math
import random

from testtools import TestCase

from oleanderpier.routing import (
    LimitStatement,
    PromptPrefix,
    Refusal,
    ServerQuery,
    ServerStatements,
    compute_wait_s,
)
from oleanderpier.routing.refusals import MISDIRECTED_WAIT_S
from oleanderpier.routing.statements import ENDED_LIMIT_KEPT_S, LEAVING_KEPT_S
from oleanderpier.routing.tests.fakes import ENGINE, RoutingFixture, make_server

SERVER = make_server("s1", born_ms=5)
RESTARTED = SERVER._replace(born_ms=6)
UNKNOWN_START = SERVER._replace(born_ms=0)


class LeavingTest(TestCase):
    """That a server leaves holds for the run that said so."""

    def setUp(self):
        """Record that one run of a server leaves."""
        super().setUp()
        self.statements = ServerStatements()
        self.statements.record_leaving("s1", SERVER.born_ms, 0.0)

    def test_registration_of_the_same_run_does_not_end_it(self):
        """Neither a lapse nor a new registration of the run does."""
        self.statements.record_end("s1")
        self.assertFalse(self.statements.is_willing(SERVER, 1.0))

    def test_new_start_ends_it(self):
        """A server that starts again under its id wants requests."""
        self.assertTrue(self.statements.is_willing(RESTARTED, 1.0))

    def test_late_statement_of_an_earlier_run_is_ignored(self):
        """It may come from another host."""
        self.assertFalse(self.statements.record_leaving("s1", 4, 1.0, "h2"))
        self.assertTrue(self.statements.record_leaving("s1", 6, 1.0, "h2"))
        self.assertFalse(self.statements.record_leaving("s1", 5, 2.0))
        self.assertFalse(self.statements.is_willing(RESTARTED, 2.0))

    def test_registration_without_start_ends_with_the_registration(self):
        """If the start is not known, a later registration is one of a new run."""
        self.statements.record_leaving("s2", 0, 0.0)
        server = UNKNOWN_START._replace(identity="s2")
        self.assertFalse(self.statements.is_willing(server, 1.0))
        self.statements.record_end("s2")
        self.assertTrue(self.statements.is_willing(server, 1.0))

    def test_statements_are_removed_in_the_end(self):
        """A server that has long gone costs no memory."""
        self.statements.remove_expired(LEAVING_KEPT_S - 1.0)
        self.assertEqual([("s1", 5)], self.statements.list_leaving())
        self.statements.remove_expired(LEAVING_KEPT_S + 1.0)
        self.assertEqual([], self.statements.list_leaving())


class LimitTest(TestCase):
    """The newest statement of a run tells whether it takes a limited rate."""

    def setUp(self):
        """Record the limit of one run of a server."""
        super().setUp()
        self.statements = ServerStatements()
        self.record(2.0, 10.0)

    def record(self, per_s: float, heard_s: float, born_ms: int = 5) -> bool:
        """Record a limit, infinite for none."""
        return self.statements.record_limit(
            "s1", LimitStatement(born_ms, per_s, heard_s, "")
        )

    def get_per_s(self, server=SERVER) -> float | None:
        """Return the limit in force."""
        limit = self.statements.get_limit(server)
        return limit and limit.per_s

    def test_newest_statement_holds(self):
        """Another host may have heard it earlier than it arrives here."""
        self.assertTrue(self.record(3.0, 11.0))
        self.assertFalse(self.record(4.0, 10.5))
        self.assertEqual(3.0, self.get_per_s())
        self.assertFalse(self.record(3.0, 12.0))

    def test_limit_ends_when_it_is_no_longer_named(self):
        """An older statement does not bring it back, a newer one does."""
        self.assertTrue(self.record(math.inf, 11.0))
        self.assertIsNone(self.get_per_s())
        self.assertEqual([], self.statements.list_limits())
        self.assertFalse(self.record(2.0, 10.5))
        self.assertIsNone(self.get_per_s())
        self.assertTrue(self.record(2.0, 11.5))
        self.assertEqual(2.0, self.get_per_s())

    def test_limit_holds_for_the_run(self):
        """A new start ends it; a late statement of an earlier run is ignored."""
        self.assertIsNone(self.get_per_s(RESTARTED))
        self.assertTrue(self.record(4.0, 12.0, born_ms=6))
        self.assertFalse(self.record(2.0, 13.0, born_ms=5))
        self.assertEqual(4.0, self.get_per_s(RESTARTED))

    def test_responses_without_a_limit_cost_no_memory(self):
        """Most servers never name one."""
        statements = ServerStatements()
        limit = LimitStatement(5, math.inf, 1.0, "")
        self.assertFalse(statements.record_limit("s2", limit))
        self.assertEqual({}, statements._limits)

    def test_ended_limit_is_forgotten(self):
        """A statement that is as old can't arrive any more."""
        self.record(math.inf, 11.0)
        self.statements.remove_expired(11.0 + ENDED_LIMIT_KEPT_S)
        self.assertEqual({}, self.statements._limits)


class WaitTest(TestCase):
    """A server gets no requests until the time that it asked for has passed."""

    def test_wait_is_not_shortened(self):
        """A later, shorter wait does not end a longer one."""
        statements = ServerStatements()
        self.assertTrue(statements.record_wait(SERVER, 4.0))
        self.assertFalse(statements.record_wait(SERVER, 2.0))
        self.assertEqual(1.0, statements.get_wait_s(SERVER, 3.0))
        self.assertTrue(statements.is_willing(SERVER, 4.0))

    def test_new_start_ends_wait(self):
        """The wait is that of the run that asked for it."""
        statements = ServerStatements()
        statements.record_wait(SERVER, 4.0)
        self.assertTrue(statements.is_willing(RESTARTED, 1.0))
        self.assertTrue(statements.record_wait(RESTARTED, 2.0))

    def test_shortest_wait_is_that_of_servers_that_stay(self):
        """None if all servers leave."""
        statements = ServerStatements()
        servers = [make_server(name, born_ms=5) for name in ("s1", "s2", "s3")]
        for server, until_s in zip(servers, (4.0, 3.0, 2.0), strict=True):
            statements.record_wait(server, until_s)
        statements.record_leaving("s3", 5, 0.0)
        self.assertEqual(2.0, statements.get_shortest_wait_s(servers, 1.0))
        statements.record_leaving("s1", 5, 0.0)
        statements.record_leaving("s2", 5, 0.0)
        self.assertIsNone(statements.get_shortest_wait_s(servers, 1.0))

    def test_wait_follows_from_refusal_and_request_of_the_server(self):
        """The longer of both counts; a wait that was asked for gets a random part."""
        rng = random.Random(1)
        self.assertEqual(0.0, compute_wait_s(None, None, rng))
        self.assertEqual(0.0, compute_wait_s(Refusal.BUSY, 0.0, rng))
        self.assertEqual(
            MISDIRECTED_WAIT_S, compute_wait_s(Refusal.MISDIRECTED, None, rng)
        )
        waits = {compute_wait_s(Refusal.BUSY, 2.0, rng) for _ in range(50)}
        self.assertEqual(50, len(waits))
        self.assertTrue(2.0 <= min(waits) <= max(waits) <= 2.5)


class LoadPatternTest(TestCase):
    """The choice under load, while servers say what they want."""

    def count_choices(self, fixture: RoutingFixture, seconds: float) -> dict[str, int]:
        """Return how often each server was chosen; ``none`` for no server."""
        counts: dict[str, int] = {}
        for _ in range(int(seconds * 100)):
            choice = fixture.chooser.choose(ServerQuery(ENGINE))
            name = choice.server.identity if choice else "none"
            counts[name] = counts.get(name, 0) + 1
            fixture.timers.advance(0.01)
        return counts

    def test_release_reaches_the_choice_before_the_registrations(self):
        """Servers of a release get nothing from their first response on."""
        fixture = RoutingFixture(servers=9)
        for number in range(3):
            fixture.statements.record_leaving(f"s{number}", 1, fixture.timers.now())
            # The store still lists it, or lists it again.
            fixture.register_server(f"s{number}", leaving=False)
            counts = self.count_choices(fixture, 1.0)
            self.assertEqual(9 - number - 1, len(counts))
            self.assertNotIn(f"s{number}", counts)
        fixture.register_server("s0", born_ms=2)
        self.assertIn("s0", self.count_choices(fixture, 1.0))

    def test_half_of_the_servers_ask_for_time(self):
        """They get nothing until it has passed; then all serve again."""
        fixture = RoutingFixture(servers=8)
        asking = [f"s{number}" for number in range(4)]
        for identity in asking:
            server = fixture.roster.get_entry(identity)
            fixture.statements.record_wait(server, fixture.timers.now() + 2.0)
        counts = self.count_choices(fixture, 1.9)
        self.assertEqual(set(), set(counts) & {*asking, "none"})
        fixture.timers.advance(0.2)
        self.assertEqual(8, len(self.count_choices(fixture, 2.0)))

    def test_all_servers_ask_for_time(self):
        """No server is chosen, not even as the last resort, until the first is free."""
        fixture = RoutingFixture(servers=3)
        for number in range(3):
            server = fixture.roster.get_entry(f"s{number}")
            fixture.statements.record_wait(server, fixture.timers.now() + 1.0 + number)
        self.assertEqual(1.0, fixture.chooser.get_shortest_wait_s(ServerQuery(ENGINE)))
        self.assertEqual({"none": 99}, self.count_choices(fixture, 0.99))
        fixture.timers.advance(0.05)
        self.assertEqual(["s0"], list(self.count_choices(fixture, 0.5)))

    def test_server_that_holds_the_prompt_asks_for_time(self):
        """The cached prompt does not speak for it."""
        fixture = RoutingFixture(servers=3)
        query = ServerQuery(ENGINE, (PromptPrefix("p", 10_000),))
        holder = fixture.chooser.choose(query).server
        fixture.chooser.begin_request(query, holder.identity)
        self.assertEqual(holder, fixture.chooser.choose(query).server)
        fixture.statements.record_wait(holder, fixture.timers.now() + 1.0)
        self.assertNotEqual(holder, fixture.chooser.choose(query).server)

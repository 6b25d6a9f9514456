"""Tests of forwarding while servers are evacuated or cold."""

from testtools import TestCase

from oleanderpier.forwarding.tests.fakes import (
    ForwarderFixture,
    forward_request,
    never_respond,
    reset_connection,
    respond,
)
from oleanderpier.results import Code
from oleanderpier.routing import RequestKind

IDEMPOTENT = {"kind": RequestKind.IDEMPOTENT, "resumable": False, "target_s": 0.2}


class EvacuatedTest(TestCase):
    """No attempt of any kind reaches a server of an evacuated failure domain.

    Requests of tests in other processes may reach a port that these have just closed,
    so that the attempts of this host are counted, not what arrives.
    """

    def test_retry(self):
        """After a lost response the request goes to the server behind."""
        fixture = ForwarderFixture([reset_connection], [respond()], [respond()])
        fixture.evacuated = ("s1",)
        outcome = forward_request(fixture, max_attempts=2, **IDEMPOTENT)
        self.assertEqual(Code.DONE, outcome.code)
        self.assertEqual((2, "s2"), (outcome.attempts, outcome.server))

    def test_hedge(self):
        """While the server is silent, the request goes to the server behind."""
        fixture = ForwarderFixture([never_respond], [respond()], [respond()])
        fixture.evacuated = ("s1",)
        outcome = forward_request(
            fixture, timeout_s=4.0, max_attempts=2, **{**IDEMPOTENT, "target_s": 0.1}
        )
        self.assertEqual(Code.DONE, outcome.code)
        self.assertEqual((2, "s2"), (outcome.attempts, outcome.server))

    def test_wait_for_the_limit_of_a_server(self):
        """The evacuation became known during it, and the request was sent anyway."""
        fixture = ForwarderFixture([respond()], [respond()])
        fixture.evacuated_in_wait = ("s0",)
        outcome = forward_request(fixture, **IDEMPOTENT)
        self.assertEqual(Code.DONE, outcome.code)
        self.assertEqual((1, "s1"), (outcome.attempts, outcome.server))

    def test_refusal(self):
        """Without another server the request is refused at once, with a time."""
        waits_s = []
        for _ in range(3):
            fixture = ForwarderFixture([respond()], [respond()])
            fixture.evacuated = ("s0", "s1")
            outcome = forward_request(fixture, **IDEMPOTENT)
            self.assertEqual(Code.NO_BACKEND_SERVER, outcome.code)
            self.assertIn("alpena is evacuated", outcome.reason)
            self.assertEqual(0, outcome.attempts)
            self.assertEqual([("evacuated", "refused")], fixture.moved)
            waits_s.append(fixture.caller.failure.retry_after_s)
        self.assertTrue(all(0.5 <= wait_s <= 1.5 for wait_s in waits_s), waits_s)


class ColdTest(TestCase):
    """A request that a limit holds back from a cold server says so in the log."""

    def test_held_back(self):
        """Only if the server is cold; the request goes to another one."""
        for cold, expected in (("s0", [("cold", "held_back")]), ("s1", [])):
            fixture = ForwarderFixture([respond()], [respond()], used_up=("s0",))
            fixture.cold = (cold,)
            outcome = forward_request(fixture, **IDEMPOTENT)
            self.assertEqual((Code.DONE, "s1"), (outcome.code, outcome.server))
            self.assertEqual(expected, fixture.moved)

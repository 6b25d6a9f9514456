"""Tests of forwarding while servers are reading long prompts."""

from eliot import add_destinations, remove_destination
from testtools import TestCase

from oleanderpier.forwarding.tests.fakes import ForwarderFixture, respond
from oleanderpier.routing import RequestKind
from oleanderpier.routing.hash_order import score_server
from oleanderpier.routing.tests.fakes import make_route
from oleanderpier.utils import run_coroutine

ROUTE = make_route(kind=RequestKind.IDEMPOTENT, resumable=False)


class LongPromptTest(TestCase):
    """A request leaves a server that is reading a long prompt."""

    def forward(self, reading: tuple[str, ...]) -> tuple[ForwarderFixture, list[dict]]:
        """Forward a request; return the lines of the log on the server that it left."""
        fixture = ForwarderFixture([respond()], [respond()])
        fixture.reading = reading
        lines = []
        add_destinations(lines.append)
        # The first destination gets the messages of before as well.
        lines.clear()
        try:
            run_coroutine(fixture.forward(ROUTE, 5.0))
        finally:
            remove_destination(lines.append)
        return fixture, [
            line for line in lines if line["message_type"] == "routing:prefill"
        ]

    def test_log_names_the_server_that_it_left(self):
        """Nothing else tells why the prompt was read where it was."""
        first, second = sorted(["s0", "s1"], key=lambda name: score_server("p", name))
        fixture, lines = self.forward((first,))
        self.assertEqual([second], [choice.server.identity for choice in fixture.sent])
        self.assertEqual([("prefill", "moved")], fixture.moved)
        (line,) = lines
        self.assertEqual(
            ("r-1", first, second, "prefill", "moved"),
            tuple(
                line[field]
                for field in ("request", "server", "to", "reason", "decision")
            ),
        )
        self.assertGreater(line["remaining_s"], 1.0)
        self.assertGreaterEqual(line["age_s"], 0.0)

    def test_request_that_stays(self):
        """Nothing is logged if no server reads a long prompt."""
        fixture, lines = self.forward(())
        self.assertEqual(1, len(fixture.sent))
        self.assertEqual(([], []), (fixture.moved, lines))

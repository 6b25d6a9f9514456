"""Tests of what the log says of attempts."""

from eliot import add_destinations, remove_destination
from testtools import TestCase

from oleanderpier.forwarding.tests.fakes import (
    ForwarderFixture,
    close_connection,
    cut_stream,
    format_events,
    forward_request,
    never_respond,
    respond,
    stream_events,
    stream_without_length,
)

EVENTS = format_events(1, 3)
PARTIAL = b"id: 4\nda"


def log_attempt(behave) -> dict:
    """Return the log line of an attempt at a server."""
    lines = []
    add_destinations(lines.append)
    # The first destination gets the messages of before as well.
    lines.clear()
    try:
        forward_request(ForwarderFixture([behave]), timeout_s=0.5, max_attempts=1)
    finally:
        remove_destination(lines.append)
    (line,) = [line for line in lines if line["message_type"] == "forward:send"]
    return line


class AttemptLogTest(TestCase):
    """The log tells how a response was framed and where it ended."""

    def test_framing_and_size(self):
        """The line names what ends the body, its size and that of a cut event."""
        cases = {
            "chunked": (stream_events(3), "chunks", EVENTS, b""),
            "chunked, cut": (cut_stream(3, PARTIAL), "chunks", EVENTS, PARTIAL),
            "length": (respond(404, b"none"), "length", b"none", b""),
            "neither": (
                stream_without_length(EVENTS, close_connection),
                "connection",
                EVENTS,
                b"",
            ),
            "neither, cut": (
                stream_without_length(EVENTS + PARTIAL, close_connection),
                "connection",
                EVENTS,
                PARTIAL,
            ),
            "no response": (never_respond, "", b"", b""),
        }
        for name, (behave, framing, whole, partial) in cases.items():
            line = log_attempt(behave)
            self.assertEqual(
                (framing, len(whole) + len(partial), len(partial)),
                (
                    line["framing"],
                    line["received_bytes"],
                    line["partial_event_bytes"],
                ),
                name,
            )

    def test_parts_of_prompt_of_broken_response(self):
        """The line names the parts, and for how long events had arrived."""
        cases = {
            "whole": (stream_events(3), [], True),
            "broken after an event": (cut_stream(3), ["p", "own"], True),
            "broken before an event": (cut_stream(0), ["p", "own"], False),
        }
        for name, (behave, parts, has_events) in cases.items():
            line = log_attempt(behave)
            self.assertEqual(parts, line["prompt_parts"], name)
            self.assertEqual(has_events, line["events_for_s"] is not None, name)

"""Tests of streams that servers break off."""

from testtools import TestCase

from oleanderpier.forwarding.tests.fakes import (
    ForwarderFixture,
    ReceivedRequest,
    close_connection,
    format_events,
    forward_request,
    respond,
    stream_events,
    stream_without_length,
)
from oleanderpier.results import Code

EVENTS = format_events(1, 3)
FOURTH_EVENT = format_events(4, 4)


def break_off(body: bytes):
    """Return a behaviour that streams bytes without a length, then closes."""
    return stream_without_length(body, close_connection)


def forward_broken_stream(*behaviours, **changes) -> ForwarderFixture:
    """Forward a request to servers with one behaviour each; return the fixture."""
    fixture = ForwarderFixture(*([behave] for behave in behaviours))
    fixture.outcome = forward_request(
        fixture, max_attempts=len(behaviours), target_s=0.3, **changes
    )
    return fixture


class StreamWithoutLengthTest(TestCase):
    """A stream that ends with its connection is complete only after an event."""

    def test_stream_closed_inside_event_does_not_look_complete(self):
        """At no offset of an event is a stream that can't be resumed complete."""
        for changes in ({"resumable": False}, {"resumable": True}):
            for size in range(1, len(FOURTH_EVENT)):
                fixture = forward_broken_stream(
                    break_off(EVENTS + FOURTH_EVENT[:size]), **changes
                )
                self.assertEqual(
                    (Code.STREAM_CUT, True, False, EVENTS),
                    (
                        fixture.outcome.code,
                        fixture.caller.aborted,
                        fixture.caller.complete,
                        fixture.caller.data,
                    ),
                    size,
                )

    def test_stream_closed_inside_event_resumes_at_another_server(self):
        """The other server repeats the event that was cut."""
        fixture = forward_broken_stream(
            break_off(EVENTS + FOURTH_EVENT[:-1]), stream_events(6)
        )
        self.assertEqual(Code.DONE, fixture.outcome.code)
        self.assertEqual(format_events(1, 6), fixture.caller.data)
        self.assertEqual([1, 1], fixture.count_requests())

    def test_stream_closed_before_its_first_event_does_not_look_complete(self):
        """Without any event nothing shows that the response is whole."""
        fixture = forward_broken_stream(break_off(b""))
        self.assertEqual(Code.STREAM_CUT, fixture.outcome.code)
        self.assertFalse(fixture.caller.complete)

    def test_stream_closed_after_an_event_is_complete(self):
        """The caller gets it byte for byte."""
        for body in (EVENTS, EVENTS + b"\n"):
            fixture = forward_broken_stream(break_off(body))
            self.assertEqual(Code.DONE, fixture.outcome.code)
            self.assertEqual(body, fixture.caller.data)
            self.assertTrue(fixture.caller.complete)


class DocumentTest(TestCase):
    """A response to a streaming request that is no stream of events."""

    def test_document_with_length_is_passed_on_whole(self):
        """Another content type with a length is a whole response."""
        fixture = forward_broken_stream(
            respond(body=b"{}", headers=["Content-Type: application/json"])
        )
        self.assertEqual(Code.DONE, fixture.outcome.code)
        self.assertEqual((b"{}", True), (fixture.caller.data, fixture.caller.complete))


class FramedStreamTest(TestCase):
    """What the events say goes before what the framing says."""

    def test_framed_stream_inside_event_does_not_look_complete(self):
        """A stream inside an event is broken off, though its framing is complete."""
        cut = EVENTS + FOURTH_EVENT[:-1]
        framings = {
            "length": (f"Content-Length: {len(cut)}", cut),
            "chunks": (
                "Transfer-Encoding: chunked",
                f"{len(cut):x}\r\n".encode() + cut + b"\r\n0\r\n\r\n",
            ),
        }
        for name, (header, body) in framings.items():

            async def behave(
                request: ReceivedRequest, header=header, body=body
            ) -> None:
                head = f"HTTP/1.1 200 OK\r\nId: {request.get_header('id')}\r\n"
                head += f"Content-Type: text/event-stream\r\nSigned: yes\r\n{header}"
                await request.send(f"{head}\r\n\r\n".encode() + body)

            fixture = forward_broken_stream(behave)
            self.assertEqual(Code.STREAM_CUT, fixture.outcome.code, name)
            self.assertEqual(EVENTS, fixture.caller.data, name)
            self.assertFalse(fixture.caller.complete, name)

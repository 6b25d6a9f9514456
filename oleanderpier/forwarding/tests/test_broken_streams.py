"""Tests of streams that servers break off."""

import asyncio
from typing import NamedTuple

from testtools import TestCase

from oleanderpier.forwarding.tests.fakes import (
    Behaviour,
    ForwarderFixture,
    ReceivedRequest,
    RecordingCaller,
    close_connection,
    format_events,
    forward_request,
    reset_connection,
    respond,
    stream_events,
    stream_without_length,
)
from oleanderpier.results import Code
from oleanderpier.routing import RequestKind
from oleanderpier.routing.tests.fakes import make_route
from oleanderpier.utils import run_coroutine

EVENTS = format_events(1, 3)
FOURTH_EVENT = format_events(4, 4)
# Longer than a server needs to start again.
LONG_PAUSE_S = 1.3
BULK = b"x" * 1000


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


class _Cut(NamedTuple):
    """Where and how a response is cut.

    Attributes:
        framing: ``length``, ``chunks`` or ``connection``.
        size: How many bytes of the response are sent, head included.
        end: How the connection ends.
    """

    framing: str
    size: int
    end: Behaviour


def make_response(framing: str) -> bytes:
    """Return a whole response to the request of ``make_call``."""
    header, body = {
        "length": (f"Content-Length: {len(EVENTS)}\r\n", EVENTS),
        "chunks": (
            "Transfer-Encoding: chunked\r\n",
            f"{len(EVENTS):x}\r\n".encode() + EVENTS + b"\r\n0\r\n\r\n",
        ),
        "connection": ("", EVENTS),
    }[framing]
    head = "HTTP/1.1 200 OK\r\nId: r-1\r\nSigned: yes\r\n"
    return f"{head}Content-Type: text/event-stream\r\n{header}\r\n".encode() + body


async def forward_cut_response(
    cut: _Cut, kind: RequestKind = RequestKind.STREAM
) -> RecordingCaller:
    """Forward a request to a server that cuts its response; return the caller."""

    async def behave(request: ReceivedRequest) -> None:
        await request.send(make_response(cut.framing)[: cut.size])
        await cut.end(request)

    fixture = ForwarderFixture([behave])
    route = make_route(sticky=False, max_attempts=1, kind=kind)
    await fixture.forward(route, timeout_s=5.0)
    return fixture.caller


class CutAtEachOffsetTest(TestCase):
    """A response that is cut anywhere does not look complete."""

    def test_response_cut_at_each_offset_is_not_complete(self):
        """Only a close after an event can't be told from the end of the stream."""

        async def run(framing: str) -> None:
            whole = make_response(framing)
            event_ends = {
                size for size in range(len(whole)) if whole[:size].endswith(b"\n\n")
            }
            cuts = [
                _Cut(framing, size, end)
                for size in range(len(whole))
                for end in (close_connection, reset_connection)
            ]
            callers = await asyncio.gather(*map(forward_cut_response, cuts))
            for cut, caller in zip(cuts, callers, strict=True):
                may_be_complete = (
                    framing == "connection"
                    and cut.end is close_connection
                    and cut.size in event_ends
                )
                self.assertEqual(may_be_complete, caller.complete, cut)
                self.assertTrue(EVENTS.startswith(caller.data), cut)
                self.assertTrue(caller.data[-2:] in (b"", b"\n\n"), cut)

        for framing in ("length", "chunks", "connection"):
            run_coroutine(run(framing))


class CutHeadTest(TestCase):
    """A response that ends in its head never reaches the caller."""

    def test_response_cut_in_its_head_is_not_delivered(self):
        """Requests of each kind, with each way to end a body."""

        async def run(framing: str, kind: RequestKind) -> list[RecordingCaller]:
            head_size = make_response(framing).index(b"\r\n\r\n") + 4
            cuts = [
                _Cut(framing, size, end)
                for size in range(head_size)
                for end in (close_connection, reset_connection)
            ]
            return await asyncio.gather(
                *(forward_cut_response(cut, kind) for cut in cuts)
            )

        for framing in ("length", "chunks", "connection"):
            for kind in RequestKind:
                for caller in run_coroutine(run(framing, kind)):
                    self.assertEqual(b"", caller.data, (framing, kind))
                    self.assertEqual(502, caller.status, (framing, kind))
                    self.assertFalse(caller.complete, (framing, kind))


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


class ServerEndTest(TestCase):
    """A response without a length that ends as its server ends is not complete."""

    def forward(self, *behaviours, **changes) -> ForwarderFixture:
        """Forward a request; the first server stops listening with its response."""
        fixture = ForwarderFixture(*behaviours)

        async def end_server(request: ReceivedRequest) -> None:
            fixture.servers[0]._listener.close()
            await close_connection(request)

        fixture.servers[0]._script.append(stream_without_length(EVENTS, end_server))
        fixture.outcome = forward_request(
            fixture, max_attempts=2, target_s=0.3, **changes
        )
        return fixture

    def test_stream_that_ends_with_its_server_between_events_is_not_complete(self):
        """It is resumed, or the caller's connection is aborted."""
        fixture = self.forward([], [stream_events(6)])
        self.assertEqual(Code.DONE, fixture.outcome.code)
        self.assertEqual(format_events(1, 6), fixture.caller.data)
        fixture = self.forward([], resumable=False)
        self.assertEqual(Code.STREAM_CUT, fixture.outcome.code)
        self.assertEqual(
            (True, False), (fixture.caller.aborted, fixture.caller.complete)
        )

    def test_call_that_ends_with_its_server_may_have_run(self):
        """Its body may be cut."""
        fixture = self.forward([], kind=RequestKind.ONCE)
        self.assertEqual(Code.ANSWER_LOST, fixture.outcome.code)


class LateEndTest(TestCase):
    """The end of a connection that is read late does not end a response.

    The server may have crashed and listen again.
    """

    def forward(self, *sent: tuple[float, bytes], others=(), **changes) -> tuple:
        """Forward a request whose response has neither a length nor chunks.

        Args:
            sent: What the server sends before it closes the connection, each after a
                pause in seconds.
            others: Behaviours for requests that are forwarded at the same time.
            changes: Changes of the route.

        Returns:
            The result code, and whether the caller got a complete response.
        """

        async def behave(request: ReceivedRequest) -> None:
            for pause_s, data in sent:
                await asyncio.sleep(pause_s)
                await request.send(data)

        async def wait_and_respond(request: ReceivedRequest) -> None:
            pause_s, body = head
            await asyncio.sleep(pause_s)
            await stream_without_length(body, behave)(request)
            await close_connection(request)

        head, *sent = sent
        fixture = ForwarderFixture([wait_and_respond, *others])
        fixture.at_once = True
        route = make_route(max_attempts=1, target_s=0.3, **changes)
        callers = [RecordingCaller() for _ in range(1 + len(others))]
        outcome, *_ = run_coroutine(fixture.forward_all(route, 9.0, callers))
        return outcome.code, callers[0].complete

    def test_response_after_standstill_does_not_look_complete(self):
        """Whatever was held up arrives at once, and then the end."""
        held_up = (LONG_PAUSE_S, FOURTH_EVENT)
        for resumable in (False, True):
            self.assertEqual(
                (Code.STREAM_CUT, False),
                self.forward((0.0, EVENTS), held_up, resumable=resumable),
            )
        self.assertEqual(
            (Code.ANSWER_LOST, False),
            self.forward((0.0, b"part"), held_up, kind=RequestKind.ONCE),
        )

    def test_end_after_standstill_does_not_look_complete(self):
        """Neither does the end alone, or a response with its head."""
        for sent in (
            [(0.0, EVENTS), (LONG_PAUSE_S, b"")],
            [(LONG_PAUSE_S, EVENTS)],
        ):
            code, complete = self.forward(*sent, resumable=False)
            self.assertEqual((Code.STREAM_CUT, False), (code, complete), sent)

    def test_response_that_goes_on_after_standstill_is_complete(self):
        """The server sends for longer than a restart takes."""
        events = [format_events(number, number) for number in range(4, 9)]
        sent = [(LONG_PAUSE_S / 4, event) for event in events]
        self.assertEqual(
            (Code.DONE, True),
            self.forward((0.0, EVENTS), (LONG_PAUSE_S, b": x\n\n"), *sent),
        )

    def test_response_beside_others_of_the_server_is_complete(self):
        """That others arrive meanwhile shows that nothing stands still."""
        others = [respond(delay_s=tenths / 5) for tenths in range(9)]
        self.assertEqual(
            (Code.DONE, True),
            self.forward(
                (LONG_PAUSE_S, b"whole"), others=others, kind=RequestKind.ONCE
            ),
        )

    def test_end_behind_a_slow_caller_does_not_look_complete(self):
        """The rest and the end were there long before the caller took them."""
        fixture = ForwarderFixture([break_off(EVENTS + b"data: " + BULK + b"\n\n")])
        caller = _SlowCaller()
        route = make_route(max_attempts=1, target_s=0.3, resumable=False)
        (outcome,) = run_coroutine(fixture.forward_all(route, 9.0, [caller]))
        self.assertEqual((Code.STREAM_CUT, False), (outcome.code, caller.complete))


class _SlowCaller(RecordingCaller):
    """A caller that takes each write only after some time."""

    async def write(self, data: bytes) -> None:
        await asyncio.sleep(LONG_PAUSE_S)
        await super().write(data)

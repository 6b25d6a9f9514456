"""Tests of servers that send bytes without end that are no response."""

import asyncio
import os
import time
from pathlib import Path

from testtools import TestCase

from oleanderpier.forwarding.attempts import MAX_RESPONSE_BYTES
from oleanderpier.forwarding.records import RequestOutcome
from oleanderpier.forwarding.tests.fakes import (
    Behaviour,
    ForwarderFixture,
    ReceivedRequest,
    RecordingCaller,
    forward_request,
    respond,
)
from oleanderpier.results import Code
from oleanderpier.routing import RequestKind
from oleanderpier.routing.tests.fakes import make_route
from oleanderpier.utils import run_coroutine

BLOCK_BYTES = 1 << 14
# Bytes that the buffers of the sockets hold besides those that were read.
BUFFERED_BYTES = 16 << 20
# Long enough that only a bound of bytes ends a response before it.
DEADLINE_S = 60.0
# Requests at a time, to a server that sends without end and a sound one.
REQUEST_COUNT = 200
# The users' hosts have 300 MB; an idle one takes 40 MB.
MAX_GROWTH_BYTES = 260_000_000
SAMPLE_INTERVAL_S = 0.01
# By then all requests have ended, though one processor serves both sides.
MAX_DURATION_S = 30.0
SOUND_BODY = b"s" * (1 << 17)
HEAD = b"HTTP/1.1 200 OK\r\nId: r-1\r\nSigned: yes\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
WITHOUT_LENGTH = HEAD + b"Connection: close\r\n\r\n"

# The first bytes, and those that follow again and again.
HEADS = {
    "no status line": (b"", b"x"),
    "empty lines before the status line": (b"", b"\r\n"),
    "one header line": (HEAD + b"X: ", b"y"),
    "header lines": (HEAD, b"X: y\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk extension": (CHUNKED + b"5;", b"z"),
    "chunk size": (CHUNKED, b"0"),
    "trailers": (CHUNKED + b"0\r\n", b"X: y\r\n"),
}
BODIES = {
    "body without length": (WITHOUT_LENGTH, b"b"),
    "body in chunks": (CHUNKED, b"4000\r\n" + b"b" * 0x4000 + b"\r\n"),
    "body in small chunks": (CHUNKED, b"1\r\nb\r\n"),
    "empty lines in the body": (WITHOUT_LENGTH, b"\n"),
    "comments in the body": (WITHOUT_LENGTH, b":\n"),
}


class _EndlessServer:
    """Sends bytes until the connection is closed.

    Attributes:
        sent_bytes: How many were sent.
    """

    def __init__(self, first: bytes, repeated: bytes) -> None:
        self.sent_bytes = 0
        self._first = first
        self._block = repeated * (BLOCK_BYTES // len(repeated) + 1)

    def make_behaviour(self) -> Behaviour:
        """Return the behaviour for ``ForwarderFixture``."""

        async def behave(request: ReceivedRequest) -> None:
            await request.send(self._first)
            while not request.closed.is_set():
                await request.send(self._block)
                self.sent_bytes += len(self._block)

        return behave


class EndlessResponseTest(TestCase):
    """A bound of bytes ends them, long before the deadline."""

    def check_cases(self, cases: dict, **changes) -> None:
        """Check the end of the request and the bytes that were accepted."""
        for name, (first, repeated) in cases.items():
            server = _EndlessServer(first, repeated)
            fixture = ForwarderFixture([server.make_behaviour()])
            outcome = forward_request(
                fixture, DEADLINE_S, max_attempts=1, resumable=False, **changes
            )
            self.assertIn(outcome.code, (Code.ANSWER_LOST, Code.STREAM_CUT), name)
            self.assertFalse(fixture.caller.complete, name)
            limit = MAX_RESPONSE_BYTES + BUFFERED_BYTES
            self.assertLess(server.sent_bytes, limit, name)

    def test_endless_bytes_before_or_between_the_parts_of_a_body(self):
        """Requests that run once, and streams."""
        self.check_cases(HEADS, kind=RequestKind.ONCE)
        self.check_cases(HEADS, kind=RequestKind.STREAM)

    def test_endless_body(self):
        """Requests that run once, and streams."""
        self.check_cases(BODIES, kind=RequestKind.ONCE)
        self.check_cases(BODIES, kind=RequestKind.STREAM)


class EndlessResponsesAtOnceTest(TestCase):
    """Many at a time take a bounded part of the host's memory and processor."""

    def test_memory_is_bounded_over_all_responses(self):
        """The responses of the other server are whole."""
        for name, (first, repeated) in {**HEADS, **BODIES}.items():
            for kind in (RequestKind.ONCE, RequestKind.STREAM):
                outcomes, growth_bytes, took_s = run_coroutine(
                    _forward_at_once(kind, first, repeated)
                )
                case = f"{name}, {kind.value}"
                self.assertLess(growth_bytes, MAX_GROWTH_BYTES, case)
                self.assertLess(took_s, MAX_DURATION_S, case)
                sound = [o.code for o in outcomes if o.server == "s1"]
                self.assertEqual({Code.DONE}, set(sound), case)


async def _forward_at_once(
    kind: RequestKind, first: bytes, repeated: bytes
) -> tuple[list[RequestOutcome], int, float]:
    """Return the outcomes, the growth of this process and the seconds it took."""
    endless = _EndlessServer(first, repeated).make_behaviour()
    # A document also on the route of streams.
    headers = ["Content-Type: application/json"]
    sound = respond(body=SOUND_BODY, headers=headers, delay_s=0.1)
    fixture = ForwarderFixture([endless], [sound])
    fixture.at_once = True
    route = make_route(sticky=False, kind=kind, max_attempts=1, resumable=False)
    callers = [RecordingCaller() for _ in range(REQUEST_COUNT)]
    sizes = [_read_resident_bytes()]

    async def sample() -> None:
        while True:
            sizes.append(_read_resident_bytes())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    sampling = asyncio.create_task(sample())
    started_s = time.monotonic()
    outcomes = await fixture.forward_all(route, DEADLINE_S, callers)
    took_s = time.monotonic() - started_s
    sampling.cancel()
    return outcomes, max(sizes) - sizes[0], took_s


def _read_resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")

"""Tests of servers that send bytes without end that are no response."""

from testtools import TestCase

from oleanderpier.forwarding.attempts import MAX_RESPONSE_BYTES
from oleanderpier.forwarding.tests.fakes import (
    Behaviour,
    ForwarderFixture,
    ReceivedRequest,
    forward_request,
)
from oleanderpier.results import Code
from oleanderpier.routing import RequestKind

BLOCK_BYTES = 1 << 14
# Bytes that the buffers of the sockets hold besides those that were read.
BUFFERED_BYTES = 16 << 20
# Long enough that only a bound of bytes ends a response before it.
DEADLINE_S = 60.0
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

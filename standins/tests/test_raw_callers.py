"""Tests of the callers that use one connection for all requests."""

import asyncio
import math
import socket

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from soak.proxy import LINGER_RESET
from standins.raw_callers import BodyForm, RawCaller, RawRequest, RawResponse
from standins.raw_listeners import serve_raw_connections

# Time for which the server leaves the connection open after its response.
OPEN_S = 0.1
# Time in which both sides close it.
CLOSE_S = 0.15
REQUEST = RawRequest("/payout/x", "r1", b"body")
SHORT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"


def exchange(
    response: bytes,
    form: BodyForm = BodyForm.WITH_HEAD,
    end: bytes = b"body",
    resets: bool = False,
) -> RawResponse:
    """Return what a caller gets from a server.

    Args:
        response: What the server sends before it closes the connection.
        form: How the caller sends its body.
        end: The server sends its response as soon as it has read this.
        resets: Whether the server resets the connection in place of closing it.
    """

    async def serve(reader, writer) -> None:
        await reader.readuntil(end)
        writer.write(response)
        await writer.drain()
        await asyncio.sleep(OPEN_S)
        if resets:
            opened = writer.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()

    async def run() -> RawResponse:
        async with serve_raw_connections(serve) as port:
            caller = await RawCaller.connect(f"127.0.0.1:{port}")
            received = await caller.exchange(REQUEST._replace(form=form))
            caller.close()
            await asyncio.sleep(CLOSE_S)
        return received

    return run_coroutine(run())


class RawCallerTest(TestCase):
    """What a caller sees of a response and of the end of its connection."""

    def test_whole_responses(self):
        """Responses with a length and in chunks leave the connection open."""
        for response in (SHORT, CHUNKED):
            received = exchange(response)
            self.assertEqual(
                (200, b"ok", True, False),
                (received.status, received.body, received.complete, received.closes),
            )
            self.assertTrue(math.isfinite(received.written_s))

    def test_body_in_two_segments(self):
        """The server gets it whole, with a length or in chunks."""
        for form, end in (
            (BodyForm.TWO_SEGMENTS, b"body"),
            (BodyForm.CHUNKED, b"\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"),
        ):
            received = exchange(SHORT, form, end)
            self.assertTrue(math.isfinite(received.written_s))

    def test_response_before_the_end_of_the_request(self):
        """The connection can't be used again, as the request was not sent whole."""
        received = exchange(SHORT, BodyForm.TWO_SEGMENTS, b"\r\n\r\n")
        self.assertTrue(received.complete)
        self.assertTrue(received.closes)
        self.assertTrue(math.isinf(received.written_s))

    def test_end_without_a_whole_response(self):
        """A reset is told from a close."""
        for resets in (False, True):
            for response in (b"", SHORT[:-1]):
                received = exchange(response, resets=resets)
                self.assertFalse(received.complete)
                self.assertTrue(received.closes)
                self.assertEqual(resets, received.was_reset)

"""Tests of hosts, as processes, whose servers respond before they have a request."""

import asyncio
import socket
import struct

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.platform_fleet import PlatformFleet
from standins.raw_callers import RawCaller, RawRequest, RawResponse
from standins.raw_listeners import serve_raw_connections
from tests.test_errors_after_broken_streams import (
    EVENT_STREAM,
    EVENTS,
    IDENTITY,
    SIGNED,
)

# More than the sockets hold between a host and a server that does not read.
UPLOAD = bytes(1_000_000)
ATTEMPTS = 5
PAUSE_S = 0.02
ZERO_LINGER = struct.pack("ii", 1, 0)


class EarlyResponseTest(TestCase):
    """Guards against a part of a response that looks like a whole one.

    The response has no length. It is broken off while the upload is written.
    """

    def test_reset_during_the_upload(self):
        """At once, and after a moment."""
        for delay_s in (0.0, PAUSE_S):
            self._check(is_ended=False, is_reset=True, delay_s=delay_s)

    def test_close_during_the_upload(self):
        """The server's system resets the connection, since data is unread."""
        self._check(is_ended=False, is_reset=False, delay_s=PAUSE_S)

    def test_end_and_reset_during_the_upload(self):
        """The end comes first, as after a whole response."""
        self._check(is_ended=True, is_reset=True, delay_s=PAUSE_S)

    def _check(self, is_ended: bool, is_reset: bool, delay_s: float) -> None:
        responses = run_coroutine(_send_uploads(is_ended, is_reset, delay_s))
        self.assertEqual(2 * ATTEMPTS, len(responses))
        for response in responses:
            is_whole = response.status == 200 and response.complete
            self.assertFalse(is_whole, response)


class EarlyWholeResponseTest(TestCase):
    """Guards against a refusal of what is known to be whole."""

    def test_response_with_a_length_is_delivered(self):
        """Also if the server takes no more of the upload."""
        responses = run_coroutine(
            _send_uploads(True, True, PAUSE_S, b"Content-Length: %d\r\n" % len(EVENTS))
        )
        found = {(each.status, each.complete, each.body) for each in responses}
        self.assertEqual({(200, True, EVENTS)}, found)

    def test_end_after_the_upload_is_that_of_the_response(self):
        """A response without a length whose server has read the request."""
        responses = run_coroutine(_send_uploads(True, False, 0.0, reads_all=True))
        found = {(each.status, each.complete, each.body) for each in responses}
        self.assertEqual({(200, True, EVENTS)}, found)


async def _send_uploads(
    is_ended: bool,
    is_reset: bool,
    delay_s: float,
    headers: bytes = b"",
    *,
    reads_all: bool = False,
) -> list[RawResponse]:
    """Return the responses to long uploads on two kinds of route.

    Args:
        is_ended: Whether the server ends its side of the connection.
        is_reset: Whether it resets the connection.
        delay_s: The time before each of the two.
        headers: Further headers of the response.
        reads_all: Whether the server reads the whole request.
    """

    async def serve(reader, writer) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        received.append(head)
        if reads_all:
            await reader.readexactly(len(UPLOAD))
        else:
            writer.transport.pause_reading()
        identity = b"Request-Id: " + IDENTITY.search(head)[1] + b"\r\n"
        writer.write(
            b"HTTP/1.1 200 OK\r\n" + identity + SIGNED + EVENT_STREAM + headers
            + b"Connection: close\r\n\r\n" + EVENTS
        )  # fmt: skip
        await writer.drain()
        await asyncio.sleep(delay_s)
        if is_ended:
            writer.write_eof()
            await asyncio.sleep(delay_s)
        if is_reset:
            opened = writer.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            writer.transport.abort()

    responses, received = [], []
    async with serve_raw_connections(serve) as port, PlatformFleet(1) as fleet:
        fleet.settings[0]["Bounds"]["RetrySlack"] = 400
        fleet.register_address("i-1", f"127.0.0.1:{port}")
        await fleet.start_all()
        address = fleet.settings[0]["Listen"]["Front"]
        for number in range(ATTEMPTS):
            for path in ("/payout/", "/chat/"):
                caller = await RawCaller.connect(address)
                # Another path each time: one that breaks several responses would be
                # taken for a request that crashes servers.
                request = RawRequest(f"{path}{number}", f"r{path[1]}{number}", UPLOAD)
                responses.append(await caller.exchange(request))
                caller.close()
    # None of them was refused without being sent.
    assert len(received) >= len(responses)
    return responses

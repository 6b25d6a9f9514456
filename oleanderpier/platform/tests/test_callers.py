"""Tests of responses to callers, over real connections."""

import asyncio

from aiohttp import web
from testtools import TestCase

from oleanderpier.connections import ResponseRoom
from oleanderpier.forwarding import ResponseHead
from oleanderpier.forwarding.tests.fakes import make_call
from oleanderpier.platform.callers import HttpCaller
from oleanderpier.platform.dialect import ServerDialect
from oleanderpier.routing.tests.fakes import make_route
from oleanderpier.utils import ManualTimers, run_coroutine

HEAD = ResponseHead(200, [], not_run=False, valid=True, signed=True)
EVENT = b"id: 1\ndata: a\n\n"
READ_TIMEOUT_S = 2.0


async def finish(caller: HttpCaller) -> None:
    """End the stream as complete."""
    await caller.finish_stream()


async def abort(caller: HttpCaller) -> None:
    """End the stream as broken off."""
    caller.abort()


def make_caller(request) -> HttpCaller:
    """Return the caller of a request to a host that does not stop."""
    return HttpCaller(request, lambda: False, ResponseRoom(1 << 20), ManualTimers())


async def fail(caller: HttpCaller) -> None:
    """Let the handler of the request fail."""
    raise ValueError("the handler failed")


async def cancel(caller: HttpCaller) -> None:
    """Cancel the handler, as a shutdown does."""
    raise asyncio.CancelledError


def stream_to_caller(version: str, end) -> tuple[bytes, bool]:
    """Return the bytes that a caller gets of a stream, and whether it was reset.

    Args:
        version: The HTTP version of the request.
        end: What ends the stream after its first event.
    """

    async def handle(request) -> web.StreamResponse:
        caller = make_caller(request)
        await caller.begin_stream(HEAD)
        await caller.write(EVENT)
        # The event is to be read before the end.
        await asyncio.sleep(0.05)
        await end(caller)
        return caller.response

    received, was_reset = call_handler(handle, version, b"\r\n0\r\n\r\n")
    return received.partition(b"\r\n\r\n")[2], was_reset


def call_handler(handle, version: str, end: bytes) -> tuple[bytes, bool]:
    """Return the bytes that a caller gets, and whether the connection was reset.

    Args:
        handle: The handler of the caller's request.
        version: The HTTP version of the request.
        end: The last bytes of a complete response, unless the connection ends.
    """

    async def run() -> tuple[bytes, bool]:
        runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        request = f"POST /x {version}\r\nHost: office\r\nContent-Length: 0\r\n\r\n"
        writer.write(request.encode())
        received, was_reset = b"", False
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                while data := await reader.read(1 << 16):
                    received += data
                    if received.endswith(end):
                        break
        except ConnectionResetError:
            was_reset = True
        writer.close()
        await runner.cleanup()
        return received, was_reset

    return run_coroutine(run())


class StreamEndTest(TestCase):
    """A caller can tell a stream that was broken off from a complete one."""

    def test_stream_without_chunks_is_reset_unless_it_is_finished(self):
        """HTTP/1.0 has no chunks, so only a reset shows that events are missing."""
        self.assertEqual((EVENT, False), stream_to_caller("HTTP/1.0", finish))
        for end in (abort, fail, cancel):
            received, was_reset = stream_to_caller("HTTP/1.0", end)
            self.assertEqual((EVENT, True), (received, was_reset), end.__name__)

    def test_chunked_stream_has_a_last_chunk_only_if_it_is_finished(self):
        """The last chunk ends a complete stream."""
        chunk = f"{len(EVENT):x}\r\n".encode() + EVENT + b"\r\n"
        for end in (finish, abort, fail, cancel):
            received, _ = stream_to_caller("HTTP/1.1", end)
            expected = chunk + b"0\r\n\r\n" * (end is finish)
            self.assertEqual(expected, received, end.__name__)


class DeliveryTest(TestCase):
    """A caller gets a server's response."""

    def test_control_character_in_a_header_does_not_lose_the_response(self):
        """An HTTP server refuses to send such a character."""

        async def handle(request) -> web.StreamResponse:
            call = make_call(make_route(), 0.0)
            raw = ((b"Request-Id", call.identity.encode()), (b"X-Note", b"a\x01b\tc"))
            head = ServerDialect().read_response_head(call, 200, raw)
            caller = make_caller(request)
            await caller.deliver(head, b"whole")
            return caller.response

        received, _ = call_handler(handle, "HTTP/1.1", b"whole")
        self.assertTrue(received.endswith(b"\r\n\r\nwhole"), received)
        self.assertIn(b"\r\nX-Note: a b\tc\r\n", received)

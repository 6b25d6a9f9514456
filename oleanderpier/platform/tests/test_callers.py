"""Tests of responses to callers, over real connections."""

import asyncio

from aiohttp import web
from testtools import TestCase

from oleanderpier.forwarding import ResponseHead
from oleanderpier.platform.callers import HttpCaller
from oleanderpier.utils import run_coroutine

HEAD = ResponseHead(200, [], not_run=False, valid=True, signed=True)
EVENT = b"id: 1\ndata: a\n\n"
READ_TIMEOUT_S = 2.0


async def finish(caller: HttpCaller) -> None:
    """End the stream as complete."""
    await caller.finish_stream()


async def abort(caller: HttpCaller) -> None:
    """End the stream as broken off."""
    caller.abort()


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

    async def run() -> tuple[bytes, bool]:
        async def handle(request) -> web.StreamResponse:
            caller = HttpCaller(request, lambda: False)
            await caller.begin_stream(HEAD)
            await caller.write(EVENT)
            # The event is to be read before the end.
            await asyncio.sleep(0.05)
            await end(caller)
            return caller.response

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
                    if received.endswith(b"\r\n0\r\n\r\n"):
                        break
        except ConnectionResetError:
            was_reset = True
        writer.close()
        await runner.cleanup()
        return received.partition(b"\r\n\r\n")[2], was_reset

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

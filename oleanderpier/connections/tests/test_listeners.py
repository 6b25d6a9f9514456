"""Tests of listeners that close while callers use their connections."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from aiohttp import web
from testtools import ExpectedException, TestCase

from oleanderpier.connections import HttpListener
from oleanderpier.utils import LoopTimers, run_coroutine

WORK_S = 0.1
FINISH_TIMEOUT_S = 2.0
BUSY_CALLER_COUNT = 100
BUSY_WORK_S = 0.01
BUSY_ROUNDS = 3
# The users' bound on the time from SIGTERM until all requests are answered.
GRACE_S = 8.0
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
BODY = b"body"
# More than the sockets hold.
STREAM_BYTES = 64 << 20
READ_TIMEOUT_S = 2.0
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class FinishTest(TestCase):
    """A listener that finishes answers what it has read, and reads no more."""

    def test_request_in_progress_is_answered(self):
        """The request was read before the listener began to finish."""
        self.assertEqual((True, b"4 bytes"), finish_while(send_before))

    def test_body_in_flight_is_read(self):
        """Only the head of the request was read before."""
        self.assertEqual((True, b"4 bytes"), finish_while(send_body_after))

    def test_request_on_an_idle_connection_is_not_read(self):
        """The caller gets nothing, and no handler has begun."""
        self.assertEqual((True, b""), finish_while(send_after))

    def test_request_behind_another_one_is_answered(self):
        """Both requests came in one segment."""
        self.assertEqual((True, b"4 bytes4 bytes"), finish_while(send_two))

    def test_connection_that_is_not_answered_in_time_is_left(self):
        """The caller never sends the rest of the body."""
        self.assertEqual((False, b""), finish_while(send_head))


class CloseTest(TestCase):
    """A listener that closes cuts what is not out so that callers see it."""

    def test_stream_with_unsent_bytes_does_not_look_complete(self):
        """HTTP/1.0 has no chunks, so only a reset shows that bytes are missing."""
        with ExpectedException(ConnectionResetError):
            run_coroutine(read_stream_after_close())


async def read_stream_after_close() -> None:
    """Close a listener when a part of a whole stream is out; read it to its end."""
    written = asyncio.Event()

    async def handle(request) -> web.StreamResponse:
        request.transport.set_write_buffer_limits(high=2 * STREAM_BYTES)
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(bytes(STREAM_BYTES))
        written.set()
        return response

    timers = LoopTimers()
    runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.05)
    listener = HttpListener("callers", runner, timers)
    await listener.start("127.0.0.1", 0)
    # A plain socket: uvloop's streams show some resets as a regular end.
    with socket.create_connection(runner.addresses[0]) as caller:
        caller.settimeout(READ_TIMEOUT_S)
        caller.sendall(b"GET / HTTP/1.0\r\n\r\n")
        await written.wait()
        await listener.finish(timers.now())
        await listener.close()
        while caller.recv(1 << 20):
            pass


class BusyConnectionsTest(TestCase):
    """Callers send without a pause while the listener finishes."""

    def test_begun_requests_are_answered(self):
        """Each request whose handler has begun has a response."""
        for _ in range(BUSY_ROUNDS):
            finished, begun, answered = run_coroutine(_finish_under_load())
            self.assertTrue(finished)
            self.assertEqual(set(), begun - answered)


async def _finish_under_load() -> tuple[bool, set[str], set[str]]:
    """Return whether all connections ended within ``GRACE_S``, and ids of requests.

    These are the requests that were begun, and those with a response.
    """
    begun, answered = set(), set()

    async def handle(request) -> web.Response:
        begun.add(request.headers["Request-Id"])
        await asyncio.sleep(BUSY_WORK_S)
        return web.Response()

    async def send_until_closed(caller: int, port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        number = 0
        try:
            while True:
                number += 1
                identity = f"{caller}-{number}"
                head = f"GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: {identity}\r\n\r\n"
                writer.write(head.encode())
                await reader.readuntil(b"\r\n\r\n")
                answered.add(identity)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    timers = LoopTimers()
    runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.05)
    listener = HttpListener("callers", runner, timers)
    await listener.start("127.0.0.1", 0)
    port = runner.addresses[0][1]
    callers = [
        asyncio.create_task(send_until_closed(number, port))
        for number in range(BUSY_CALLER_COUNT)
    ]
    while len(begun) <= BUSY_CALLER_COUNT:
        await asyncio.sleep(BUSY_WORK_S)
    finished = await listener.finish(timers.now() + GRACE_S)
    await listener.close()
    await asyncio.gather(*callers)
    return finished, begun, answered


async def send_before(streams: Streams, finish: Callable[[], Awaitable[bool]]) -> bool:
    """Send a request; finish when it is in progress."""
    streams[1].write(HEAD + BODY)
    await asyncio.sleep(WORK_S / 2)
    return await finish()


async def send_body_after(
    streams: Streams, finish: Callable[[], Awaitable[bool]]
) -> bool:
    """Send the head of a request; send its body when the listener finishes."""
    streams[1].write(HEAD)
    await asyncio.sleep(WORK_S / 2)
    finished = asyncio.ensure_future(finish())
    await asyncio.sleep(WORK_S)
    streams[1].write(BODY)
    return await finished


async def send_after(streams: Streams, finish: Callable[[], Awaitable[bool]]) -> bool:
    """Send a request when the idle connections have been closed."""
    await asyncio.sleep(WORK_S / 2)
    finished = await finish()
    streams[1].write(HEAD + BODY)
    return finished


async def send_two(streams: Streams, finish: Callable[[], Awaitable[bool]]) -> bool:
    """Send two requests at once; finish when the first one is in progress."""
    streams[1].write(2 * (HEAD + BODY))
    await asyncio.sleep(WORK_S / 2)
    return await finish()


async def send_head(streams: Streams, finish: Callable[[], Awaitable[bool]]) -> bool:
    """Send a part of a request."""
    streams[1].write(HEAD)
    await asyncio.sleep(WORK_S / 2)
    return await finish()


def finish_while(send) -> tuple[bool, bytes]:
    """Return whether a listener finished in time, and the bodies that a caller got.

    Args:
        send: Sends requests, and awaits the end of the listener.
    """

    async def handle(request) -> web.Response:
        body = await request.read()
        await asyncio.sleep(WORK_S)
        return web.Response(text=f"{len(body)} bytes")

    async def run() -> tuple[bool, bytes]:
        timers = LoopTimers()
        runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.05)
        listener = HttpListener("callers", runner, timers)
        await listener.start("127.0.0.1", 0)
        streams = await asyncio.open_connection(*runner.addresses[0])
        finished = await send(
            streams, lambda: listener.finish(timers.now() + FINISH_TIMEOUT_S)
        )
        await listener.close()
        bodies = await _read_bodies(streams[0])
        streams[1].close()
        return finished, bodies

    return run_coroutine(run())


async def _read_bodies(reader: asyncio.StreamReader) -> bytes:
    bodies = b""
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            bodies += await reader.readexactly(len("4 bytes"))
    except (asyncio.IncompleteReadError, ConnectionResetError):
        return bodies

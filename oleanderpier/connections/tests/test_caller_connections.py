"""Tests of the bounds on what clients of a listener take, over real connections."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from testtools import TestCase

from oleanderpier.connections import CallerServer
from oleanderpier.utils import ManualTimers, run_coroutine

READ_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 3
REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
# Larger than what sockets and aiohttp hold.
LARGE_BYTES = 4 << 20


class Listener:
    """A listener with room for few connections.

    Attributes:
        server: Its server.
        timers: The timer service; its time stands still.
        release: Set when the handler of a request may respond.
        read_bytes: The bytes of the bodies that the handler read.
    """

    def __init__(self) -> None:
        self.timers = ManualTimers()
        self.release = asyncio.Event()
        self.release.set()
        self.read_bytes = 0
        self._writers: list[asyncio.StreamWriter] = []
        self.server = CallerServer("test", self._handle, self.timers, MAX_CONNECTIONS)

    async def _handle(self, request) -> web.Response:
        await self.release.wait()
        while data := await request.content.readany():
            self.read_bytes += len(data)
        return web.Response(body=b"whole")

    async def connect(self, data: bytes = b""):
        """Open a connection, send data and wait until the server has it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self._writers.append(writer)
        writer.write(data)
        await asyncio.sleep(0.05)
        return reader, writer

    def close(self) -> None:
        """Close the clients' connections; let requests end."""
        self.release.set()
        for writer in self._writers:
            writer.transport.abort()


def run(check: Callable[[Listener], Awaitable]):
    """Return what a coroutine function returns that uses a listener."""

    async def serve():
        listener = Listener()
        runner = web.ServerRunner(listener.server, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        listener.port = site._server.sockets[0].getsockname()[1]
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await check(listener)
        finally:
            listener.close()
            await runner.cleanup()

    return run_coroutine(serve())


async def is_closed(reader: asyncio.StreamReader) -> bool:
    """Return whether the server has closed a connection on which it sent nothing."""
    try:
        async with asyncio.timeout(0.1):
            return await reader.read(1) == b""
    except ConnectionError:
        return True
    except TimeoutError:
        return False


class CallerConnectionsTest(TestCase):
    """Clients that hold a listener up are closed; others are served."""

    def test_connections_without_a_request_make_room(self):
        """The oldest of them is closed for the next connection."""

        async def check(listener: Listener) -> tuple[list[bool], bytes]:
            silent = [await listener.connect() for _ in range(MAX_CONNECTIONS)]
            reader, _ = await listener.connect(REQUEST)
            closed = [await is_closed(reader) for reader, _ in silent]
            return sorted(closed), await reader.read(15)

        self.assertEqual(([False, False, True], b"HTTP/1.1 200 OK"), run(check))

    def test_requests_in_progress_are_not_closed(self):
        """A connection beyond the bound is refused then."""

        async def check(listener: Listener) -> tuple[bool, list[bytes]]:
            listener.release.clear()
            busy = [await listener.connect(REQUEST) for _ in range(MAX_CONNECTIONS)]
            reader, _ = await listener.connect(REQUEST)
            refused = await is_closed(reader)
            listener.release.set()
            return refused, [await reader.read(15) for reader, _ in busy]

        expected = (True, [b"HTTP/1.1 200 OK"] * MAX_CONNECTIONS)
        self.assertEqual(expected, run(check))

    def test_slow_header_section_ends_its_connection(self):
        """Clients send a byte now and then; a whole request before does not help."""

        async def check(listener: Listener) -> list[bool]:
            closed = []
            for start in (b"", REQUEST):
                reader, writer = await listener.connect(start)
                if start:
                    await reader.readuntil(b"whole")
                writer.write(REQUEST[:24])
                await asyncio.sleep(0.05)
                for _ in range(6):
                    closed.append(await is_closed(reader))
                    listener.timers.advance(1.0)
                    writer.write(b"a")
                    await asyncio.sleep(0.02)
                closed.append(await is_closed(reader))
            return closed

        self.assertEqual([*[False] * 6, True] * 2, run(check))

    def test_large_header_section_ends_its_connection(self):
        """Each of its fields is small; trailers of a body count, too."""
        fields = b"".join(b"field-%d: %b\r\n" % (n, b"a" * 1000) for n in range(90))
        chunked = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        for start in (REQUEST[:-2], chunked + b"1\r\na\r\n0\r\n"):

            async def check(listener: Listener, start=start) -> bool:
                reader, writer = await listener.connect(start)
                for part in range(0, len(fields), 8000):
                    if not writer.transport.is_closing():
                        writer.write(fields[part : part + 8000])
                    await asyncio.sleep(0.01)
                return await is_closed(reader)

            self.assertTrue(run(check), start)

    def test_body_in_small_chunks_is_read(self):
        """Its framing is much longer than the body and the bound on heads."""
        chunks = b"1\r\na\r\n" * 50_000 + b"0\r\n\r\n"
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

        async def check(listener: Listener) -> int:
            reader, _ = await listener.connect(head + chunks)
            await reader.readuntil(b"whole")
            return listener.read_bytes

        self.assertEqual(50_000, run(check))

    def test_unread_body_is_not_kept(self):
        """The handler waits, and the client sends 4 MB."""

        async def check(listener: Listener) -> int:
            listener.release.clear()
            length = f"Content-Length: {LARGE_BYTES}".encode()
            head = REQUEST.replace(b"Content-Length: 0", length)
            await listener.connect(head + bytes(LARGE_BYTES))
            await asyncio.sleep(0.2)
            (connection,) = listener.server.connections
            return connection._current_request.content.total_bytes

        self.assertLess(run(check), 256 << 10)

    def test_requests_ahead_are_answered_in_turn(self):
        """More of them are sent at once than are read ahead."""

        async def check(listener: Listener) -> int:
            reader, _ = await listener.connect(REQUEST * 50)
            for _ in range(50):
                await reader.readuntil(b"whole")
            return 50

        self.assertEqual(50, run(check))

    def test_few_requests_are_read_ahead(self):
        """The handler waits, and the client sends many requests."""

        async def check(listener: Listener) -> int:
            listener.release.clear()
            await listener.connect(REQUEST * 500)
            (connection,) = listener.server.connections
            return len(connection._messages)

        self.assertLessEqual(run(check), 1)

"""Tests of the HTTP client against a server that breaks its answers."""

import asyncio
import errno
import socket
import struct

import aiohttp
from testtools import TestCase

from oleanderpier.connections import make_session
from oleanderpier.utils import run_coroutine

HEAD = b"HTTP/1.1 200 OK\r\n"
UNFRAMED = HEAD + b"Connection: close\r\n\r\n"
SIZED = HEAD + b"Content-Length: 10\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# An RST follows in place of a FIN.
LINGER_NONE = struct.pack("ii", 1, 0)


def _reset(writer: asyncio.StreamWriter) -> None:
    opened = writer.get_extra_info("socket")
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    writer.transport.abort()


def _close(writer: asyncio.StreamWriter) -> None:
    writer.close()


class _Server:
    """Answers each request with given bytes, then ends the connection."""

    def __init__(self, answer: bytes, end) -> None:
        self.requests: list[bytes] = []
        self._answer = answer
        self._end = end

    async def serve(self, reader, writer) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(head)
        if self._answer:
            writer.write(self._answer)
            await writer.drain()
            await asyncio.sleep(0.05)
        self._end(writer)


def fetch(answer: bytes, end, method: str = "POST", **options) -> tuple:
    """Return the body or the error of one request, and the requests seen."""

    async def run():
        server = _Server(answer, end)
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        session = make_session(**options)
        try:
            async with session.request(method, f"http://127.0.0.1:{port}/") as response:
                return await response.read(), server.requests
        except aiohttp.ClientError as error:
            return error, server.requests
        finally:
            await session.close()
            listener.close()

    return run_coroutine(run())


class _Socket:
    """A socket whose pending error is a given one."""

    family = socket.AF_UNIX

    def __init__(self, number: int) -> None:
        self._number = number

    def getsockopt(self, level: int, option: int) -> int:
        return self._number


class _Transport(asyncio.Transport):
    """A transport over such a socket."""

    def __init__(self, number: int) -> None:
        super().__init__({"socket": _Socket(number)})

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        """Do nothing; the test ends the connection itself."""


async def read_with_socket_error(number: int):
    """Return the body of an answer without a length, or the error."""
    async with make_session() as session:
        handler = session.connector._factory()
        handler.connection_made(_Transport(number))
        handler.set_response_params(read_until_eof=True)
        handler.data_received(UNFRAMED + b"part")
        _, payload = await handler.read()
        handler.eof_received()
        handler.connection_lost(None)
        try:
            return await payload.read()
        except aiohttp.ClientError as error:
            return error


class SessionTest(TestCase):
    """A cut answer is an error, and nothing is sent twice."""

    def test_unframed_closed(self):
        """An answer without a length ends with its connection."""
        body, _ = fetch(UNFRAMED + b"whole", _close)
        self.assertEqual(b"whole", body)

    def test_cut_answers(self):
        """An answer that a reset or an early end cuts is not whole."""
        cases = {
            "unframed, reset": (UNFRAMED + b"part", _reset),
            "unframed, nothing, reset": (UNFRAMED, _reset),
            "sized, reset": (SIZED + b"part", _reset),
            "sized, closed": (SIZED + b"part", _close),
            "chunked, reset": (CHUNKED + b"4\r\npart\r\n", _reset),
            "chunked, closed": (CHUNKED + b"4\r\npart\r\n", _close),
            "no answer": (b"", _close),
        }
        for name, (answer, end) in cases.items():
            body, _ = fetch(answer, end)
            self.assertIsInstance(body, aiohttp.ClientError, name)

    def test_reset_behind_data(self):
        """A reset that is read as an end of file does not end an answer."""
        for number, expected in ((0, b"part"), (errno.ECONNRESET, None)):
            body = run_coroutine(read_with_socket_error(number))
            if expected is None:
                self.assertIsInstance(body, aiohttp.ClientError)
            else:
                self.assertEqual(expected, body)

    def test_sent_once(self):
        """No method is sent again, also over kept connections."""
        for method in ("GET", "PUT", "DELETE", "POST"):
            for options in ({}, {"keepalive_s": 5.0}):
                body, requests = fetch(b"", _close, method, **options)
                self.assertIsInstance(body, aiohttp.ClientError)
                self.assertEqual(1, len(requests), method)

    def test_no_headers_added(self):
        """The server gets what the caller sent, and the host name."""
        _, requests = fetch(UNFRAMED, _close, "GET")
        names = {
            line.partition(b":")[0] for line in requests[0].split(b"\r\n")[1:] if line
        }
        self.assertEqual({b"Host", b"Connection"}, names | {b"Connection"})

"""Tests of the HTTP client against a server that cuts its responses."""

import asyncio
import errno
import socket
import struct

import aiohttp
from testtools import TestCase

from oleanderpier.connections import make_session
from oleanderpier.utils import run_coroutine
from standins.raw_listeners import serve_raw_connections

HEAD = b"HTTP/1.1 200 OK\r\n"
WITHOUT_LENGTH = HEAD + b"Connection: close\r\n\r\n"
WITH_LENGTH = HEAD + b"Content-Length: 10\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# With this option a close sends RST instead of FIN.
LINGER_RESET = struct.pack("ii", 1, 0)


def _reset(writer: asyncio.StreamWriter) -> None:
    opened = writer.get_extra_info("socket")
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


def _close(writer: asyncio.StreamWriter) -> None:
    writer.close()


class _Server:
    """Responds to each request with given bytes, then ends the connection."""

    def __init__(self, response: bytes, end) -> None:
        self.requests: list[bytes] = []
        self._response = response
        self._end = end

    async def serve(self, reader, writer) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(head)
        if self._response:
            writer.write(self._response)
            await writer.drain()
            await asyncio.sleep(0.05)
        self._end(writer)


def fetch(response: bytes, end, method: str = "POST", **options) -> tuple:
    """Return the body or error of one request, and the requests received."""

    async def run():
        server = _Server(response, end)
        async with serve_raw_connections(server.serve) as port:
            session = make_session(**options)
            try:
                async with session.request(
                    method, f"http://127.0.0.1:{port}/"
                ) as received:
                    return await received.read(), server.requests
            except aiohttp.ClientError as error:
                return error, server.requests
            finally:
                await session.close()

    return run_coroutine(run())


class SchemeTest(TestCase):
    """Only plain HTTP is supported."""

    def test_https_is_refused(self):
        """Nothing is sent unencrypted to a URL that asks for TLS."""

        async def run() -> None:
            async with make_session() as session:
                await session.get("https://127.0.0.1:1/")

        error = self.assertRaises(ValueError, run_coroutine, run())
        self.assertIn("found https, allowed http", str(error))


class _Socket:
    """A fake socket with a given pending error, over a real one without data."""

    family = socket.AF_UNIX

    def __init__(self, number: int) -> None:
        self._number = number
        self._opened = socket.socket(socket.AF_UNIX)

    def fileno(self) -> int:
        return self._opened.fileno()

    def close(self) -> None:
        self._opened.close()

    def getsockopt(self, level: int, option: int) -> int:
        return self._number

    def setsockopt(self, level: int, option: int, value: int) -> None:
        pass


class _Transport(asyncio.Transport):
    """A fake transport over ``_Socket`` that has not sent some bytes."""

    def __init__(self, number: int, unsent: int) -> None:
        super().__init__({"socket": _Socket(number)})
        self._unsent = unsent

    def get_write_buffer_size(self) -> int:
        return self._unsent

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        """Do nothing; the test ends the connection itself."""


async def read_with_socket_error(number: int, unsent: int = 0):
    """Return the body of a response without a length, or the error.

    Args:
        number: The pending error of the socket, 0 for none.
        unsent: The bytes of the request that have not been sent.
    """
    transport = _Transport(number, unsent)
    async with make_session() as session:
        handler = session.connector._factory()
        handler.connection_made(transport)
        handler.set_response_params(read_until_eof=True)
        handler.data_received(WITHOUT_LENGTH + b"part")
        _, payload = await handler.read()
        handler.eof_received()
        handler.connection_lost(None)
        try:
            return await payload.read()
        except aiohttp.ClientError as error:
            return error
        finally:
            transport.get_extra_info("socket").close()


class SessionTest(TestCase):
    """A cut response is an error, and no request is sent twice."""

    def test_response_without_length_ends_with_connection(self):
        """A response without a length ends when its connection is closed."""
        body, _ = fetch(WITHOUT_LENGTH + b"whole", _close)
        self.assertEqual(b"whole", body)

    def test_cut_response_is_an_error(self):
        """A response that is cut by a reset or an early close is an error."""
        cases = {
            "without length, reset": (WITHOUT_LENGTH + b"part", _reset),
            "without length, no body, reset": (WITHOUT_LENGTH, _reset),
            "with length, reset": (WITH_LENGTH + b"part", _reset),
            "with length, closed": (WITH_LENGTH + b"part", _close),
            "chunked, reset": (CHUNKED + b"4\r\npart\r\n", _reset),
            "chunked, closed": (CHUNKED + b"4\r\npart\r\n", _close),
            "no response": (b"", _close),
        }
        for name, (response, end) in cases.items():
            body, _ = fetch(response, end)
            self.assertIsInstance(body, aiohttp.ClientError, name)

    def test_reset_read_as_end_of_file_is_an_error(self):
        """A pending socket error at the end of file makes the response an error."""
        for number, expected in ((0, b"part"), (errno.ECONNRESET, None)):
            body = run_coroutine(read_with_socket_error(number))
            if expected is None:
                self.assertIsInstance(body, aiohttp.ClientError)
            else:
                self.assertEqual(expected, body)

    def test_end_of_file_before_the_whole_request_is_an_error(self):
        """A server that fails ends its side, and resets the connection later."""
        body = run_coroutine(read_with_socket_error(0, unsent=1))
        self.assertIsInstance(body, aiohttp.ClientError)

    def test_no_method_is_retried(self):
        """No method is retried, not even over reused connections."""
        for method in ("GET", "PUT", "DELETE", "POST"):
            for options in ({}, {"keepalive_s": 5.0}):
                body, requests = fetch(b"", _close, method, **options)
                self.assertIsInstance(body, aiohttp.ClientError)
                self.assertEqual(1, len(requests), method)

    def test_no_headers_are_added(self):
        """The server gets the caller's headers and those of the connection only."""
        _, requests = fetch(WITHOUT_LENGTH, _close, "GET")
        names = {
            line.partition(b":")[0] for line in requests[0].split(b"\r\n")[1:] if line
        }
        self.assertEqual({b"Host", b"Connection"}, names | {b"Connection"})

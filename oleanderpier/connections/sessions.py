"""Client sessions that send a request once, and know a cut answer from a whole one."""

import asyncio
import functools
import os
import socket

import aiohttp
from aiohttp.client_proto import ResponseHandler

__all__ = ["CONNECT_TIMEOUT_S", "make_session"]

CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 4096
READ_BUFFER_BYTES = 16 * 1024
KERNEL_BUFFER_BYTES = 64 * 1024
USER_TIMEOUT_MS = 5000
# Headers that aiohttp would add to what a caller sent.
AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class _CheckedHandler(ResponseHandler):
    """A connection whose reset never ends an answer as if it were whole.

    An answer without a length ends with its connection; aiohttp takes a reset
    for that end. A reset that comes right behind the last bytes is read as an
    end of file, and only the socket's error tells of it.
    """

    _reset: OSError | None = None

    def eof_received(self) -> None:
        opened = self.transport.get_extra_info("socket")
        number = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            self._reset = OSError(number, os.strerror(number))
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        exc = exc or self._reset
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"the connection was reset: {exc!r}")
            )
        super().connection_lost(exc)


def make_session(
    max_connections: int = MAX_CONNECTIONS,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    keepalive_s: float = 0.0,
) -> aiohttp.ClientSession:
    """Return a client session for requests to backend servers.

    By default every request gets a connection of its own, which is closed
    afterwards: a kept connection may have gone silent while it was idle, or be
    closed by the server just as a request is written to it, and then nobody
    knows whether the request ran. Must be called in the event loop.

    Args:
        max_connections: How many may be open at once.
        connect_timeout_s: How long a new connection may take.
        keepalive_s: How long an idle connection is kept; 0 for none.
    """
    kept = {"keepalive_timeout": keepalive_s} if keepalive_s else {"force_close": True}
    connector = aiohttp.TCPConnector(
        **kept,
        limit=max_connections,
        use_dns_cache=False,
        happy_eyeballs_delay=None,
        socket_factory=_make_socket,
    )
    connector._factory = functools.partial(
        _CheckedHandler, loop=asyncio.get_running_loop()
    )
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, connect=connect_timeout_s),
        read_bufsize=READ_BUFFER_BYTES,
        auto_decompress=False,
        skip_auto_headers=AUTOMATIC_HEADERS,
    )
    # aiohttp sends a GET, PUT or DELETE again when a kept connection breaks.
    session._retry_connection = False
    return session


def _make_socket(address_info: tuple) -> socket.socket:
    """Return a socket that reads little ahead.

    The kernel gives it up when nothing it sent is acknowledged for long.
    """
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return opened

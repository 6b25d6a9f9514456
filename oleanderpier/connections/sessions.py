"""HTTP client sessions that never retry and detect incomplete responses."""

import asyncio
import fcntl
import functools
import os
import socket
import struct
import termios
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest

from oleanderpier.utils import LoopTimers, Timers, limit_time

__all__ = ["CONNECT_TIMEOUT_S", "make_session"]

CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 4096
READ_BUFFER_BYTES = 16 * 1024
# Socket receive buffer. It is small, so that a server is slowed down soon if the
# response is not read.
RECEIVE_BUFFER_BYTES = 64 * 1024
# Time for which sent data may stay unacknowledged before the kernel closes the
# connection.
TCP_USER_TIMEOUT_MS = 5000
# Bound of the bytes of a response before its body: its head and interim responses.
MAX_HEAD_BYTES = 1 << 14
# Largest part of these bytes that is parsed at a time.
HEAD_SLICE_BYTES = 1 << 12
# Bound of the bytes of a response that are not its body: also chunk sizes and trailers.
# Chunks may add as many bytes again as the body has.
MAX_OVERHEAD_BYTES = 1 << 16
# The value that the system call for unacknowledged bytes returns.
_COUNT = struct.Struct("i")
# Headers that aiohttp would add to those of the caller.
AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class _Connector(aiohttp.TCPConnector):
    """Connector whose transports own their socket from the start.

    aiohttp connects a socket object and passes it to a new transport. When a request
    is cancelled in between, uvloop closes the descriptor of that object, which still
    has the number and closes it once more when it is freed. By then the number may
    belong to another connection.

    Args:
        timers: The timer service, for the limit on the time of a connect.
        **options: Options of ``aiohttp.TCPConnector``.
    """

    def __init__(self, timers: Timers, **options: Any) -> None:
        super().__init__(**options)
        self._timers = timers

    async def _wrap_create_connection(
        self,
        protocol_factory: Callable[[], ResponseHandler],
        *,
        addr_infos: list[tuple],
        req: ClientRequest,
        timeout: aiohttp.ClientTimeout,
        **options: Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        """Open a connection to the first address.

        Raises:
            ValueError: The URL asks for TLS, which is not supported.
        """
        if options.get("ssl"):
            raise ValueError(f"scheme of {req.url}: found https, allowed http")
        address, port = addr_infos[0][4][:2]
        try:
            async with limit_time(self._timers, timeout.sock_connect):
                return await self._loop.create_connection(
                    protocol_factory, address, port
                )
        except OSError as error:
            if isinstance(error, TimeoutError) and error.errno is None:
                # The limit of the time, not an error of the kernel.
                raise
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error


class _ResetDetectingHandler(ResponseHandler):
    """Response handler that reports a broken connection as an error.

    A response without a length ends with its connection, and aiohttp takes a
    reset for that end. A reset that arrives right after the last bytes is read
    as an end of file; only the socket's pending error (SO_ERROR) shows it.

    An end of file before the server has taken the whole request is no end of a
    response either: a server that fails may end its side and reset the
    connection afterwards, while the request is still being written.
    """

    _pending_error: OSError | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        set_option = transport.get_extra_info("socket").setsockopt
        set_option(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        set_option(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        super().connection_made(transport)

    def eof_received(self) -> None:
        opened = self.transport.get_extra_info("socket")
        error_number = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            self._pending_error = OSError(error_number, os.strerror(error_number))
        payload = self._payload
        if payload is not None and not payload.is_eof():
            unsent = self.transport.get_write_buffer_size() + _count_unacked(opened)
            if unsent:
                payload.set_exception(
                    aiohttp.ClientPayloadError(
                        f"the connection ended with {unsent} bytes of the request "
                        "not yet received by the server"
                    )
                )
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        exc = exc or self._pending_error
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"the connection was reset: {exc!r}")
            )
        super().connection_lost(exc)


class _BoundedHandler(_ResetDetectingHandler):
    """Response handler that ends a connection whose bytes are mostly no body.

    A server in trouble may send empty lines, interim responses, chunk sizes or chunk
    extensions without end, which the parser skips.
    """

    _received_bytes = 0
    _earlier_payload: aiohttp.StreamReader | None = None

    def set_response_params(self, **options: Any) -> None:
        """Begin to count the bytes of the next response."""
        self._received_bytes = 0
        self._earlier_payload = self._payload
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        # Interim responses are short, and each becomes an object in memory.
        while len(data) > HEAD_SLICE_BYTES and not self._count_body_bytes():
            self._receive(data[:HEAD_SLICE_BYTES])
            data = data[HEAD_SLICE_BYTES:]
            if self.transport is None or self.transport.is_closing():
                return
        self._receive(data)

    def _receive(self, data: bytes) -> None:
        super().data_received(data)
        self._received_bytes += len(data)
        body_bytes = self._count_body_bytes()
        max_bytes = 2 * body_bytes + MAX_OVERHEAD_BYTES
        if self._received_bytes > (max_bytes if body_bytes else MAX_HEAD_BYTES):
            self._end_connection(self._payload)

    def _count_body_bytes(self) -> int:
        payload = self._payload
        if payload is None or payload is self._earlier_payload:
            return 0
        return payload.total_bytes

    def _end_connection(self, payload: aiohttp.StreamReader | None) -> None:
        error = aiohttp.ClientPayloadError(
            f"{self._received_bytes} bytes received, too many of them besides the body "
            f"(allowed: {MAX_HEAD_BYTES} before it, {MAX_OVERHEAD_BYTES} in all)"
        )
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


def _count_unacked(opened: socket.socket) -> int:
    """Return the sent bytes that the other side's system has not acknowledged."""
    return _COUNT.unpack(fcntl.ioctl(opened.fileno(), termios.TIOCOUTQ, bytes(4)))[0]


def make_session(
    max_connections: int = MAX_CONNECTIONS,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    keepalive_s: float = 0.0,
    timers: Timers | None = None,
) -> aiohttp.ClientSession:
    """Return a client session for requests to backend servers.

    By default each request opens its own connection, which is closed
    afterwards. An idle connection may have been lost unnoticed, or the server
    may close it just as a request is written, and then it is unknown whether
    the request ran. Must be called while the event loop is running.

    Args:
        max_connections: Maximum number of open connections.
        connect_timeout_s: Timeout for opening a connection, in seconds.
        keepalive_s: How long an idle connection is kept for reuse, in seconds;
            0 to use a new connection for each request.
        timers: The timer service; that of the event loop by default.
    """
    reuse = {"keepalive_timeout": keepalive_s} if keepalive_s else {"force_close": True}
    connector = _Connector(
        timers or LoopTimers(), **reuse, limit=max_connections, use_dns_cache=False
    )
    connector._factory = functools.partial(
        _BoundedHandler, loop=asyncio.get_running_loop()
    )
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
        read_bufsize=READ_BUFFER_BYTES,
        auto_decompress=False,
        skip_auto_headers=AUTOMATIC_HEADERS,
    )
    # aiohttp would retry a GET, PUT or DELETE when a reused connection breaks.
    session._retry_connection = False
    return session

"""An HTTP server that bounds what the clients of its listener take of the process.

It answers this load pattern: hundreds of clients that send slowly, stop half-way, send
large header sections or send requests ahead without reading the responses.
"""

import asyncio
import logging
import socket
from typing import Any

from aiohttp.http import HttpProcessingError, HttpRequestParser
from aiohttp.web_protocol import RequestHandler, RequestPayloadError
from aiohttp.web_server import Server
from eliot import log_message

from oleanderpier.connections.caller_limits import (
    SLOW_S,
    ConnectionState,
    ConnectionUse,
    pick_closable,
)
from oleanderpier.connections.listeners import is_idle
from oleanderpier.utils import Timers

__all__ = ["CallerServer"]

# Above any idle time-out that a configuration allows.
IDLE_TIMEOUT_S = 120.0
# Bound of the bytes of a header section, also of trailers: four times what a
# configuration allows.
MAX_HEADER_BYTES = 64 << 10
# A header section that is not whole by then ends its connection: twice the time that a
# configuration allows.
HEADER_TIMEOUT_S = 6.0
CHECK_INTERVAL_S = 0.5
# Bytes of a body that aiohttp keeps unread, and of the socket's buffer. They bound what
# a connection takes that nobody reads; 4 MB still arrive in 0.4 s at a latency of
# 1.4 ms.
READ_BUFFER_BYTES = 16 << 10
RECEIVE_BUFFER_BYTES = 32 << 10
# Requests that are read behind the one in progress; the client waits with others.
MAX_QUEUED_REQUESTS = 1
# After a refusal the rest of the request's body is read for this long, since closing
# with unread bytes would reset the refusal away.
LINGERING_TIME_S = 2.0
# Share of the connections that are closed at a time if there are too many, so that the
# choice is not made for each new one.
CLOSED_SHARE = 0.05


# Upper bound of the characters of a client's request in a line of the log.
MAX_LOGGED_CHARS = 200


class _LogForwarder(logging.Handler):
    """Writes what aiohttp logs to the log of the process.

    Standard error would get a traceback of each malformed request, and a process whose
    standard error nobody reads would hang.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line."""
        error = record.exc_info[1] if record.exc_info else None
        text = record.getMessage() if error is None else repr(error)
        if error is not None and not isinstance(error, HttpProcessingError):
            text += "\n" + logging.Formatter().formatException(record.exc_info)
        else:
            text = text[:MAX_LOGGED_CHARS]
        log_message("listener:request_failed", reason=text)


_logger = logging.getLogger(__name__)
_logger.propagate = False
_logger.addHandler(_LogForwarder())


class _CallerConnection(RequestHandler):
    """A connection that counts what it receives without progress of a request.

    Args:
        server: Its server.
        timers: The timer service.
        **options: Options of ``aiohttp.web.RequestHandler``.
    """

    def __init__(self, server: "CallerServer", timers: Timers, **options: Any) -> None:
        super().__init__(server, **options)
        # aiohttp has no option for this.
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self._parser = HttpRequestParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
        )
        self._timers = timers
        self._payload: Any = None
        self._body_bytes = 0
        # Bytes since the last request or part of a body, and when the first came.
        self._header_bytes = 0
        self._header_since_s = 0.0
        # When the connection was opened, or the last request came.
        self._active_s = timers.now()
        self._writing_paused_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        super().connection_made(transport)
        if not self._manager.admit(self):
            self.force_close()

    def data_received(self, data: bytes) -> None:
        request_count = self._request_count
        super().data_received(data)
        if self._close or self._force_close:
            return
        if self._request_count != request_count:
            self._payload = self._messages[-1][1]
            self._active_s = self._timers.now()
        elif self._payload is None or self._payload.total_bytes == self._body_bytes:
            if not (self._reading_paused or self._buffer_paused):
                self._count_header(len(data))
            return
        self._body_bytes = self._payload.total_bytes
        self._header_bytes = 0

    def _count_header(self, size: int) -> None:
        if not self._header_bytes:
            self._header_since_s = self._timers.now()
        self._header_bytes += size
        if self._header_bytes > MAX_HEADER_BYTES:
            self._manager.close_connections([self], "large header section")

    def pause_writing(self) -> None:
        self._writing_paused_s = self._timers.now()
        super().pause_writing()

    def get_state(self, now_s: float) -> ConnectionState:
        """Return what the connection is used for."""
        if is_idle(self) and not self.writing_paused:
            if self._header_bytes:
                use, since_s = ConnectionUse.HEAD, self._header_since_s
            elif self._request_count:
                use, since_s = ConnectionUse.IDLE, self._active_s
            else:
                use, since_s = ConnectionUse.UNUSED, self._active_s
            return ConnectionState(use, since_s, self)
        since_s = now_s
        if self.writing_paused:
            since_s = self._writing_paused_s
        elif self._payload is not None and not self._payload.is_eof():
            since_s = self._active_s
        if now_s - since_s >= SLOW_S:
            return ConnectionState(ConnectionUse.SLOW, since_s, self)
        use = ConnectionUse.AHEAD if self._buffer_paused else ConnectionUse.BUSY
        return ConnectionState(use, self._active_s, self)


class CallerServer(Server):
    """A server of HTTP requests with bounds on its connections.

    Args:
        name: What it serves, for the log.
        handler: Handles a request.
        timers: The timer service.
        max_connections: Upper bound of the open connections.

    Attributes:
        closed: How many connections were closed since a bound was reached.
    """

    def __init__(
        self, name: str, handler: Any, timers: Timers, max_connections: int
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.closed = 0
        self._name = name
        self._timers = timers
        self._max_connections = max_connections
        self._open: set[_CallerConnection] = set()
        timers.subscribe(CHECK_INTERVAL_S, self._close_unfinished)

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        return _CallerConnection(
            self,
            self._timers,
            loop=self._loop,
            keepalive_timeout=IDLE_TIMEOUT_S,
            lingering_time=LINGERING_TIME_S,
            access_log=None,
            logger=_logger,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    def admit(self, connection: _CallerConnection) -> bool:
        """Return whether a new connection has room; close others for it if necessary.

        Args:
            connection: The connection.
        """
        if len(self._open) >= self._max_connections:
            now_s = self._timers.now()
            count = max(1, int(CLOSED_SHARE * self._max_connections))
            closable = pick_closable(
                [opened.get_state(now_s) for opened in self._open], count
            )
            self.close_connections(closable or [connection], "too many connections")
            if not closable:
                return False
        self._open.add(connection)
        return True

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Count a connection as open no more."""
        self._open.discard(handler)
        super().connection_lost(handler, exc)

    def count_open(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def close_connections(
        self, connections: list[_CallerConnection], reason: str
    ) -> None:
        """Close connections, of which nothing is read from now on."""
        self.closed += len(connections)
        log_message(
            "listener:connections_closed",
            listener=self._name,
            reason=reason,
            closed=len(connections),
            open=len(self._open),
            max_connections=self._max_connections,
        )
        for connection in connections:
            self._open.discard(connection)
            transport = connection.transport
            connection.force_close()
            if transport is not None:
                transport.abort()

    def _close_unfinished(self) -> None:
        """Close connections whose header section takes too long."""
        now_s = self._timers.now()
        states = [connection.get_state(now_s) for connection in self._open]
        late = [
            state.connection
            for state in states
            if state.use is ConnectionUse.HEAD
            and now_s - state.since_s >= HEADER_TIMEOUT_S
        ]
        if late:
            self.close_connections(late, "slow header section")

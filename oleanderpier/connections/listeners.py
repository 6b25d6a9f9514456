"""HTTP listeners, and how their connections end.

It answers this load pattern: a planned stop, while callers go on to send requests on
open connections until these are closed.
"""

import asyncio
import socket
import struct
from typing import NamedTuple

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_runner import BaseRunner, TCPSite
from eliot import log_message

from oleanderpier.utils import Timers

__all__ = [
    "LINGER_RESET",
    "ConnectionCounts",
    "HttpListener",
    "has_queued_request",
    "is_idle",
]

LISTEN_BACKLOG = 512
POLL_INTERVAL_S = 0.02
# Value of SO_LINGER with which a close, also that of a process that is killed, resets
# the connection.
LINGER_RESET = struct.pack("ii", 1, 0)


class ConnectionCounts(NamedTuple):
    """The open connections of a listener.

    Attributes:
        idle: Those without a request.
        busy: Those with a request that was read and has no whole response yet.
        unsent_bytes: Bytes of responses that were written and are not out.
    """

    idle: int
    busy: int
    unsent_bytes: int


class HttpListener:
    """Accepts connections at one address and serves HTTP on them.

    Args:
        name: What it serves, for the log.
        runner: The server's runner; set up by ``start``.
        timers: The timer service.
    """

    def __init__(self, name: str, runner: BaseRunner, timers: Timers) -> None:
        self._name = name
        self._runner = runner
        self._timers = timers

    async def start(self, host: str, port: int) -> None:
        """Listen on a port of an IP address."""
        await self._runner.setup()
        await TCPSite(self._runner, host, port, backlog=LISTEN_BACKLOG).start()

    async def finish(self, deadline_s: float) -> bool:
        """Stop listening; close each connection once all that it has read is answered.

        An idle connection is closed in the same step in which it is found idle, so
        that a request which arrives later is never read.

        Args:
            deadline_s: When to stop waiting, on the timer service's clock.

        Returns:
            Whether no connection is left.
        """
        for site in self._runner.sites:
            await site.stop()
        while True:
            # A connection that was just accepted is counted one step later.
            await asyncio.sleep(POLL_INTERVAL_S)
            connections = self._runner.server.connections
            for connection in connections:
                if is_idle(connection):
                    connection.transport.close()
            if not connections or self._timers.now() >= deadline_s:
                return not connections

    async def close(self) -> None:
        """Stop listening and end all connections, answered or not.

        Those that are left are reset, since a regular end may look like that of a whole
        response.
        """
        counts = self.count_connections()
        log_message("listener:closed", listener=self._name, **counts._asdict())
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                _reset(connection.transport)
        await self._runner.cleanup()

    def count_connections(self) -> ConnectionCounts:
        """Return how many connections are open, by what they are used for."""
        connections = self._runner.server.connections
        idle = sum(is_idle(connection) for connection in connections)
        unsent_bytes = sum(
            connection.transport.get_write_buffer_size()
            for connection in connections
            if connection.transport is not None
        )
        return ConnectionCounts(idle, len(connections) - idle, unsent_bytes)


def _reset(transport: asyncio.Transport) -> None:
    opened = transport.get_extra_info("socket")
    if opened is not None:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


def has_queued_request(connection: RequestHandler) -> bool:
    """Return whether another request was read behind the one in progress."""
    return bool(connection._messages)


def is_idle(connection: RequestHandler) -> bool:
    """Return whether every request that was read whole has its response.

    aiohttp has no public way to tell: a connection's task waits for this future, which
    is done as soon as a request was read.
    """
    waiter = connection._waiter
    return waiter is not None and not waiter.done()

"""HTTP listeners, and how their connections end.

It answers this load pattern: a planned stop, while callers go on to send requests on
open connections until these are closed.
"""

from typing import NamedTuple

from aiohttp import web
from eliot import log_message

__all__ = ["ConnectionCounts", "HttpListener"]

LISTEN_BACKLOG = 512


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
    """

    def __init__(self, name: str, runner: web.BaseRunner) -> None:
        self._name = name
        self._runner = runner

    async def start(self, host: str, port: int) -> None:
        """Listen on a port of an IP address."""
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, backlog=LISTEN_BACKLOG).start()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        counts = self.count_connections()
        log_message("listener:closed", listener=self._name, **counts._asdict())
        await self._runner.cleanup()

    def count_connections(self) -> ConnectionCounts:
        """Return how many connections are open, by what they are used for."""
        connections = self._runner.server.connections
        idle = sum(_is_idle(connection) for connection in connections)
        unsent_bytes = sum(
            connection.transport.get_write_buffer_size()
            for connection in connections
            if connection.transport is not None
        )
        return ConnectionCounts(idle, len(connections) - idle, unsent_bytes)


def _is_idle(connection: web.RequestHandler) -> bool:
    """Return whether every request that was read whole has its response."""
    waiter = connection._waiter
    return waiter is not None and not waiter.done()

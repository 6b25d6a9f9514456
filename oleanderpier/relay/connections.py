"""Connections to backend servers."""

import asyncio
import socket
from collections.abc import Callable

import aiohttp
from aiohttp.abc import AbstractCookieJar

from oleanderpier.configuration import BackendServer

__all__ = ["Cancellations", "format_url", "make_session"]

CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 4096
READ_BUFFER_BYTES = 16 * 1024
KERNEL_BUFFER_BYTES = 64 * 1024
USER_TIMEOUT_MS = 5000
CANCEL_TIMEOUT_S = 1.0
CANCEL_ATTEMPTS = 2


def make_session(max_connections: int = MAX_CONNECTIONS) -> aiohttp.ClientSession:
    """Return a client session for requests to backend servers.

    Every request gets a connection of its own, which is closed afterwards: a
    kept connection may have gone silent while it was idle, or be closed by
    the server just as a request is written to it, and then nobody knows
    whether the request ran. Must be called in the event loop.

    Args:
        max_connections: How many may be open at once.
    """
    connector = aiohttp.TCPConnector(
        force_close=True,
        limit=max_connections,
        use_dns_cache=False,
        happy_eyeballs_delay=None,
        socket_factory=_make_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=_make_cookie_jar(),
        timeout=aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S),
        read_bufsize=READ_BUFFER_BYTES,
        auto_decompress=False,
        skip_auto_headers=["User-Agent", "Accept-Encoding"],
    )


def format_url(backend_server: BackendServer, path: str) -> str:
    """Return the URL of a path at a backend server.

    Examples:
        >>> format_url({"address": "10.0.0.7", "port": 80}, "/v1/load")
        'http://10.0.0.7:80/v1/load'
    """
    return f"http://{backend_server['address']}:{backend_server['port']}{path}"


class Cancellations:
    """Ends work at engines in the background, over new connections.

    Args:
        session: The client session to use.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._tasks: dict[tuple[str, str], asyncio.Task[None]] = {}

    def start(
        self,
        backend_server: BackendServer,
        request_id: str,
        done: Callable[[], None],
    ) -> None:
        """Ask an engine to end a request's work.

        Args:
            backend_server: The engine.
            request_id: The request.
            done: Called when the engine has answered or can't be reached.
        """
        key = (backend_server["name"], request_id)
        task = asyncio.create_task(self._cancel(backend_server, request_id, done))
        self._tasks[key] = task
        task.add_done_callback(lambda task: self._forget(key, task))

    async def wait_for(self, backend_server: BackendServer, request_id: str) -> None:
        """Wait until the last cancellation of a request is through."""
        task = self._tasks.get((backend_server["name"], request_id))
        if task is not None:
            await asyncio.wait({task})

    async def close(self) -> None:
        """Wait for all cancellations."""
        if self._tasks:
            await asyncio.wait(set(self._tasks.values()))

    async def _cancel(
        self,
        backend_server: BackendServer,
        request_id: str,
        done: Callable[[], None],
    ) -> None:
        url = format_url(backend_server, f"/v1/generate/{request_id}")
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        try:
            for _ in range(CANCEL_ATTEMPTS):
                try:
                    async with self._session.delete(url, timeout=timeout):
                        return
                except (aiohttp.ClientError, TimeoutError):
                    continue
        finally:
            done()

    def _forget(self, key: tuple[str, str], task: asyncio.Task[None]) -> None:
        if self._tasks.get(key) is task:
            del self._tasks[key]


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


def _make_cookie_jar() -> AbstractCookieJar:
    return aiohttp.DummyCookieJar()

"""Connections to backend servers."""

import asyncio
from collections.abc import Callable

import aiohttp

from oleanderpier.configuration import BackendServer
from oleanderpier.connections import CONNECT_TIMEOUT_S, make_session

__all__ = ["CONNECT_TIMEOUT_S", "Cancellations", "format_url", "make_session"]

CANCEL_TIMEOUT_S = 1.0
CANCEL_ATTEMPTS = 2


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

"""URLs of backend servers, and cancellation of requests at them."""

import asyncio
from collections.abc import Callable

import aiohttp

from oleanderpier.configuration import BackendServer
from oleanderpier.connections import CONNECT_TIMEOUT_S, make_session

__all__ = ["CONNECT_TIMEOUT_S", "Cancellations", "format_url", "make_session"]

CANCEL_TIMEOUT_S = 1.0
MAX_CANCEL_ATTEMPTS = 2


def format_url(backend_server: BackendServer, path: str) -> str:
    """Return the URL of a path at a backend server.

    Examples:
        >>> format_url({"address": "10.0.0.7", "port": 80}, "/v1/load")
        'http://10.0.0.7:80/v1/load'
    """
    return f"http://{backend_server['address']}:{backend_server['port']}{path}"


class Cancellations:
    """Cancels requests at engines, in background tasks.

    Args:
        session: The client session to use; it opens a connection for each
            cancellation.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._tasks: dict[tuple[str, str], asyncio.Task[None]] = {}

    def cancel_request(
        self,
        backend_server: BackendServer,
        request_id: str,
        on_done: Callable[[], None],
    ) -> None:
        """Start to cancel a request at an engine, without waiting for it.

        Args:
            backend_server: The engine.
            request_id: The request's id.
            on_done: Called once the engine has responded or every attempt
                has failed.
        """
        key = (backend_server["name"], request_id)
        task = asyncio.create_task(
            self._send_cancellation(backend_server, request_id, on_done)
        )
        self._tasks[key] = task
        task.add_done_callback(lambda task: self._remove_task(key, task))

    async def wait_for_request(
        self, backend_server: BackendServer, request_id: str
    ) -> None:
        """Wait for the last cancellation of a request at an engine, if any."""
        task = self._tasks.get((backend_server["name"], request_id))
        if task is not None:
            await asyncio.wait({task})

    async def close(self) -> None:
        """Wait for all cancellations in progress."""
        if self._tasks:
            await asyncio.wait(set(self._tasks.values()))

    async def _send_cancellation(
        self,
        backend_server: BackendServer,
        request_id: str,
        on_done: Callable[[], None],
    ) -> None:
        url = format_url(backend_server, f"/v1/generate/{request_id}")
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        try:
            for _ in range(MAX_CANCEL_ATTEMPTS):
                try:
                    async with self._session.delete(url, timeout=timeout):
                        return
                except (aiohttp.ClientError, TimeoutError):
                    continue
        finally:
            on_done()

    def _remove_task(self, key: tuple[str, str], task: asyncio.Task[None]) -> None:
        if self._tasks.get(key) is task:
            del self._tasks[key]

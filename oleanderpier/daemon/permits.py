"""Awaitable permits to send requests to backend servers."""

import asyncio

from expression import Error, Ok, Result

from oleanderpier.configuration import BackendServer
from oleanderpier.placement import Outcome, Permit, PermitRequest, Placement
from oleanderpier.results import Code, Failure

__all__ = ["HeldPermit", "PermitClient"]

MAX_ACQUIRE_ATTEMPTS = 3
# Retry-After where no backend server can be used at the moment.
RETRY_AFTER_S = 1.0


class HeldPermit:
    """A permit that a task of this host holds, with its backend server's entry.

    Attributes:
        backend_server: The published entry of the server that may run the
            request.
        priority: The request's priority at the engine; lower runs first.
    """

    def __init__(
        self, placement: Placement, permit: Permit, backend_server: BackendServer
    ) -> None:
        self._placement = placement
        self._permit = permit
        self.backend_server = backend_server
        self.priority = permit.priority

    def release(self) -> None:
        """Return the permit after the request has ended."""
        self._placement.release(self._permit)

    def abandon(self) -> None:
        """Return the permit without a result of the backend server."""
        self._placement.release(self._permit, Outcome.ABANDONED)


class PermitClient:
    """Requests permits from the placement on behalf of asyncio tasks.

    Args:
        placement: The placement component of this host.
    """

    def __init__(self, placement: Placement) -> None:
        self._placement = placement
        self._servers: dict[str, BackendServer] = {}

    def update_backend_servers(self, servers: list[BackendServer]) -> None:
        """Replace the entries of backend servers by the published ones."""
        self._servers = {server["name"]: server for server in servers}

    async def acquire(
        self, request: PermitRequest, avoid: frozenset[str] = frozenset()
    ) -> Result[HeldPermit, Failure]:
        """Wait for a permit.

        A request to the placement can name only one server to avoid. Permits for
        other servers in ``avoid`` are returned unused, and another is requested.

        Args:
            request: The request that needs a backend server.
            avoid: Names of backend servers that must not be used.

        Returns:
            A permit, or why none was granted.
        """
        request = request._replace(avoid=min(avoid, default=""))
        for _ in range(MAX_ACQUIRE_ATTEMPTS):
            result = await self._request_permit(request)
            if result.is_error():
                return result
            held_permit = result.ok
            if held_permit.backend_server["name"] not in avoid:
                return result
            held_permit.abandon()
        names = ", ".join(sorted(avoid))
        return Error(
            Failure(Code.NO_BACKEND_SERVER, f"none but {names}", RETRY_AFTER_S)
        )

    async def _request_permit(
        self, request: PermitRequest
    ) -> Result[HeldPermit, Failure]:
        future = asyncio.get_running_loop().create_future()

        def notify(result: Result[Permit, Failure]) -> None:
            if not future.done():
                future.set_result(result)
            elif result.is_ok():
                self._placement.release(result.ok, Outcome.ABANDONED)

        self._placement.request(request, notify)
        try:
            result = await future
        except asyncio.CancelledError:
            self._cancel_request(request, future)
            raise
        return result.bind(self._make_held_permit)

    def _cancel_request(self, request: PermitRequest, future: asyncio.Future) -> None:
        """Cancel a request whose task was cancelled, or return its permit."""
        if future.done() and not future.cancelled() and future.result().is_ok():
            self._placement.release(future.result().ok, Outcome.ABANDONED)
        else:
            self._placement.cancel(request.request)

    def _make_held_permit(self, permit: Permit) -> Result[HeldPermit, Failure]:
        server = self._servers.get(permit.backend_server)
        if server is None:
            self._placement.release(permit, Outcome.ABANDONED)
            text = f"{permit.backend_server} is not in this host's list"
            return Error(Failure(Code.NO_BACKEND_SERVER, text, RETRY_AFTER_S))
        return Ok(HeldPermit(self._placement, permit, server))

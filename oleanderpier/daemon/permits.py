"""Permits of the placement, as the relay's tasks wait for them and use them."""

import asyncio

from expression import Error, Ok, Result

from oleanderpier.configuration import BackendServer
from oleanderpier.placement import Outcome, Permit, PermitRequest, Placement
from oleanderpier.results import Code, Failure

__all__ = ["HeldPermit", "Permits"]

MAX_TRIES = 3
RETRY_AFTER_S = 1.0


class HeldPermit:
    """A permit in use, with the entry of its backend server.

    Attributes:
        backend_server: Where the request may run.
        priority: For the engine; lower goes first.
    """

    def __init__(
        self, placement: Placement, permit: Permit, backend_server: BackendServer
    ) -> None:
        self._placement = placement
        self._permit = permit
        self.backend_server = backend_server
        self.priority = permit.priority

    def release(self) -> None:
        """Give the permit back after use."""
        self._placement.release(self._permit)

    def abandon(self) -> None:
        """Give the permit back unused."""
        self._placement.release(self._permit, Outcome.ABANDONED)


class Permits:
    """Asks the placement for permits on behalf of tasks.

    Args:
        placement: This host's part in placement.
    """

    def __init__(self, placement: Placement) -> None:
        self._placement = placement
        self._servers: dict[str, BackendServer] = {}

    def update_backend_servers(self, servers: list[BackendServer]) -> None:
        """Take the published backend servers."""
        self._servers = {server["name"]: server for server in servers}

    async def acquire(
        self, request: PermitRequest, avoid: frozenset[str] = frozenset()
    ) -> Result[HeldPermit, Failure]:
        """Wait for a permit.

        Args:
            request: What needs a backend server.
            avoid: Backend servers that are not to be used.

        Returns:
            A permit, or why there is none.
        """
        request = request._replace(avoid=min(avoid, default=""))
        for _ in range(MAX_TRIES):
            result = await self._request(request)
            if result.is_error():
                return result
            held = result.ok
            if held.backend_server["name"] not in avoid:
                return result
            held.abandon()
        names = ", ".join(sorted(avoid))
        return Error(
            Failure(Code.NO_BACKEND_SERVER, f"none but {names}", RETRY_AFTER_S)
        )

    async def _request(self, request: PermitRequest) -> Result[HeldPermit, Failure]:
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
            self._withdraw(request, future)
            raise
        return result.bind(self._hold)

    def _withdraw(self, request: PermitRequest, future: asyncio.Future) -> None:
        """Give up a request whose task has ended."""
        if future.done() and not future.cancelled() and future.result().is_ok():
            self._placement.release(future.result().ok, Outcome.ABANDONED)
        else:
            self._placement.cancel(request.request)

    def _hold(self, permit: Permit) -> Result[HeldPermit, Failure]:
        server = self._servers.get(permit.backend_server)
        if server is None:
            self._placement.release(permit, Outcome.ABANDONED)
            text = f"{permit.backend_server} is not in this host's list"
            return Error(Failure(Code.NO_BACKEND_SERVER, text, RETRY_AFTER_S))
        return Ok(HeldPermit(self._placement, permit, server))

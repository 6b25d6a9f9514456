"""Stand-in for the plain service, which counts the calls that it executes.

In addition to the calls of ``docs/INTERFACES.md`` it serves ``POST /faults``,
``GET /executions`` (``{key: count}``) and ``GET /operations``
(``{operation: count}``).
"""

import asyncio
import json
from collections import Counter

import click
from aiohttp import web

from oleanderpier.utils import hash_text
from standins.faults import ServiceFaults
from standins.http import FaultSwitch, make_error_response, read_json, serve

__all__ = ["Service", "make_service_app"]


class Service:
    """A plain service, such as a ledger, that counts every execution.

    Args:
        name: Name of the server, repeated in each response.
        checks_keys: Whether a call with a known idempotency key returns the
            first response instead of being executed again.

    Attributes:
        fault_switch: The active faults.
    """

    def __init__(self, name: str, checks_keys: bool = False) -> None:
        self.name = name
        self.fault_switch = FaultSwitch(ServiceFaults)
        self._checks_keys = checks_keys
        self._executions: Counter[str] = Counter()
        self._operations: Counter[str] = Counter()
        self._responses_by_key: dict[str, dict] = {}
        self._running = 0
        self._sequence = 0

    def execute(self, operation: str, key: str, body: dict) -> dict:
        """Execute an operation, count the execution and return the response body."""
        if self._checks_keys and key in self._responses_by_key:
            return self._responses_by_key[key]
        self._operations[operation] += 1
        if key:
            self._executions[key] += 1
        receipt = hash_text(json.dumps([operation, key, body], sort_keys=True))
        response = {"server": self.name, "operation": operation, "body": body}
        response["receipt"] = f"{receipt:016x}"
        if self._checks_keys and key:
            self._responses_by_key[key] = response
        return response

    async def handle_call(self, request: web.Request) -> web.Response:
        """Serve ``POST /v1/calls/{operation}``."""
        body = await read_json(request, dict)
        faults = self.fault_switch.take_faults()
        if faults.get("refuse"):
            return make_error_response(503, "refused")
        key = request.headers.get("Idempotency-Key", "")
        response = self.execute(request.match_info["operation"], key, body)
        self._running += 1
        try:
            await self._apply_faults(request, faults)
        finally:
            self._running -= 1
        return web.json_response(response)

    async def handle_load(self, request: web.Request) -> web.Response:
        """Serve ``GET /v1/load``."""
        self._sequence += 1
        load = {"running": self._running, "waiting": 0, "slots": 64}
        return web.json_response({**load, "sequence": self._sequence})

    async def handle_executions(self, request: web.Request) -> web.Response:
        """Serve ``GET /executions``."""
        return web.json_response(self._executions)

    async def handle_operations(self, request: web.Request) -> web.Response:
        """Serve ``GET /operations``."""
        return web.json_response(self._operations)

    async def _apply_faults(self, request: web.Request, faults: ServiceFaults) -> None:
        await asyncio.sleep(faults.get("late_s", 0.0))
        if faults.get("lose_answer") and request.transport is not None:
            request.transport.abort()
        while faults.get("silent") and request.transport is not None:
            await asyncio.sleep(0.05)


def make_service_app(service: Service) -> web.Application:
    """Return the HTTP application that serves a service."""
    app = web.Application()
    app.router.add_post("/v1/calls/{operation}", service.handle_call)
    app.router.add_get("/v1/load", service.handle_load)
    app.router.add_get("/executions", service.handle_executions)
    app.router.add_get("/operations", service.handle_operations)
    service.fault_switch.add_routes(app)
    return app


@click.command()
@click.option("--port", type=int, required=True, help="Port to listen on.")
@click.option("--name", required=True, help="Name of the server.")
@click.option("--address", default="127.0.0.1", show_default=True)
@click.option("--checks-keys", is_flag=True, help="Never execute a key twice.")
def main(port: int, name: str, address: str, checks_keys: bool) -> None:
    """Serve a stand-in for the plain service."""
    app = make_service_app(Service(name, checks_keys))
    asyncio.run(serve(app, address, port))


if __name__ == "__main__":
    main()

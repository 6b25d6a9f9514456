"""HTTP helpers shared by the stand-ins."""

import asyncio
import json
import signal
from typing import Any

from aiohttp import web

from oleanderpier.exception import SettingsError
from oleanderpier.utils import check_mapping

__all__ = ["FaultSwitch", "make_error_response", "read_json", "serve"]

SSE_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}


class FaultSwitch:
    """The active faults of a stand-in and how often they still apply.

    ``POST /faults`` replaces the active faults.

    Args:
        schema: ``TypedDict`` that a posted set of faults must match.

    Attributes:
        faults: The active faults by name; empty if there are none.
    """

    def __init__(self, schema: type) -> None:
        self._schema = schema
        self.faults: Any = {}

    def take_faults(self) -> Any:
        """Return the faults for a new stream or call and count it against ``times``."""
        if "times" not in self.faults:
            return self.faults
        if self.faults["times"] == 0:
            return {}
        self.faults["times"] -= 1
        return self.faults

    def add_routes(self, app: web.Application) -> None:
        """Add the handlers of ``GET /faults`` and ``POST /faults``."""
        app.router.add_get("/faults", self._get)
        app.router.add_post("/faults", self._post)

    async def _get(self, request: web.Request) -> web.Response:
        return web.json_response(self.faults)

    async def _post(self, request: web.Request) -> web.Response:
        self.faults = await read_json(request, self._schema)
        return web.json_response(self.faults)


def make_error_response(status: int, text: str) -> web.Response:
    """Return a JSON response with an error status and an explanation."""
    return web.json_response({"text": text}, status=status)


async def read_json(request: web.Request, schema: type) -> Any:
    """Return the JSON body of a request after validating it.

    Args:
        request: The request.
        schema: ``TypedDict`` that the body must match; ``dict`` accepts any JSON
            value.

    Raises:
        web.HTTPBadRequest: The body is not JSON or does not match the schema.
    """
    try:
        value = json.loads(await request.read())
        return value if schema is dict else check_mapping(schema, value)
    except (ValueError, SettingsError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error


async def serve(app: web.Application, address: str, port: int) -> None:
    """Serve an application until SIGTERM or SIGINT; port 0 selects a free port."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
    await runner.setup()
    await web.TCPSite(runner, address, port).start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    print(f"listening on {address}:{runner.addresses[0][1]}", flush=True)
    await stopped.wait()
    await runner.cleanup()

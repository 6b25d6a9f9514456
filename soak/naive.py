"""A naive entry host, which the soak's checks have to find fault with.

``python -m soak.naive resend`` sends any request again whose answer was lost;
``python -m soak.naive no_drain`` ends at once when it is told to.
"""

import asyncio
import base64
import json
import os
import signal
import sys
from pathlib import Path

import aiohttp
from aiohttp import web

from oleanderpier.connections import make_session

__all__ = ["run"]

POLL_S = 0.3
TRIES = 3
TIMEOUT_S = 2.0


class NaiveHost:
    """Reads the store on its own and forwards in turn.

    Args:
        fields: The platform's fields of its settings.
        resends: Whether any request is sent again whose answer was lost.
    """

    def __init__(self, fields: dict, resends: bool) -> None:
        self._fields = fields
        self._resends = resends
        self._servers: dict[str, str] = {}
        self._keys: set[str] = set()
        self._turn = 0

    async def serve(self) -> None:
        """Listen, and follow the store for good."""
        self._session = make_session()
        listen = self._fields["Listen"]
        for name, handler in (
            ("Front", self._forward),
            ("Ready", self._tell_ready),
            ("Directory", self._tell_addresses),
        ):
            host, _, port = listen[name].rpartition(":")
            runner = web.ServerRunner(web.Server(handler))
            await runner.setup()
            await web.TCPSite(runner, host, int(port)).start()
        while True:
            try:
                await self._read_store()
            except (aiohttp.ClientError, OSError, KeyError) as error:
                sys.stdout.write(f"the store does not answer: {error!r}\n")
            await asyncio.sleep(POLL_S)

    async def _read_store(self) -> None:
        entries = await self._read_range("servers/")
        configuration = (await self._read_range("op/config"))["op/config"]
        self._keys = {k for t in configuration["Tenants"] for k in t["ApiKeys"]}
        self._servers = {
            key.removeprefix("servers/"): entry["Address"]
            for key, entry in entries.items()
            if entry["State"] == "ready"
        }

    async def _read_range(self, prefix: str) -> dict[str, dict]:
        url = f"http://{self._fields['Platform']['Address']}/kv-range"
        async with asyncio.timeout(TIMEOUT_S):
            async with self._session.get(url, params={"Prefix": prefix}) as answer:
                items = (await answer.json())["Items"]
        return {item["Key"]: _decode(item["Value"]) for item in items}

    async def _tell_ready(self, request) -> web.Response:
        return web.Response(status=200 if self._servers else 503)

    async def _tell_addresses(self, request) -> web.Response:
        addresses = [self._fields["Listen"]["Front"]]
        return web.json_response({"Addresses": addresses, "TtlS": 1})

    async def _forward(self, request) -> web.Response:
        body = await request.read()
        if request.headers["Credential"] not in self._keys:
            return web.Response(status=401)
        for _ in range(TRIES if self._resends else 1):
            self._turn += 1
            servers = sorted(self._servers.items())
            if not servers:
                break
            identity, address = servers[self._turn % len(servers)]
            headers = {**request.headers, "Expect-Instance": identity}
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    async with self._session.request(
                        request.method,
                        f"http://{address}{request.path}",
                        data=body,
                        headers=headers,
                    ) as answer:
                        data = await answer.read()
                        return web.Response(status=answer.status, body=data)
            except (aiohttp.ClientError, OSError) as error:
                sys.stdout.write(f"{identity} failed: {error!r}\n")
        return web.Response(status=502)


def _decode(value: str) -> dict:
    return json.loads(base64.b64decode(value))


def run() -> None:
    """Serve as the settings file says until the process is told to end."""
    fields = json.loads(Path(os.environ["OLEANDERPIER_BOOT"]).read_text())
    host = NaiveHost(fields["platform_fields"], sys.argv[1] == "resend")
    signal.signal(signal.SIGTERM, lambda *args: os._exit(0))
    asyncio.run(host.serve())


if __name__ == "__main__":
    run()

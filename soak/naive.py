"""Naive entry hosts that violate guarantees, to verify that the checks notice it.

``python -m soak.naive resend`` sends any request again whose response was lost;
``python -m soak.naive no_drain`` exits at once on SIGTERM. Both variants do the
latter.
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

STORE_POLL_INTERVAL_S = 0.3
MAX_SENDS = 3
CALL_TIMEOUT_S = 2.0


class NaiveHost:
    """Entry host that polls the store and forwards requests round-robin.

    Args:
        fields: The ``platform_fields`` of the settings.
        resends: Whether requests whose response was lost are sent again.
    """

    def __init__(self, fields: dict, resends: bool) -> None:
        self._platform_fields = fields
        self._resends = resends
        self._servers: dict[str, str] = {}
        self._keys: set[str] = set()
        self._forward_count = 0

    async def serve(self) -> None:
        """Listen and poll the store until the process ends."""
        self._session = make_session()
        listen = self._platform_fields["Listen"]
        for name, handler in (
            ("Front", self._forward),
            ("Ready", self._handle_ready),
            ("Directory", self._handle_resolve),
        ):
            host, _, port = listen[name].rpartition(":")
            runner = web.ServerRunner(web.Server(handler))
            await runner.setup()
            await web.TCPSite(runner, host, int(port)).start()
        while True:
            try:
                await self._read_store()
            except (aiohttp.ClientError, OSError, KeyError) as error:
                sys.stdout.write(f"cannot read the store: {error!r}\n")
            await asyncio.sleep(STORE_POLL_INTERVAL_S)

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
        url = f"http://{self._platform_fields['Platform']['Address']}/kv-range"
        async with asyncio.timeout(CALL_TIMEOUT_S):
            async with self._session.get(url, params={"Prefix": prefix}) as response:
                items = (await response.json())["Items"]
        return {item["Key"]: _decode(item["Value"]) for item in items}

    async def _handle_ready(self, request) -> web.Response:
        return web.Response(status=200 if self._servers else 503)

    async def _handle_resolve(self, request) -> web.Response:
        addresses = [self._platform_fields["Listen"]["Front"]]
        return web.json_response({"Addresses": addresses, "TtlS": 1})

    async def _forward(self, request) -> web.Response:
        body = await request.read()
        if request.headers["Credential"] not in self._keys:
            return web.Response(status=401)
        for _ in range(MAX_SENDS if self._resends else 1):
            self._forward_count += 1
            servers = sorted(self._servers.items())
            if not servers:
                break
            instance_id, address = servers[self._forward_count % len(servers)]
            headers = {**request.headers, "Expect-Instance": instance_id}
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    async with self._session.request(
                        request.method,
                        f"http://{address}{request.path}",
                        data=body,
                        headers=headers,
                    ) as response:
                        data = await response.read()
                        return web.Response(status=response.status, body=data)
            except (aiohttp.ClientError, OSError) as error:
                sys.stdout.write(f"request to server {instance_id} failed: {error!r}\n")
        return web.Response(status=502)


def _decode(value: str) -> dict:
    return json.loads(base64.b64decode(value))


def run() -> None:
    """Serve with the settings of ``OLEANDERPIER_BOOT`` until SIGTERM."""
    fields = json.loads(Path(os.environ["OLEANDERPIER_BOOT"]).read_text())
    host = NaiveHost(fields["platform_fields"], sys.argv[1] == "resend")
    signal.signal(signal.SIGTERM, lambda *args: os._exit(0))
    asyncio.run(host.serve())


if __name__ == "__main__":
    run()

"""Real entry hosts as processes before stand-ins of the store and of servers."""

import asyncio
import json
import os
import signal
import sys
import tempfile
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from demo.fleet import find_free_port
from standins.store import StandInStore

__all__ = [
    "API_KEY",
    "HOST_NAME",
    "PlatformFleet",
    "StandInServer",
    "stop_gracefully",
]

HOST_NAME = "office.example"
API_KEY = "key-1"
READY_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
EVENT_INTERVAL_S = 0.1


class StandInServer:
    """A backend server that counts what it runs.

    Attributes:
        identity: Its id in the store.
        address: Where hosts reach it, ``IP:PORT``.
        runs: The ids of the requests that it ran.
        run_s: When each of them came, by the loop's clock.
        fails: Whether it answers with a failure of its own.
    """

    def __init__(self, instance_id: str, event_count: int = 20) -> None:
        self.instance_id = instance_id
        self.request_ids: list[str] = []
        self.request_times_s: list[float] = []
        self.returns_errors = False
        self.request_headers: list[dict[str, str]] = []
        self.aborted_streams = 0
        self._event_count = event_count

    async def start(self, port: int) -> None:
        """Listen on loopback."""
        server = web.Server(self._handle_request, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _handle_request(self, request) -> web.StreamResponse:
        if request.headers.get("Expect-Instance") != self.instance_id:
            return web.Response(status=421)
        request_id = request.headers["Request-Id"]
        self.request_ids.append(request_id)
        self.request_times_s.append(asyncio.get_running_loop().time())
        self.request_headers.append(dict(request.headers))
        headers = {"Request-Id": request_id, "Response-Signature": self.instance_id}
        if self.returns_errors:
            return web.Response(status=500, headers=headers)
        if request.path.startswith("/chat/"):
            return await self._send_stream(request, headers)
        return web.Response(
            text=f"{self.instance_id} ran {request_id}", headers=headers
        )

    async def _send_stream(self, request, headers) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        try:
            await response.prepare(request)
            for number in range(first, self._event_count + 1):
                await response.write(f"id: {number}\ndata: t{number}\n\n".encode())
                await asyncio.sleep(EVENT_INTERVAL_S)
        except asyncio.CancelledError:
            self.aborted_streams += 1
            raise
        except ConnectionError:
            # The host has left; nobody reads what is written.
            self.aborted_streams += 1
        return response


class PlatformFleet:
    """Entry hosts, the store and servers on loopback.

    Args:
        hosts: How many entry hosts there are.
        program: The module that each of them runs, and its arguments.
        log_folder: Where their output goes; None keeps it for ``communicate``.

    Attributes:
        store: The store.
        servers: Every server that was added.
        processes: Every process that was started, in order.
        settings: The platform's fields of each host's settings.
        store_address: Where the store listens.
    """

    def __init__(
        self,
        hosts: int,
        program: tuple[str, ...] = ("oleanderpier.platform",),
        log_folder: Path | None = None,
    ) -> None:
        self._program = program
        self._log_folder = log_folder
        self._logs: list[Any] = []
        self.store = StandInStore()
        self.servers: list[StandInServer] = []
        self.processes: list[Process] = []
        self.settings: list[dict[str, Any]] = []
        self.metrics_addresses: list[str] = []
        self._host_count = hosts

    async def __aenter__(self) -> "PlatformFleet":
        """Start everything and wait until every host is ready."""
        self._folder = tempfile.TemporaryDirectory()
        self._session = aiohttp.ClientSession()
        self._store_port, *ports = (
            find_free_port() for _ in range(1 + 5 * self._host_count)
        )
        self._runner = web.AppRunner(self.store.make_app(), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", self._store_port).start()
        self.store_address = f"127.0.0.1:{self._store_port}"
        self.publish_configuration(1)
        seeds = [
            f"127.0.0.1:{ports[4 * n + 2]}" for n in range(min(3, self._host_count))
        ]
        for number in range(self._host_count):
            self._add_settings(number, ports[4 * number : 4 * number + 4], seeds)
        self.metrics_addresses = [
            f"127.0.0.1:{port}" for port in ports[4 * self._host_count :]
        ]
        return self

    async def __aexit__(self, *error) -> None:
        """End what was started, by its process id."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.communicate()
        for log in self._logs:
            log.close()
        for server in self.servers:
            await server.stop()
        await self._runner.cleanup()
        await self._session.close()
        self._folder.cleanup()

    def publish_configuration(
        self, version: int, api_keys: tuple[str, ...] = (API_KEY,)
    ) -> None:
        """Publish a configuration with a stream, a payout and a lookup."""
        routes = [
            _make_route(
                "chat", "streaming", Resumable=True, Sticky=True, MaxAttempts=2
            ),
            _make_route("payout", "unsafe"),
            _make_route("lookup", "safe", MaxAttempts=2),
        ]
        self.store.put(
            "op/config",
            {
                "Version": version,
                "Routes": routes,
                "Services": [{"Name": "office", "MaxConnections": 100}],
                "Limits": {"MaxBodyBytes": 1 << 20, "IdleTimeoutMs": 15000},
                "Tenants": [{"Name": "w1", "ApiKeys": list(api_keys)}],
            },
        )

    async def add_server(self, event_count: int = 20) -> StandInServer:
        """Start a server and register it."""
        server = StandInServer(f"i-{len(self.servers)}", event_count)
        await server.start(find_free_port())
        self.servers.append(server)
        self.register_server(server)
        return server

    def register_server(self, server: StandInServer, state: str = "ready") -> None:
        """Write a server's entry."""
        entry = {
            "Service": "office",
            "Address": server.address,
            "Zone": "duluth",
            "State": state,
            "Slots": 8,
        }
        self.store.put(f"servers/{server.instance_id}", entry)

    async def start_host(self, number: int) -> Process:
        """Start one host's program."""
        path = self.write_settings(number)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self._program,
            env={**os.environ, "OLEANDERPIER_BOOT": str(path)},
            **self._open_logs(number),
        )
        self.processes.append(process)
        return process

    def _open_logs(self, number: int) -> dict[str, Any]:
        """Return where a process's output goes."""
        if self._log_folder is None:
            return {"stdout": PIPE, "stderr": PIPE}
        log = (self._log_folder / f"host-{number}.log").open("ab")
        self._logs.append(log)
        return {"stdout": log, "stderr": asyncio.subprocess.STDOUT}

    def write_settings(self, number: int) -> Path:
        """Write a host's settings file and return its path."""
        path = Path(self._folder.name) / f"host-{number}"
        file = {
            "metrics_address": self.metrics_addresses[number],
            "platform_fields": self.settings[number],
        }
        path.write_text(json.dumps(file))
        return path

    async def start_all(self) -> None:
        """Start every host and wait until it is ready."""
        for number in range(self._host_count):
            await self.start_host(number)
        for number in range(self._host_count):
            await self.wait_until_ready(number)

    async def wait_until_ready(self, number: int) -> None:
        """Wait until a host says that it is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await self.read_ready_status(number) != 200:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def read_ready_status(self, number: int) -> int:
        """Return a host's answer to the readiness check, 0 for none."""
        url = f"http://{self.settings[number]['Listen']['Ready']}/ready"
        try:
            async with self._session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def list_addresses(self, number: int) -> set[str]:
        """Return the addresses that a host tells callers to use."""
        url = f"http://{self.settings[number]['Listen']['Directory']}/resolve"
        async with self._session.get(url, params={"Name": HOST_NAME}) as response:
            return set((await response.json())["Addresses"])

    async def read_metrics(self, number: int) -> dict[str, float]:
        """Return the samples of a host's metrics by name with labels."""
        url = f"http://{self.metrics_addresses[number]}/metrics"
        async with self._session.get(url) as response:
            lines = (await response.text()).splitlines()
        samples = (line.rpartition(" ") for line in lines if line[:1] != "#")
        return {name: float(value) for name, _, value in samples}

    def request(self, number: int, path: str, request_id: str, **headers: str):
        """Return the context of a request to a host."""
        method = "GET" if path.startswith("/lookup") else "POST"
        return self._session.request(
            method,
            f"http://{self.settings[number]['Listen']['Front']}{path}",
            data=None if method == "GET" else b"body",
            headers={
                "Host": HOST_NAME,
                "Request-Id": request_id,
                "Request-Deadline-Ms": "8000",
                "Credential": API_KEY,
                **headers,
            },
        )

    async def fetch(self, number: int, path: str, request_id: str, **headers: str):
        """Return the status and the text of an answer."""
        async with self.request(number, path, request_id, **headers) as response:
            return response.status, await response.text()

    def _add_settings(self, number: int, ports: list[int], seeds: list[str]) -> None:
        names = ("Front", "Ready", "Control", "Directory")
        listen = {
            name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)
        }
        self.settings.append(
            {
                "NodeName": f"edge-{number}",
                "Zone": "duluth",
                "Listen": listen,
                "Seeds": seeds,
                "Bounds": {"GraceS": 8, "RetrySlack": 54},
                "Platform": {"Address": self.store_address},
            }
        )


def _make_route(name: str, kind: str, **changes: Any) -> dict[str, Any]:
    return {
        "Name": name,
        "Host": HOST_NAME,
        "Prefix": f"/{name}/",
        "RouteKind": kind,
        "TimeoutMs": 10000,
        "TargetLatencyMs": 500,
        "TargetGapMs": 400,
        "Service": "office",
        "MaxAttempts": 1,
        **changes,
    }


async def stop_gracefully(process: Process) -> tuple[int, bytes]:
    """Send SIGTERM and return the exit status and what it wrote."""
    process.send_signal(signal.SIGTERM)
    output, _ = await process.communicate()
    return process.returncode, output

"""Entry hosts as real processes, with stand-ins for the store and the servers."""

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
from standins.backend_server import StandInServer
from standins.store import StandInStore

__all__ = [
    "API_KEY",
    "HOST_NAME",
    "PlatformFleet",
    "stop_gracefully",
]

HOST_NAME = "office.example"
API_KEY = "key-1"
READY_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05


class PlatformFleet:
    """Entry hosts, the store and backend servers on the loopback address.

    Args:
        hosts: Number of entry hosts.
        program: The module that each host runs, and its arguments.
        log_folder: Folder for the hosts' output; None keeps the output in pipes,
            for ``communicate``.

    Attributes:
        store: The stand-in for the store.
        servers: Every server added so far.
        processes: Every process started so far, in the order of starting.
        settings: The ``platform_fields`` of each host's settings.
        capacity_permits: Whether the hosts use permits for servers with room.
        metrics_addresses: ``IP:PORT`` of each host's metrics.
        store_address: ``IP:PORT`` of the store.
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
        self._latest_processes: dict[int, Process] = {}
        self.settings: list[dict[str, Any]] = []
        self.capacity_permits = False
        self.metrics_addresses: list[str] = []
        self._host_count = hosts

    async def __aenter__(self) -> "PlatformFleet":
        """Start the store, publish a configuration and prepare the hosts' settings."""
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
        """Stop every process and server that was started."""
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

    def evacuate(self, domain: str) -> None:
        """Write the key with which an operator evacuates a failure domain."""
        self.store.put(f"op/evacuate/{domain}", {})

    def end_evacuation(self, domain: str) -> None:
        """Delete the key with which an operator has evacuated a failure domain."""
        self.store.put(f"op/evacuate/{domain}", None)

    def publish_configuration(
        self,
        version: int,
        api_keys: tuple[str, ...] = (API_KEY,),
        **service_fields: Any,
    ) -> None:
        """Publish a configuration with a chat, a payout and a lookup route.

        Args:
            version: Its version.
            api_keys: The keys of the only workspace.
            service_fields: Further fields of the only service.
        """
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
                "Services": [
                    {"Name": "office", "MaxConnections": 100, **service_fields}
                ],
                "Limits": {"MaxBodyBytes": 1 << 20, "IdleTimeoutMs": 15000},
                "Tenants": [{"Name": "w1", "ApiKeys": list(api_keys)}],
            },
        )

    async def add_server(self, event_count: int = 20, **fields: Any) -> StandInServer:
        """Start a backend server, and register it in the store with further fields."""
        server = StandInServer(f"i-{len(self.servers)}", event_count)
        await server.start(find_free_port())
        server.on_restart = lambda: self.register_server(
            server, **{**fields, "born": server.run}
        )
        self.servers.append(server)
        self.register_server(server, **fields)
        return server

    def register_server(
        self, server: StandInServer, state: str = "ready", **fields: Any
    ) -> None:
        """Write the entry of a server to the store, with further fields."""
        self.register_address(server.instance_id, server.address, state, **fields)

    def register_address(
        self, identity: str, address: str, state: str = "ready", **fields: Any
    ) -> None:
        """Write the entry of a server with an id and an address to the store."""
        entry = {
            "Service": "office",
            "Address": address,
            "Zone": "duluth",
            "Version": "v1",
            "Slots": 8,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            **fields,
        }
        self.store.put(f"servers/{identity}", entry)

    async def start_host(self, number: int) -> Process:
        """Start the process of one host."""
        path = self.write_settings(number)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self._program,
            env={**os.environ, "OLEANDERPIER_BOOT": str(path)},
            **self._open_logs(number),
        )
        self.processes.append(process)
        self._latest_processes[number] = process
        return process

    def _open_logs(self, number: int) -> dict[str, Any]:
        """Return the output arguments for starting a host's process."""
        if self._log_folder is None:
            return {"stdout": PIPE, "stderr": PIPE}
        log = (self._log_folder / f"host-{number}.log").open("ab")
        self._logs.append(log)
        return {"stdout": log, "stderr": asyncio.subprocess.STDOUT}

    def write_settings(self, number: int) -> Path:
        """Write the settings file of a host and return its path."""
        path = Path(self._folder.name) / f"host-{number}"
        file = {
            "metrics_address": self.metrics_addresses[number],
            "capacity_permits": self.capacity_permits,
            "platform_fields": self.settings[number],
        }
        path.write_text(json.dumps(file))
        return path

    async def start_all(self) -> None:
        """Start every host and wait until all are ready."""
        for number in range(self._host_count):
            await self.start_host(number)
        for number in range(self._host_count):
            await self.wait_until_ready(number)

    async def wait_until_ready(self, number: int) -> None:
        """Wait until the readiness check of a host succeeds.

        Raises:
            TimeoutError: It doesn't in time; says how the host's process has ended.
        """
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while await self.read_ready_status(number) != 200:
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError as error:
            text = await self._describe_end(self._latest_processes[number])
            raise TimeoutError(f"host {number} is not ready, {text}") from error

    async def _describe_end(self, process: Process) -> str:
        if process.returncode is None:
            return "its process runs"
        output = b"" if process.stderr is None else await process.stderr.read()
        return f"its process ended with {process.returncode}: {output[-2000:].decode()}"

    async def read_ready_status(self, number: int) -> int:
        """Return the status of a host's readiness check, 0 without a response."""
        url = f"http://{self.settings[number]['Listen']['Ready']}/ready"
        try:
            async with self._session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def list_addresses(self, number: int) -> set[str]:
        """Return the addresses that a host's directory gives to callers."""
        url = f"http://{self.settings[number]['Listen']['Directory']}/resolve"
        async with self._session.get(url, params={"Name": HOST_NAME}) as response:
            return set((await response.json())["Addresses"])

    async def read_metrics(self, number: int) -> dict[str, float]:
        """Return the samples of a host's metrics, by name including the labels."""
        url = f"http://{self.metrics_addresses[number]}/metrics"
        async with self._session.get(url) as response:
            lines = (await response.text()).splitlines()
        samples = (line.rpartition(" ") for line in lines if line[:1] != "#")
        return {name: float(value) for name, _, value in samples}

    def request(
        self,
        number: int,
        path: str,
        request_id: str,
        body: bytes = b"body",
        **headers: str,
    ):
        """Return the context manager of a request to a host.

        A lookup has no body.
        """
        method = "GET" if path.startswith("/lookup") else "POST"
        return self._session.request(
            method,
            f"http://{self.settings[number]['Listen']['Front']}{path}",
            data=None if method == "GET" else body,
            headers={
                "Host": HOST_NAME,
                "Request-Id": request_id,
                "Request-Deadline-Ms": "8000",
                "Credential": API_KEY,
                **headers,
            },
        )

    async def fetch(self, number: int, path: str, request_id: str, **headers: str):
        """Send a request to a host; return the status and text of the response."""
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
    """Send SIGTERM to a process; return its exit status and standard output."""
    process.send_signal(signal.SIGTERM)
    output, _ = await process.communicate()
    return process.returncode, output

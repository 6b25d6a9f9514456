"""A small fleet and its stand-ins, each as a separate process."""

import asyncio
import json
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, Process
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from demo.ports import LOOPBACK_ADDRESS, find_free_port

__all__ = ["Endpoint", "Fleet", "find_free_port"]

FAILURE_DOMAINS = ("duluth", "alpena", "erie-port")
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
DEFAULT_LIMITS = {"address_keep_s": 3.0, "drain_s": 30.0}


class Endpoint(NamedTuple):
    """The endpoint of a process.

    Attributes:
        name: Name of the host or backend server.
        failure_domain: Failure domain of the process.
        port: TCP port of its main interface.
    """

    name: str
    failure_domain: str
    port: int

    @property
    def url(self) -> str:
        """Base URL of its HTTP interface."""
        return f"http://{LOOPBACK_ADDRESS}:{self.port}"


class Fleet:
    """The processes of a small fleet.

    Args:
        folder: Folder for the settings and logs.
        hosts: Number of daemons.
        engines: Number of model engines.
        services: Number of plain services.
        limits: Limits in the daemons' settings, which override ``DEFAULT_LIMITS``.

    Attributes:
        folder: Folder for the settings and logs.
        session: HTTP client session without a connection limit.
        processes: Every running process by name.
        platform: Endpoint of the platform's stand-in.
        engines: Endpoints of the model engines.
        services: Endpoints of the plain services.
        hosts: Entries of the published list of hosts.
        limits: Limits in the daemons' settings.
    """

    def __init__(
        self,
        folder: Path,
        hosts: int = 5,
        engines: int = 3,
        services: int = 1,
        limits: dict[str, Any] | None = None,
    ) -> None:
        self.folder = folder
        self.session: aiohttp.ClientSession
        self.processes: dict[str, Process] = {}
        self.platform = Endpoint("platform", "", find_free_port())
        self.engines = _make_endpoints("engine", engines)
        self.services = _make_endpoints("ledger", services)
        self.hosts = _make_hosts(hosts)
        self.limits = {**DEFAULT_LIMITS, **(limits or {})}
        self._versions: dict[str, int] = {}

    async def __aenter__(self) -> "Fleet":
        """Start every process and wait until all hosts are ready."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Kill every process that still runs."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        await self.session.close()

    async def publish(self, name: str, **fields: Any) -> int:
        """Publish a document under the next version and return the version."""
        version = self._versions.get(name, 0) + 1
        self._versions[name] = version
        url = f"{self.platform.url}/values/{name}"
        body = {"version": version, **fields}
        async with self.session.put(url, json=body) as response:
            response.raise_for_status()
        return version

    async def start_host(self, name: str) -> None:
        """Start or restart the daemon of a host."""
        host = next(host for host in self.hosts if host["name"] == name)
        seeds = [
            {
                "name": peer["name"],
                "address": peer["address"],
                "peer_port": peer["peer_port"],
            }
            for peer in self.hosts
            if peer["name"] != name
        ]
        settings = {
            "host": name,
            "region": "great-lakes",
            **{key: host[key] for key in host if key not in ("name", "state")},
            "platform": {"address": LOOPBACK_ADDRESS, "port": self.platform.port},
            "seed_peers": seeds,
            "limits": self.limits,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        program = Path(sys.executable).parent / "oleanderpierd"
        await self._start_process(name, str(program), "--settings", str(path))

    async def wait_until_ready(self, names: list[str]) -> None:
        """Wait until the hosts report the state ``ready``."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in names:
                while (await self.read_status(name)).get("state") != "ready":
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def read_status(self, name: str) -> dict[str, Any]:
        """Return the status of a host, or an empty one if it does not respond."""
        host = next(host for host in self.hosts if host["name"] == name)
        url = f"http://{LOOPBACK_ADDRESS}:{host['operator_port']}/v1/status"
        try:
            async with self.session.get(url) as response:
                return await response.json()
        except (aiohttp.ClientError, OSError):
            return {}

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the fleet."""
        self.processes[name].send_signal(number)

    async def set_faults(self, endpoint: Endpoint, **faults: Any) -> None:
        """Replace the active faults of a stand-in."""
        async with self.session.post(f"{endpoint.url}/faults", json=faults) as response:
            response.raise_for_status()

    async def read_json(self, url: str) -> Any:
        """Return the JSON response to a GET."""
        async with self.session.get(url) as response:
            return await response.json()

    async def count_executions(self) -> dict[str, int]:
        """Return the number of executions by key, summed over all services."""
        total: dict[str, int] = {}
        for service in self.services:
            counts = await self.read_json(f"{service.url}/executions")
            for key, count in counts.items():
                total[key] = total.get(key, 0) + count
        return total

    def list_backend_servers(self) -> list[dict[str, Any]]:
        """Return the entries of the ``backend_servers`` document."""
        engines = [
            _make_server_entry(endpoint, "engine", ["shares"])
            for endpoint in self.engines
        ]
        operations = ["payout-post", "balance-lookup"]
        services = [
            _make_server_entry(endpoint, "service", operations)
            for endpoint in self.services
        ]
        return engines + services

    async def _start_all(self) -> None:
        await self._start_module("standins.platform", self.platform)
        for endpoint in self.engines:
            await self._start_module("standins.engine", endpoint)
        for endpoint in self.services:
            await self._start_module("standins.service", endpoint)
        await self._wait_until_listening()
        await self.publish("hosts", hosts=self.hosts)
        await self.publish(
            "backend_servers", backend_servers=self.list_backend_servers()
        )
        await self.publish("configuration", **CONFIGURATION)
        for host in self.hosts:
            await self.start_host(host["name"])
        await self.wait_until_ready([host["name"] for host in self.hosts])

    async def _start_module(self, module: str, endpoint: Endpoint) -> None:
        arguments = ["-m", module, "--port", str(endpoint.port)]
        if endpoint is not self.platform:
            arguments += ["--name", endpoint.name]
        await self._start_process(endpoint.name, sys.executable, *arguments)

    async def _start_process(self, name: str, *arguments: str) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *arguments, stdin=DEVNULL, stdout=log, stderr=log, env=dict(os.environ)
            )

    async def _wait_until_listening(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            for endpoint in (self.platform, *self.engines, *self.services):
                while not await _is_listening(endpoint.port):
                    await asyncio.sleep(POLL_INTERVAL_S)


CONFIGURATION = {
    "classes": [
        {
            "name": "trip-summary",
            "kind": "engine",
            "needs": "shares",
            "repeatable": True,
            "first_token_s": 1.6,
            "between_tokens_s": 0.049,
            "whole_s": 60.0,
        },
        {
            "name": "payout-post",
            "kind": "service",
            "needs": "payout-post",
            "repeatable": False,
            "first_token_s": 2.0,
            "between_tokens_s": 1.0,
            "whole_s": 10.0,
        },
        {
            "name": "balance-lookup",
            "kind": "service",
            "needs": "balance-lookup",
            "repeatable": True,
            "first_token_s": 1.0,
            "between_tokens_s": 1.0,
            "whole_s": 5.0,
        },
    ],
    "workspaces": [{"name": "duluth-boats"}, {"name": "co-op"}, {"name": "auditors"}],
    "load_multiple": 1.25,
}


async def _is_listening(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection(LOOPBACK_ADDRESS, port)
    except OSError:
        return False
    writer.close()
    return True


def _make_endpoints(prefix: str, count: int) -> list[Endpoint]:
    return [
        Endpoint(f"{prefix}-{index}", _choose_failure_domain(index), find_free_port())
        for index in range(count)
    ]


def _make_hosts(count: int) -> list[dict[str, Any]]:
    return [
        {
            "name": f"host-{index}",
            "failure_domain": _choose_failure_domain(index),
            "address": LOOPBACK_ADDRESS,
            "caller_port": find_free_port(),
            "peer_port": find_free_port(),
            "operator_port": find_free_port(),
            "state": "live",
        }
        for index in range(count)
    ]


def _choose_failure_domain(index: int) -> str:
    return FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]


def _make_server_entry(
    endpoint: Endpoint, kind: str, provides: list[str]
) -> dict[str, Any]:
    return {
        "name": endpoint.name,
        "failure_domain": endpoint.failure_domain,
        "kind": kind,
        "address": LOOPBACK_ADDRESS,
        "port": endpoint.port,
        "provides": provides,
        "slots": 16,
        "state": "live",
        "checks_fencing": True,
    }

"""A small deployment of the users' platform on loopback addresses, for the cases 6 on.

Entry hosts are started with the command of ``deploy/system.toml``. The store is that of
``standins.store``, in this process; backend servers are processes of ``server_2``.
"""

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import sys
import tempfile
import time
import tomllib
from asyncio.subprocess import DEVNULL, PIPE, Process
from pathlib import Path
from typing import Any, NamedTuple

from aiohttp import web

from standins.store import StandInStore

__all__ = [
    "API_KEY",
    "HOST_NAME",
    "MEMORY_MB",
    "Answer",
    "BackendServer",
    "CallerConnection",
    "Deployment",
    "EntryHost",
    "Record",
    "has_trouble",
    "make_head",
    "make_route",
    "run_case",
]

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "office.example"
API_KEY = "key-1"
# The figures of the small site that the claims name.
MEMORY_MB = 300
MAX_FDS = 4100
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5000,
    "StrictRevoke": False,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetrySlack": 54,
    "RecoveryS": 12,
    "PassMs": 120,
    "ReuseWindowS": 10,
    "CapX": 2,
    "ttl_max_s": 5,
}
READY_TIMEOUT_S = 20.0
MEMORY_INTERVAL_S = 0.05
RESTART_DELAY_S = 0.5
RESULT_HELD, RESULT_BROKEN, RESULT_NOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    """Return whether the script is to bring about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes ``record.txt`` in the folder of a case.

    Args:
        folder: The folder.
    """

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Write a line, and print it as well."""
        self.write(text)
        print(text, flush=True)


class Answer(NamedTuple):
    """What a caller got.

    Attributes:
        status: The status; 0 if the connection ended before a whole answer.
        body: The body as far as it came.
        took_s: The seconds from the first byte of the request to the end.
    """

    status: int
    body: bytes
    took_s: float


def make_head(
    method: str, path: str, request_id: str, timeout_ms: int, **headers: str
) -> bytes:
    """Return the head of a request of a caller with the key of the only tenant."""
    fields = {
        "Host": HOST_NAME,
        "Request-Id": request_id,
        "Request-Deadline-Ms": str(timeout_ms),
        "Credential": API_KEY,
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    if method == "POST":
        fields.setdefault("Content-Length", "0")
    lines = [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([f"{method} {path} HTTP/1.1", *lines, "\r\n"]).encode()


class CallerConnection:
    """A connection of a caller, which is kept for several requests.

    Args:
        reader: Reads from it.
        writer: Writes to it.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> "CallerConnection":
        """Connect to ``IP:PORT`` within a second, as the users' clients do."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
        return cls(reader, writer)

    async def exchange(self, request: bytes) -> Answer:
        """Send a request and read its answer."""
        began_s = time.monotonic()
        status, body = 0, bytearray()
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            self._writer.write(request)
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status_line, *lines = head.split("\r\n")
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines)
            }
            await self._read_body(headers, body)
            status = int(status_line.split()[1])
        return Answer(status, bytes(body), time.monotonic() - began_s)

    async def _read_body(self, headers: dict[str, str], body: bytearray) -> None:
        if "chunked" not in headers.get("transfer-encoding", ""):
            body += await self._reader.readexactly(int(headers["content-length"]))
            return
        length = 1
        while length:
            length = int(await self._reader.readuntil(b"\r\n"), 16)
            data = await self._reader.readexactly(length + 2)
            body += data[:length]

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class EntryHost:
    """An entry host, as a process.

    Args:
        name: Its name.
        address: Its IP address.
        zone: Its zone.
    """

    def __init__(self, name: str, address: str, zone: str) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.listen = {
            part: f"{address}:{_find_free_port(address)}"
            for part in ("Front", "Ready", "Control", "Directory")
        }
        self.metrics = f"{address}:{_find_free_port(address)}"
        self.process: Process | None = None
        self.starts = 0

    @property
    def front(self) -> str:
        """Where callers connect."""
        return self.listen["Front"]

    def is_running(self) -> bool:
        """Return whether its process runs."""
        return self.process is not None and self.process.returncode is None


class BackendServer:
    """A backend server, as a process of ``server_2``.

    Args:
        identity: Its id.
        service: Its service.
        zone: Its zone.
        options: Options of ``server_2``.
    """

    def __init__(
        self, identity: str, service: str, zone: str, options: tuple[str, ...]
    ) -> None:
        self.identity = identity
        self.service = service
        self.zone = zone
        self.options = options
        self.address = f"127.0.0.1:{_find_free_port('127.0.0.1')}"
        self.process: Process | None = None
        # The ids of the requests that it began to work on, and when.
        self.runs: list[tuple[str, float]] = []


class Deployment:
    """The store, backend servers and entry hosts of a case.

    Args:
        record: The record of the case.
        hosts: The number of entry hosts.
    """

    def __init__(self, record: Record, hosts: int) -> None:
        self.record = record
        self.store = StandInStore()
        self.servers: list[BackendServer] = []
        self._tasks: set[asyncio.Task] = set()
        zones = ("duluth", "alpena", "erie-port")
        self.hosts = [
            EntryHost(f"edge-{n}", f"127.0.0.{11 + n}", zones[n % 3])
            for n in range(hosts)
        ]

    async def __aenter__(self) -> "Deployment":
        """Start the store."""
        _raise_descriptor_limit()
        self._folder = tempfile.TemporaryDirectory()
        self._runner = web.AppRunner(self.store.make_app(), shutdown_timeout=0.1)
        await self._runner.setup()
        port = _find_free_port("127.0.0.1")
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self._store_address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *error: Any) -> None:
        """End every process that was started."""
        for owner in (*self.hosts, *self.servers):
            process = owner.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._runner.cleanup()
        self._folder.cleanup()

    def publish(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Publish a configuration with one tenant."""
        services = sorted({route["Service"] for route in routes})
        self.store.put(
            "op/config",
            {
                "Version": version,
                "Routes": routes,
                "Services": [{"Name": name} for name in services],
                "Limits": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": 4194304,
                    "HeaderTimeoutMs": 3000,
                    "IdleTimeoutMs": 15000,
                },
                "Tenants": [{"Name": "t1", "ApiKeys": [API_KEY]}],
            },
        )

    async def start_server(
        self, identity: str, service: str, zone: str, *options: str
    ) -> BackendServer:
        """Start a backend server and register it."""
        server = BackendServer(identity, service, zone, options)
        self.servers.append(server)
        await self.restart_server(server)
        return server

    async def restart_server(self, server: BackendServer) -> None:
        """Start the process of a server, and register it under its id."""
        command = [sys.executable, "-m", "review.server_2", server.identity]
        server.process = await asyncio.create_subprocess_exec(
            *command, server.address, *server.options, cwd=ROOT, stdout=PIPE
        )
        self._start_task(self._read_runs(server, server.process))
        await _wait_for_listener(server.address)
        entry = {
            "Service": server.service,
            "Address": server.address,
            "Zone": server.zone,
            "Version": "v1",
            "Slots": 64,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": int(time.time() * 1000),
        }
        self.store.put(f"servers/{server.identity}", entry)

    async def start_hosts(self) -> None:
        """Start all entry hosts and wait until they are ready."""
        for host in self.hosts:
            await self.start_host(host)
        for host in self.hosts:
            await _wait_until_ready(host)

    async def start_host(self, host: EntryHost) -> None:
        """Start the process of an entry host with the command of the deploy file."""
        file = {
            "metrics_address": host.metrics,
            "platform_fields": self._make_settings(host),
        }
        path = Path(self._folder.name) / host.name
        path.write_text(json.dumps(file))
        system = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = system["roles"].values()
        kept = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        host.process = await asyncio.create_subprocess_exec(
            *role["run"].split(),
            cwd=ROOT,
            env={
                **kept,
                "PYTHONPATH": str(ROOT / "target/deps"),
                "OLEANDERPIER_BOOT": str(path),
            },
            stdout=DEVNULL,
            stderr=DEVNULL,
        )
        host.starts += 1
        self.record.write(f"{host.name} started, process {host.process.pid}")

    async def watch_memory(self, host: EntryHost, excesses: list[str]) -> None:
        """Kill a host's process if it exceeds ``MemoryMb``, as the platform does.

        Runs until it is cancelled.

        Args:
            host: The host. Its process is started again after a short delay.
            excesses: Gets a text for each time.
        """
        written_s = 0.0
        while True:
            await asyncio.sleep(MEMORY_INTERVAL_S)
            memory_mb = _read_memory_mb(host.process.pid)
            if self.record.now() >= written_s + 2.0:
                written_s = self.record.now()
                self.record.write(f"{host.name}: {memory_mb:.0f} MiB")
            if memory_mb <= MEMORY_MB:
                continue
            at_s = self.record.now()
            excesses.append(f"{host.name} {memory_mb:.0f} MiB at {at_s:.1f} s")
            self.record.write(f"{host.name} is killed: {memory_mb:.0f} MiB")
            host.process.kill()
            await host.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start_host(host)

    def _make_settings(self, host: EntryHost) -> dict[str, Any]:
        return {
            "NodeName": host.name,
            "Role": "entry",
            "MachineClass": "edge",
            "Serves": ["edge", "control", "directory"],
            "Ip": host.address,
            "Zone": host.zone,
            "Region": "great-lakes",
            "Zones": dict.fromkeys(("duluth", "alpena", "erie-port"), "great-lakes"),
            "Listen": host.listen,
            "Seeds": [each.listen["Control"] for each in self.hosts[:3]],
            "Limits": {"MemoryMb": MEMORY_MB, "MaxFds": MAX_FDS, "LinkMbps": 1000.0},
            "HeartbeatMs": 1200,
            "Bounds": BOUNDS,
            "Platform": {"Address": self._store_address, "form": "read"},
        }

    async def _read_runs(self, server: BackendServer, process: Process) -> None:
        """Record the requests that a server begins to work on."""
        while line := await process.stdout.readline():
            request_id = line.decode().strip()
            server.runs.append((request_id, self.record.now()))
            if not request_id.startswith("quiet-"):
                self.record.write(f"{server.identity} runs {request_id}")

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def make_route(
    name: str, kind: str, service: str, timeout_ms: int, **fields: Any
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "Name": name,
        "Host": HOST_NAME,
        "Prefix": f"/{name}/",
        "RouteKind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 1000,
        "TargetGapMs": 400,
        "Service": service,
        "MaxAttempts": 1,
        "Priority": 1,
        **fields,
    }


def _read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB, 0 if it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def run_case(main: Any, folder: Path) -> None:
    """Run the main coroutine of a case, and end this process with its result."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(RESULT_NOT_RUN))
    try:
        is_broken = asyncio.run(main(record))
    except Exception as error:
        record.conclude(f"the case could not run: {error!r}")
        sys.exit(RESULT_NOT_RUN)
    record.conclude("the rule was broken" if is_broken else "the rule held")
    sys.exit(RESULT_BROKEN if is_broken else RESULT_HELD)


def _raise_descriptor_limit() -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def _find_free_port(address: str) -> int:
    with socket.socket() as opened:
        opened.bind((address, 0))
        return opened.getsockname()[1]


async def _wait_for_listener(address: str) -> None:
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                return
            await asyncio.sleep(0.02)


async def _wait_until_ready(host: EntryHost) -> None:
    """Wait until the readiness check of a host answers 200."""
    request = b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n"
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                caller = await CallerConnection.open(host.listen["Ready"])
                answer = await caller.exchange(request)
                caller.close()
                if answer.status == 200:
                    return
            await asyncio.sleep(0.05)

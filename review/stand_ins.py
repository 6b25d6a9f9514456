"""Stand-ins that the cases share: a store, entry hosts as processes, and clients.

Everything listens on loopback addresses and uses the standard library only.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "office.example"
API_KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ZONES = ("duluth", "alpena", "erie-port")
WATCH_STEP_S = 0.01
READY_TIMEOUT_S = 20.0
PORTS = (12000, 30000)
PROGRAM = ("python3", "-m", "oleanderpier.platform")

_found_ports: set[int] = set()


def find_port() -> int:
    """Return a free port of the loopback address, outside the ephemeral range.

    A port of that range may become that of an outgoing connection before it is used.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as opened, contextlib.suppress(OSError):
            opened.bind(("127.0.0.1", port))
            if port not in _found_ports:
                _found_ports.add(port)
                return port


class Record:
    """The lines of ``record.txt``: what was sent, answered and run.

    Args:
        path: The file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message, and its headers by lower-case name."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


class Store:
    """The platform's store, with one listener for each entry host.

    All calls are answered at once; a watch is held until there are events.

    Attributes:
        calls: The number of calls by host.
    """

    def __init__(self) -> None:
        self.calls: dict[int, int] = {}
        self._revision = 0
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._servers: list[asyncio.Server] = []

    def put(self, key: str, document: Any) -> None:
        """Write a document; None deletes the key."""
        self._revision += 1
        event: dict[str, Any] = {"Key": key, "Revision": self._revision}
        if document is None:
            self._items.pop(key, None)
            event["Deleted"] = True
        else:
            value = base64.b64encode(json.dumps(document).encode()).decode()
            event |= {"Value": value, "CreatedRev": self._revision, "Lease": 0}
            self._items[key] = event
        self._history.append(event)

    async def listen(self, host: int) -> str:
        """Listen for an entry host; return the address."""
        port = find_port()

        async def handle(reader, writer) -> None:
            try:
                while await self._answer(host, reader, writer):
                    pass
            except (OSError, asyncio.IncompleteReadError):
                # The host has left.
                pass
            finally:
                writer.close()

        self._servers.append(await asyncio.start_server(handle, "127.0.0.1", port))
        return f"127.0.0.1:{port}"

    async def _answer(self, host: int, reader, writer) -> bool:
        """Answer one call; return whether the connection may be used again."""
        first, headers = await read_head(reader)
        url = urlsplit(first.split()[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.calls[host] = self.calls.get(host, 0) + 1
        prefix = query.get("Prefix", "")
        if url.path == "/kv-watch":
            body = await self._watch(
                prefix, int(query["After"]), int(query["WaitMs"]) / 1000
            )
        else:
            items = [
                item for key, item in self._items.items() if key.startswith(prefix)
            ]
            body = {"Items": items, "HasMore": False, "AsOf": self._revision}
        data = json.dumps(body).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
            b"Content-Length: %d\r\n\r\n" % len(data) + data
        )
        await writer.drain()
        return headers.get("connection", "").lower() != "close"

    async def _watch(self, prefix: str, after: int, wait_s: float) -> dict[str, Any]:
        end_s = time.monotonic() + wait_s
        while True:
            events = [
                event
                for event in self._history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            if events or time.monotonic() >= end_s:
                return {"events": events, "AsOf": self._revision}
            await asyncio.sleep(WATCH_STEP_S)


def make_route(name: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "Name": name,
        "Host": HOST_NAME,
        "Prefix": f"/{name}/",
        "RouteKind": kind,
        "TimeoutMs": 15000,
        "TargetLatencyMs": 1000,
        "TargetGapMs": 400,
        "Service": "office",
        "MaxAttempts": 1,
        "Priority": 1,
        **changes,
    }


def make_configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": "office", "HealthPath": "/health"}],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [API_KEY]}],
    }


def make_entry(address: str, born: int, **changes: Any) -> dict[str, Any]:
    """Return the entry that a server writes to the store."""
    return {
        "Service": "office",
        "Address": address,
        "Zone": "duluth",
        "Version": 1,
        "Slots": 64,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Sequence": 1,
        "born": born,
        **changes,
    }


class Hosts:
    """Entry hosts as processes, with settings like those of a small deployment.

    Args:
        store: The store.
        zones: The zone of each host.
        record: Where starts and signals are written.
    """

    def __init__(self, store: Store, zones: tuple[str, ...], record: Record) -> None:
        self._store = store
        self._zones = zones
        self._record = record
        self._folder = tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.settings: list[dict[str, Any]] = []

    async def start_all(self) -> None:
        """Start all hosts, and wait until they are ready."""
        ports = [[find_port() for _ in range(5)] for _ in self._zones]
        seeds = [f"127.0.0.1:{group[2]}" for group in ports[:3]]
        for number, zone in enumerate(self._zones):
            self.settings.append(
                await self._make_settings(number, zone, ports[number], seeds)
            )
        for number in range(len(self._zones)):
            await self.start(number)
        for number in range(len(self._zones)):
            await self.wait_until_ready(number)

    async def start(self, number: int) -> None:
        """Start the process of a host."""
        path = Path(self._folder.name) / f"host-{number}.json"
        path.write_text(json.dumps(self.settings[number]))
        log = (Path(self._folder.name) / f"host-{number}.log").open("ab")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        self.processes[number] = await asyncio.create_subprocess_exec(
            *PROGRAM,
            cwd=ROOT,
            env={
                **environment,
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "OLEANDERPIER_BOOT": str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self._record.write(f"host {number} ({self._zones[number]}) starts")

    def signal(self, number: int, signal_number: int) -> None:
        """Send a signal to the process of a host."""
        name = signal.Signals(signal_number).name
        self._record.write(f"host {number} gets {name}")
        self.processes[number].send_signal(signal_number)

    async def wait_until_ready(self, number: int) -> None:
        """Wait until a host says that it is ready.

        Raises:
            TimeoutError: It does not in time.
        """
        address = self._get_fields(number)["Listen"]["Ready"]
        async with asyncio.timeout(READY_TIMEOUT_S):
            while (await fetch(address, "/ready")) != 200:
                await asyncio.sleep(0.05)

    def get_front(self, number: int) -> str:
        """Return the address for clients of a host."""
        return self._get_fields(number)["Listen"]["Front"]

    def list_log(self, number: int, event: str) -> list[dict[str, Any]]:
        """Return the lines of a host's log with an event."""
        text = (Path(self._folder.name) / f"host-{number}.log").read_text()
        lines = [line for line in text.splitlines() if f'"{event}"' in line]
        return [json.loads(line) for line in lines]

    async def end_all(self) -> None:
        """End all processes that were started."""
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        self._folder.cleanup()

    def _get_fields(self, number: int) -> dict[str, Any]:
        return self.settings[number]["platform_fields"]

    async def _make_settings(
        self, number: int, zone: str, ports: list[int], seeds: list[str]
    ) -> dict[str, Any]:
        names = ("Front", "Ready", "Control", "Directory")
        listen = {
            name: f"127.0.0.1:{port}"
            for name, port in zip(names, ports[:4], strict=True)
        }
        fields = {
            "NodeName": f"edge-{zone}-{number}",
            "Role": "entry",
            "MachineClass": "edge",
            "Serves": ["edge", "control", "directory"],
            "Ip": "127.0.0.1",
            "Zone": zone,
            "Region": "great-lakes",
            "Zones": dict.fromkeys(ZONES, "great-lakes"),
            "Listen": listen,
            "Seeds": seeds,
            "Bootstrap": True,
            "HeartbeatMs": 1200,
            "DataDir": None,
            "Bounds": {
                "ContactMs": 3000,
                "DrainMs": 2000,
                "GraceS": 8,
                "ConfigApplyMs": 2000,
                "RetryBudgetRatio": 0.2,
                "BudgetWindowS": 10,
                "RetrySlack": 54,
                "CapX": 2,
                "ttl_max_s": 5,
            },
            "Platform": {
                "Address": await self._store.listen(number),
                "form": "read",
                "HistoryS": 20,
            },
        }
        return {
            "metrics_address": f"127.0.0.1:{ports[4]}",
            "platform_fields": fields,
        }


class ServerProcess:
    """A server as a process of its own; see ``server.py``.

    Args:
        identity: Its id.
        port: Its port.
        record: Where its starts, ends and runs are written.
        options: Options of ``server.py``.
    """

    def __init__(self, identity: str, port: int, record: Record, *options: str) -> None:
        self.identity = identity
        self.address = f"127.0.0.1:{port}"
        self.born = 0
        # Each event: its time, its kind, and the id of the request.
        self.events: list[tuple[float, str, str]] = []
        self._port = port
        self._record = record
        self._options = options
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the process, and wait until it listens."""
        self.born = int(time.time() * 1000)
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "review" / "server.py"),
            self.identity,
            str(self._port),
            *self._options,
            stdout=asyncio.subprocess.PIPE,
        )
        await self._process.stdout.readline()
        self._record.write(f"server {self.identity} listens")
        self._reading = asyncio.create_task(self._read_events(self._process.stdout))

    async def _read_events(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            kind, request = line.decode().split()
            self.events.append((self._record.now(), kind, request))
            self._record.write(f"server {self.identity} {kind} {request}")

    async def keep_running(self, down_s: float, store: Store) -> None:
        """Start the process again after each crash, and register it; until cancelled.

        Args:
            down_s: The time from a crash until it listens again.
            store: The store.
        """
        while True:
            await self._process.wait()
            await self._reading
            self._record.write(f"server {self.identity} has ended")
            await asyncio.sleep(down_s)
            await self.start()
            entry = make_entry(self.address, self.born)
            store.put(f"servers/{self.identity}", entry)

    async def kill(self) -> None:
        """Kill the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            self._record.write(f"server {self.identity} is killed")
            await self._process.wait()
            await self._reading


class Link:
    """The link between the hosts and a server, which can be cut.

    While it is cut, nothing passes in either direction, not even the end of a
    connection. All of it arrives when the cut has healed.

    Args:
        target_port: The port of the server.
        record: Where cuts are written.
    """

    def __init__(self, target_port: int, record: Record) -> None:
        self.port = find_port()
        self.address = f"127.0.0.1:{self.port}"
        self._target_port = target_port
        self._record = record
        self._healed = asyncio.Event()
        self._healed.set()

    async def open(self) -> None:
        """Accept connections, and pass them on."""
        self._server = await asyncio.start_server(self._join, "127.0.0.1", self.port)

    def cut(self) -> None:
        """Cut the link."""
        self._record.write("the link to the server is cut")
        self._healed.clear()

    def heal(self) -> None:
        """End the cut."""
        self._record.write("the link to the server has healed")
        self._healed.set()

    async def _join(self, reader, writer) -> None:
        await self._healed.wait()
        try:
            target = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pass_on(reader, target[1]), self._pass_on(target[0], writer)
        )

    async def _pass_on(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._healed.wait()
                writer.write(data)
        await self._healed.wait()
        writer.close()


class Answer(NamedTuple):
    """What a client got.

    Attributes:
        status: The status; 0 if the connection ended before a head.
        headers: The headers, by lower-case name.
        body: The body, as far as it came.
        complete: Whether it looks complete: its length or its last chunk has come.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def send(
    address: str,
    method: str,
    path: str,
    request_id: str,
    body: bytes = b"",
    deadline_ms: int = 15000,
    headers: dict[str, str] | None = None,
    on_data: Callable[[bytes], None] = lambda data: None,
) -> Answer:
    """Send a request on a new connection and return what comes back.

    Args:
        address: The address of a host.
        method: The HTTP method.
        path: The path.
        request_id: The id of the request.
        body: The body.
        deadline_ms: How long the client waits.
        headers: Further headers.
        on_data: Called with each part of the body.
    """
    host, _, port = address.rpartition(":")
    fields = {
        "Host": HOST_NAME,
        "Request-Id": request_id,
        "Request-Deadline-Ms": str(deadline_ms),
        "Credential": API_KEY,
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    answer = Answer(0, {}, b"", False)
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            first, got = await read_head(reader)
            answer = answer._replace(status=int(first.split()[1]), headers=got)
            async for data in _read_body(reader, got):
                answer = answer._replace(body=answer.body + data)
                on_data(data)
            answer = answer._replace(complete=True)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]):
    """Yield the parts of a body.

    Raises:
        asyncio.IncompleteReadError: The connection ended before the end of the body.
    """
    if "chunked" not in headers.get("transfer-encoding", ""):
        yield await reader.readexactly(int(headers["content-length"]))
        return
    while length := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        yield (await reader.readexactly(length + 2))[:-2]
    await reader.readexactly(2)


async def fetch(address: str, path: str) -> int:
    """Return the status of a GET, 0 without an answer."""
    return (await send(address, "GET", path, "", deadline_ms=1000)).status

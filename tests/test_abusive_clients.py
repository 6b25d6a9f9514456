"""Tests that slow and abusive clients neither end a host nor use up its machine.

Each test is one attack at one listener. It checks that the process is alive, that its
memory and open descriptors stay under a bound, and that an ordinary request is answered
while the clients of the attack are still connected.
"""

import asyncio
import contextlib
import resource
import socket
from collections.abc import Iterator
from pathlib import Path

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.backend_server import PADDING_HEADER
from standins.platform_fleet import API_KEY, HOST_NAME, PlatformFleet

# The smallest host of a deployment.
MEMORY_MB = 152
# Lowered: the smallest host may open 1,535 descriptors, of which 200 are reserved.
MAX_FDS = 600
MAX_OPEN_DESCRIPTORS = 400
BODY_CLIENT_COUNT = 300
UNROUTED_CLIENT_COUNT = 900
HEAD_CLIENT_COUNT = 60
PIPELINING_CLIENT_COUNT = 200
READING_CLIENT_COUNT = 300
IDLE_CLIENT_COUNT = 600
BODY_BYTES = 1 << 20
CHUNK_BYTES = 1 << 10
SMALL_CHUNK_BYTES = 16
# Over ``MaxHeaderBytes`` of the configuration, 16,384, in each of many fields.
LARGE_FIELD = b"a" * 60_000
LARGE_FIELD_COUNT = 100
SHORT_FIELD_COUNT = 3000
PIPELINED_BYTES = 15_000
PIPELINED_COUNT = 200
UNREAD_RESPONSE_BYTES = 2 << 20
# Time for an attack, in which the memory is read.
ATTACK_S = 4.0
SAMPLE_INTERVAL_S = 0.05
SERVER_WORK_S = 8.0
ANSWER_TIMEOUT_S = 20.0
CALLER_PATH = "/payout/1"
UNROUTED_PATH = "/none/1"


class AbusiveClientsTest(TestCase):
    """A host stays within its machine whatever its clients send."""

    def test_bodies_that_stop_short(self):
        """Bodies of 1 MB lack one byte; all of them were buffered, 356 MB."""
        self._check(BODY_CLIENT_COUNT, _make_stopped_body(CALLER_PATH))

    def test_chunked_bodies_that_stop_short(self):
        """The same without a stated length, 393 MB."""
        self._check(
            BODY_CLIENT_COUNT, _make_chunked_body(CALLER_PATH, BODY_BYTES, CHUNK_BYTES)
        )

    def test_bodies_in_small_chunks(self):
        """Each chunk of 16 bytes was an object with its own overhead."""
        self._check(
            BODY_CLIENT_COUNT,
            _make_chunked_body(CALLER_PATH, BODY_BYTES // 4, SMALL_CHUNK_BYTES),
        )

    def test_bodies_to_a_path_without_a_route(self):
        """Unread data of each connection was kept, about 0.35 MB."""
        self._check(UNROUTED_CLIENT_COUNT, _make_stopped_body(UNROUTED_PATH))

    def test_bodies_to_the_readiness_check(self):
        """The readiness check reads no body either."""
        self._check(UNROUTED_CLIENT_COUNT, _make_stopped_body("/ready"), "Ready")

    def test_bodies_to_the_directory(self):
        """The directory reads no body either."""
        self._check(UNROUTED_CLIENT_COUNT, _make_stopped_body("/resolve"), "Directory")

    def test_large_header_sections(self):
        """The fields of a header section were limited one by one, not together."""
        self._check(HEAD_CLIENT_COUNT, _make_large_head(CALLER_PATH))

    def test_large_header_sections_at_the_readiness_check(self):
        """The limits on header sections hold for each listener."""
        self._check(HEAD_CLIENT_COUNT, _make_large_head("/ready"), "Ready")

    def test_many_short_fields(self):
        """Each short field takes far more memory than its bytes."""
        self._check(BODY_CLIENT_COUNT, _make_short_fields(CALLER_PATH))

    def test_pipelined_requests(self):
        """Large heads wait behind a request that is in progress."""
        self._check(
            PIPELINING_CLIENT_COUNT, _make_pipelined(CALLER_PATH), work_s=SERVER_WORK_S
        )

    def test_pipelined_requests_to_a_path_without_a_route(self):
        """Their responses are not read."""
        self._check(PIPELINING_CLIENT_COUNT, _make_pipelined(UNROUTED_PATH))

    def test_responses_that_are_not_read(self):
        """Responses of 2 MB wait for clients that never read."""
        self._check(READING_CLIENT_COUNT, _make_large_request())

    def test_malformed_requests(self):
        """A traceback of each was written to standard error, which may hold it up."""
        self._check(
            UNROUTED_CLIENT_COUNT, b"POST / malformed\r\n\r\n", reads_errors=False
        )

    def test_connections_that_send_no_request(self):
        """Each open connection takes a descriptor."""
        self._check(IDLE_CLIENT_COUNT, b"")

    def test_header_sections_that_stop_short(self):
        """Each connection takes a descriptor and never becomes idle."""
        self._check(IDLE_CLIENT_COUNT, _make_head(CALLER_PATH)[:-4])

    def test_connections_to_the_readiness_check(self):
        """Connections to other listeners take descriptors, too."""
        self._check(IDLE_CLIENT_COUNT, b"", "Ready")

    def _check(
        self,
        count: int,
        data: bytes,
        listener: str = "Front",
        work_s: float = 0.0,
        reads_errors: bool = True,
    ) -> None:
        """Run an attack and check its effect on the host.

        Args:
            count: The number of clients.
            data: What each of them sends.
            listener: The listener that it is sent to.
            work_s: How long a backend server takes for a request of the attack, in
                seconds.
            reads_errors: Whether the host's standard error is read.
        """
        usage = run_coroutine(_attack(count, data, listener, work_s, reads_errors))
        self.assertIsNone(usage["exit_status"])
        self.assertEqual(200, usage["status"])
        self.assertLess(usage["memory_mb"], MEMORY_MB)
        self.assertLess(usage["descriptors"], MAX_OPEN_DESCRIPTORS)


async def _attack(
    count: int, data: bytes, listener: str, work_s: float, reads_errors: bool
) -> dict[str, float | None]:
    """Run an attack; return what the host used, and its answer to a request."""
    _raise_descriptor_limit()
    async with PlatformFleet(1) as fleet:
        fleet.settings[0]["Limits"] = {"MemoryMb": MEMORY_MB, "MaxFds": MAX_FDS}
        server = await fleet.add_server()
        await fleet.start_all()
        # The output is read, as a host must not wait for its pipe.
        process = fleet.processes[0]
        readers = [
            asyncio.create_task(_discard(stream))
            for stream in (process.stdout, process.stderr)[: 1 + reads_errors]
        ]
        server.work_s = work_s
        clients = list(_connect(count, fleet.settings[0]["Listen"][listener]))
        senders = [asyncio.create_task(_send(client, data)) for client in clients]
        descriptors = await _count_descriptors_during(process.pid)
        server.work_s = 0.0
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            status, _ = await fleet.fetch(0, "/lookup/1", "ordinary")
        usage = {
            "exit_status": process.returncode,
            "status": status,
            "memory_mb": _read_peak_memory_mb(process.pid),
            "descriptors": descriptors,
        }
        print(usage)
        for task in (*senders, *readers):
            task.cancel()
        await asyncio.gather(*senders, *readers, return_exceptions=True)
        for client in clients:
            client.close()
        process.kill()
        await process.wait()
        return usage


def _raise_descriptor_limit() -> None:
    """Allow this process as many descriptors as it may have."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def _connect(count: int, address: str) -> Iterator[socket.socket]:
    """Begin to connect clients to an address."""
    host, _, port = address.rpartition(":")
    for _ in range(count):
        client = socket.socket()
        client.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            client.connect((host, int(port)))
        yield client


async def _send(client: socket.socket, data: bytes) -> None:
    """Send data as far as the host takes it; read nothing."""
    with contextlib.suppress(OSError):
        await asyncio.get_running_loop().sock_sendall(client, data)


async def _discard(stream: asyncio.StreamReader) -> None:
    while await stream.read(1 << 16):
        pass


async def _count_descriptors_during(pid: int) -> int:
    """Return the most descriptors of a process during an attack."""
    most = 0
    for _ in range(int(ATTACK_S / SAMPLE_INTERVAL_S)):
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        with contextlib.suppress(FileNotFoundError):
            most = max(most, sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir()))
    return most


def _read_peak_memory_mb(pid: int) -> float:
    """Return the most memory that a process had, in MB; 0 if it has ended."""
    with contextlib.suppress(FileNotFoundError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0.0


def _make_head(path: str, *fields: bytes) -> bytes:
    """Return the head of a request that an ordinary caller might send."""
    lines = (
        f"POST {path} HTTP/1.1".encode(),
        f"Host: {HOST_NAME}".encode(),
        f"Credential: {API_KEY}".encode(),
        b"Request-Id: abusive",
        *fields,
        b"\r\n",
    )
    return b"\r\n".join(lines)


def _make_stopped_body(path: str) -> bytes:
    """Return a request without the last byte of its body."""
    length = f"Content-Length: {BODY_BYTES}".encode()
    return _make_head(path, length) + bytes(BODY_BYTES - 1)


def _make_chunked_body(path: str, size: int, chunk_size: int) -> bytes:
    """Return a request without the last chunk of its body."""
    chunk = f"{chunk_size:x}\r\n".encode() + bytes(chunk_size) + b"\r\n"
    head = _make_head(path, b"Transfer-Encoding: chunked")
    return head + chunk * (size // chunk_size - 1)


def _make_large_head(path: str) -> bytes:
    """Return a large header section without its end."""
    fields = [b"f%d: %b" % (n, LARGE_FIELD) for n in range(LARGE_FIELD_COUNT)]
    return _make_head(path, *fields)[:-4]


def _make_short_fields(path: str) -> bytes:
    """Return a header section of legal size with very many fields, without its end."""
    fields = [b"a:b"] * SHORT_FIELD_COUNT
    return _make_head(path, *fields)[:-4]


def _make_large_request() -> bytes:
    """Return a request whose response is large."""
    padding = f"{PADDING_HEADER}: {UNREAD_RESPONSE_BYTES}".encode()
    return _make_head(CALLER_PATH, padding, b"Content-Length: 0")


def _make_pipelined(path: str) -> bytes:
    """Return many requests with large heads, to be sent at once."""
    field = b"padding: " + b"a" * PIPELINED_BYTES
    return _make_head(path, field, b"Content-Length: 0") * PIPELINED_COUNT

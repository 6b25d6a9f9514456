"""Tests of reading callers' bodies, over real connections."""

import asyncio
from types import SimpleNamespace

from aiohttp import web
from testtools import TestCase

from oleanderpier.connections import BodyRoom
from oleanderpier.platform import bodies
from oleanderpier.platform.bodies import BodyReader
from oleanderpier.results import Code, Failure
from oleanderpier.utils import EndableLimits, ManualTimers, run_coroutine

ROOM_BYTES = 1 << 20
MAX_BODY_BYTES = 800_000


class FixedRandom:
    """Takes the middle of each range."""

    def uniform(self, low: float, high: float) -> float:
        """Return the middle."""
        return (low + high) / 2


class Host:
    """A host that reads bodies.

    Attributes:
        results: What was read for each path: the length, or the failure.
        node: What the reader uses of a node.
    """

    def __init__(self) -> None:
        self.results: dict[str, int | Failure] = {}
        limits = SimpleNamespace(max_body_bytes=MAX_BODY_BYTES)
        self.node = SimpleNamespace(
            body_room=BodyRoom(ROOM_BYTES),
            timers=ManualTimers(),
            route_index=SimpleNamespace(table=SimpleNamespace(limits=limits)),
            forwarder=SimpleNamespace(limits=EndableLimits(), rng=FixedRandom()),
        )

    async def handle(self, request) -> web.Response:
        """Read a body; keep its room, as a request in progress does."""
        reader = BodyReader(self.node, request)
        body = await reader.read()
        self.results[request.path] = body if isinstance(body, Failure) else len(body)
        return web.Response()


def send(steps: list[tuple[str, bytes, float]]) -> tuple[dict, int]:
    """Send requests to a host; return what it read, and the room that is taken.

    Args:
        steps: The path of each request, its bytes behind the first line, and the time
            by which the host's clock advances afterwards, in seconds.
    """

    async def run() -> tuple[dict, int]:
        host = Host()
        runner = web.ServerRunner(web.Server(host.handle), shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        writers = []
        for path, data, advance_s in steps:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writers.append(writer)
            writer.write(f"POST {path} HTTP/1.1\r\nHost: a\r\n".encode() + data)
            await asyncio.sleep(0.1)
            host.node.timers.advance(advance_s)
        await asyncio.sleep(0.2)
        taken = host.node.body_room.total_bytes
        for writer in writers:
            writer.close()
        await runner.cleanup()
        return host.results, taken

    return run_coroutine(run())


def make_body(size: int, missing: int = 0) -> bytes:
    """Return the rest of a request, without the last bytes of its body."""
    return f"Content-Length: {size}\r\n\r\n".encode() + bytes(size - missing)


def make_chunks(size: int, end: bytes = b"0\r\n\r\n") -> bytes:
    """Return the rest of a request whose body has no stated length."""
    chunk = b"3e8\r\n" + bytes(1000) + b"\r\n"
    return b"Transfer-Encoding: chunked\r\n\r\n" + chunk * (size // 1000) + end


class BodyReaderTest(TestCase):
    """Bodies are read as far as there is room, and refused otherwise."""

    def test_whole_bodies_are_read(self):
        """With and without a stated length; the room is taken by the request."""
        results, taken = send([("/a", make_body(5), 0), ("/b", make_chunks(90_000), 0)])
        self.assertEqual({"/a": 5, "/b": 90_000}, results)
        self.assertGreaterEqual(taken, 90_005)

    def test_body_without_room_is_refused(self):
        """Others, that are whole, have the room; the refusal has a time to return."""
        for make in (make_body, make_chunks):
            results, _ = send([("/a", make(600_000), 2), ("/b", make(600_000), 0)])
            self.assertEqual(600_000, results["/a"])
            self.assertEqual(Code.HOST_FULL, results["/b"].code)
            self.assertEqual(1.0, results["/b"].retry_after_s)

    def test_stalled_body_is_given_up_for_another(self):
        """It lacks its last byte, or its last chunk."""
        for first in (make_body(600_000, missing=1), make_chunks(600_000, end=b"")):
            results, taken = send([("/a", first, 2), ("/b", make_body(600_000), 0)])
            self.assertEqual(Code.HOST_FULL, results["/a"].code)
            self.assertEqual(600_000, results["/b"])
            self.assertEqual(600_000, taken)

    def test_body_over_the_limit_is_refused(self):
        """Of one that states its length nothing is read."""
        results, taken = send(
            [
                ("/a", make_body(MAX_BODY_BYTES + 1, missing=MAX_BODY_BYTES), 0),
                ("/b", make_chunks(MAX_BODY_BYTES + 1000), 0),
            ]
        )
        codes = [result.code for result in results.values()]
        self.assertEqual([Code.BODY_TOO_LARGE] * 2, codes)
        self.assertEqual(0, taken)

    def test_body_without_progress_is_refused(self):
        """The time limit is shortened here."""
        before = bodies.STALL_TIMEOUT_S
        self.addCleanup(setattr, bodies, "STALL_TIMEOUT_S", before)
        bodies.STALL_TIMEOUT_S = 0.05
        results, taken = send([("/a", make_body(600, missing=1), 0)])
        self.assertEqual(Code.REQUEST_INCOMPLETE, results["/a"].code)
        self.assertEqual(0, taken)

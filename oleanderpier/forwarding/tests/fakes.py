"""A server that follows a script, a caller that remembers, and a plain dialect."""

import asyncio
import random
import socket
import struct
from collections.abc import Awaitable, Callable

from multidict import CIMultiDict

from oleanderpier.connections import make_session
from oleanderpier.forwarding import (
    Call,
    Forwarder,
    RequestOutcome,
    ResponseHead,
    ServerActivity,
)
from oleanderpier.results import Failure, describe_code
from oleanderpier.routing import (
    BudgetLimits,
    CacheMap,
    Chooser,
    PromptPart,
    RetryBudget,
    Roster,
    Route,
    ServerHealth,
)
from oleanderpier.routing.tests.fakes import make_route, make_server
from oleanderpier.utils import LoopTimers, run_coroutine

__all__ = [
    "MemoryCaller",
    "Rig",
    "answer",
    "cut_stream",
    "drive",
    "hang",
    "make_call",
    "refuse",
    "reset",
    "stream",
]

Behaviour = Callable[["Visit"], Awaitable[None]]
RESET = struct.pack("ii", 1, 0)


class Visit:
    """One request at a scripted server.

    Attributes:
        head: The request's head.
        closed: Set when the connection ends.
    """

    def __init__(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        self.head = head.decode()
        self.writer = writer
        self.closed = asyncio.Event()

    def find(self, name: str) -> str:
        """Return a header, empty if there is none."""
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name:
                return value.strip()
        return ""

    async def send(self, data: bytes) -> None:
        """Send bytes to the host."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """End the connection with a reset."""
        opened = self.writer.get_extra_info("socket")
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.writer.transport.abort()


def answer(status: int = 200, body: bytes = b"done", **options) -> Behaviour:
    """Answer at once.

    Args:
        status: The status.
        body: The body.
        options: ``identity`` in place of the request's, ``signed``, ``size``
            in place of the body's, ``headers`` as lines.
    """

    async def behave(visit: Visit) -> None:
        identity = options.get("identity") or visit.find("id")
        lines = [
            f"HTTP/1.1 {status} X",
            f"Id: {identity}",
            f"Content-Length: {options.get('size', len(body))}",
            *options.get("headers", []),
        ]
        if options.get("signed", True):
            lines.append("Signed: yes")
        await visit.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    return behave


def refuse() -> Behaviour:
    """Say that the request was not run."""
    return answer(503, b"", headers=["Not-Run: 1"])


async def reset(visit: Visit) -> None:
    """Read the request, then reset the connection."""
    visit.reset()


async def hang(visit: Visit) -> None:
    """Read the request and never answer."""
    await visit.closed.wait()


def format_events(first: int, last: int) -> bytes:
    """Return events with the ids from first to last."""
    numbers = range(first, last + 1)
    return b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in numbers)


def stream(last: int, pause_s: float = 0.0) -> Behaviour:
    """Stream events up to an id, from the one after what the caller has."""
    return _stream(last, pause_s, b"", lambda visit: visit.send(b"0\r\n\r\n"))


def cut_stream(last: int, torn: bytes = b"", then: Behaviour | None = None):
    """Stream events up to an id and a piece of the next, then break off."""

    async def end(visit: Visit) -> None:
        if then is not None:
            await then(visit)
        visit.reset()

    return _stream(last, 0.0, torn, end)


def _stream(last: int, pause_s: float, torn: bytes, end) -> Behaviour:
    async def behave(visit: Visit) -> None:
        first = int(visit.find("after") or 0) + 1
        await visit.send(
            f"HTTP/1.1 200 OK\r\nId: {visit.find('id')}\r\nSigned: yes\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(first, last + 1):
            await _send_chunk(visit, format_events(number, number))
            await asyncio.sleep(pause_s)
        if torn:
            await _send_chunk(visit, torn)
        await asyncio.sleep(0.05)
        await end(visit)

    return behave


async def _send_chunk(visit: Visit, data: bytes) -> None:
    await visit.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")


class ScriptedServer:
    """A server whose connections follow a script; the last step repeats.

    Attributes:
        visits: The requests that came.
    """

    def __init__(self, *script: Behaviour) -> None:
        self.visits: list[Visit] = []
        self._script = list(script)
        self._tasks: set[asyncio.Task] = set()

    async def listen(self) -> str:
        """Listen on loopback and return the address."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._listener.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop listening and end every connection."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            visit = Visit(await reader.readuntil(b"\r\n\r\n"), writer)
            self.visits.append(visit)
            step = min(len(self.visits), len(self._script)) - 1
            watch = asyncio.create_task(self._watch(reader, visit))
            try:
                await self._script[step](visit)
            finally:
                watch.cancel()
                await asyncio.gather(watch, return_exceptions=True)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _watch(self, reader, visit: Visit) -> None:
        try:
            while await reader.read(4096):
                pass
        except ConnectionError:
            pass
        visit.closed.set()


class PlainDialect:
    """Headers of the tests' own: ``Id``, ``After``, ``Not-Run``, ``Signed``."""

    def format_request(self, call, server, time_left_s, last_event_id, copy_source):
        """Return the headers for a server."""
        headers = CIMultiDict({"Id": call.identity, "Left": f"{time_left_s:.3f}"})
        if last_event_id is not None:
            headers["After"] = last_event_id
        return headers

    def read_response_head(self, call, status, headers) -> ResponseHead:
        """Return what the head of an answer says."""
        found = {key.decode().lower(): value.decode() for key, value in headers}
        whole = found.get("id") == call.identity and "content-encoding" not in found
        return ResponseHead(
            status, [], "not-run" in found, whole, found.get("signed") == "yes"
        )


class MemoryCaller:
    """Remembers what the caller gets.

    Attributes:
        data: The bytes of the answer.
        status: Its status, 0 before one.
        whole: Whether it ended as a whole one.
        aborted: Whether the connection was broken.
        failure: The refusal, if that is how it ended.
    """

    def __init__(self) -> None:
        self.data = b""
        self.status = 0
        self.whole = False
        self.aborted = False
        self.failure: Failure | None = None

    async def begin_stream(self, head: ResponseHead) -> None:
        """Take the head."""
        self.status = head.status

    async def write(self, data: bytes) -> None:
        """Take a piece."""
        self.data += data

    async def finish_stream(self) -> None:
        """Take the end."""
        self.whole = True

    async def deliver(self, head: ResponseHead, body: bytes) -> None:
        """Take a whole answer."""
        self.status, self.data, self.whole = head.status, body, True

    async def refuse(self, failure: Failure) -> None:
        """Take a refusal."""
        self.failure = failure
        self.status = describe_code(failure.code).http_status

    def abort(self) -> None:
        """Take the break of the connection."""
        self.aborted = True


class Rig:
    """A forwarder before scripted servers.

    Args:
        slack: Repeats that the retry budget allows this host.
        scripts: The steps of each server, in the order of preference.
    """

    def __init__(self, *scripts: list[Behaviour], slack: float = 80.0) -> None:
        self.servers = [ScriptedServer(*script) for script in scripts]
        self.caller = MemoryCaller()
        self._slack = slack

    async def forward(self, route: Route, timeout_s: float) -> RequestOutcome:
        """Forward one request, then close everything."""
        timers = LoopTimers()
        roster, health = Roster(timers), ServerHealth(timers)
        order = {f"s{number}": number for number in range(len(self.servers))}
        for identity, server in zip(order, self.servers, strict=True):
            address = await server.listen()
            roster.update_entry(identity, make_server(identity, address=address))
        budget = RetryBudget(
            BudgetLimits(0.0, self._slack, 10.0), timers, lambda: len(order)
        )
        # Earlier servers look emptier, so that they are tried first.
        chooser = Chooser(
            roster,
            health,
            CacheMap(timers),
            "duluth",
            order.get,
            random.Random(1),
            timers,
        )
        async with make_session() as session:
            forwarder = Forwarder(
                session,
                PlainDialect(),
                chooser,
                health,
                budget,
                ServerActivity(timers),
                timers,
            )
            call = make_call(route, timers.now() + timeout_s)
            try:
                return await forwarder.forward(call, self.caller)
            finally:
                self.in_flight = dict(chooser.in_flight)
                await asyncio.sleep(0.05)
                for server in self.servers:
                    await server.close()

    def count_visits(self) -> list[int]:
        """Return how many requests came to each server."""
        return [len(server.visits) for server in self.servers]


def make_call(route: Route, deadline_s: float) -> Call:
    """Return a request for a route."""
    return Call(
        identity="r-1",
        method="POST",
        path="/chat/x",
        headers=[],
        body=b"hello",
        route=route,
        workspace=None,
        prompt_parts=(PromptPart("p", 10), PromptPart("own", 5)),
        last_event_id=None,
        deadline_s=deadline_s,
    )


def drive(rig: Rig, timeout_s: float = 5.0, **changes) -> RequestOutcome:
    """Forward one request over a rig.

    Args:
        rig: The servers.
        timeout_s: The request's time.
        changes: Fields of its route.
    """
    route = make_route(sticky=False, **changes)
    return run_coroutine(rig.forward(route, timeout_s))

"""Fakes: scripted backend servers and a minimal dialect."""

import asyncio
import random
import socket
import struct
from collections.abc import Awaitable, Callable, Iterable

from oleanderpier.connections import make_session
from oleanderpier.forwarding import (
    Call,
    CrashGuard,
    Forwarder,
    PermitSource,
    RequestKeys,
    RequestOutcome,
    ServerActivity,
    StatementRecorder,
)
from oleanderpier.forwarding.tests.dialect import MinimalDialect
from oleanderpier.forwarding.tests.recording import RecordingCaller
from oleanderpier.routing import (
    BudgetLimits,
    CacheMap,
    Choice,
    Chooser,
    ColdServers,
    CrashCauses,
    Evacuations,
    PromptPart,
    Quarantine,
    RetryBudget,
    Roster,
    Route,
    ServerEntry,
    ServerHealth,
    ServerStatements,
    ServiceEntry,
)
from oleanderpier.routing.tests.fakes import (
    ENGINE,
    FakeRemoteLoads,
    make_route,
    make_server,
)
from oleanderpier.utils import LoopTimers, run_coroutine

__all__ = [
    "USED_UP_S",
    "ForwarderFixture",
    "RecordingCaller",
    "cut_stream",
    "forward_request",
    "make_call",
    "never_respond",
    "reset_connection",
    "respond",
    "respond_not_run",
    "stream_events",
]

USED_UP_S = 1.0
Behaviour = Callable[["ReceivedRequest"], Awaitable[None]]
# SO_LINGER with a timeout of 0 s: closing the socket sends a TCP reset.
ZERO_LINGER = struct.pack("ii", 1, 0)


class ReceivedRequest:
    """One request that a scripted server received.

    Attributes:
        head: The request line and the headers.
        closed: Set when the peer closes the connection.
    """

    def __init__(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        self.head = head.decode()
        self.writer = writer
        self.closed = asyncio.Event()

    def get_header(self, name: str) -> str:
        """Return the value of a header, empty if there is none."""
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name:
                return value.strip()
        return ""

    async def send(self, data: bytes) -> None:
        """Send bytes to the forwarder."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        opened = self.writer.get_extra_info("socket")
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        self.writer.transport.abort()


def respond(status: int = 200, body: bytes = b"done", **options) -> Behaviour:
    """Return a behaviour that sends a complete response.

    Args:
        status: The HTTP status.
        body: The body.
        options: ``identity`` in place of the request's; ``signed``, whether the
            response is signed; ``size``, the content length in place of the body's;
            ``headers``, further header lines; ``delay_s``, the seconds until the
            response, 0 if not given.
    """

    async def behave(request: ReceivedRequest) -> None:
        await asyncio.sleep(options.get("delay_s", 0.0))
        identity = options.get("identity") or request.get_header("id")
        lines = [
            f"HTTP/1.1 {status} X",
            f"Id: {identity}",
            f"Content-Length: {options.get('size', len(body))}",
            *options.get("headers", []),
        ]
        if options.get("signed", True):
            lines.append("Signed: yes")
        await request.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    return behave


def respond_not_run(*headers: str) -> Behaviour:
    """Return a behaviour that responds that the request was not run.

    Args:
        headers: Further header lines.
    """
    return respond(503, b"", headers=["Not-Run: 1", *headers])


async def reset_connection(request: ReceivedRequest) -> None:
    """Read the request, then reset the connection."""
    request.reset()


async def never_respond(request: ReceivedRequest) -> None:
    """Read the request and never respond."""
    await request.closed.wait()


def format_events(first: int, last: int) -> bytes:
    """Return events with the ids from first to last."""
    numbers = range(first, last + 1)
    return b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in numbers)


def stream_events(
    last: int, pause_s: float = 0.0, headers: Iterable[str] = ()
) -> Behaviour:
    """Return a behaviour that streams events up to an id.

    It begins after the last event that the request names.

    Args:
        last: The id of the last event.
        pause_s: Pause after each event, in seconds.
        headers: Further header lines.
    """

    async def end_stream(request: ReceivedRequest) -> None:
        await request.send(b"0\r\n\r\n")

    return _make_stream(last, pause_s, b"", end_stream, headers)


def cut_stream(last: int, partial_event: bytes = b"", then: Behaviour | None = None):
    """Return a behaviour that streams events up to an id, then resets.

    Args:
        last: The id of the last complete event.
        partial_event: Bytes of a further event.
        then: What happens before the reset.
    """

    async def end_stream(request: ReceivedRequest) -> None:
        if then is not None:
            await then(request)
        request.reset()

    return _make_stream(last, 0.0, partial_event, end_stream)


def _make_stream(
    last: int,
    pause_s: float,
    partial_event: bytes,
    end_stream: Behaviour,
    headers: Iterable[str] = (),
) -> Behaviour:
    async def behave(request: ReceivedRequest) -> None:
        first = int(request.get_header("after") or 0) + 1
        await request.send(
            f"HTTP/1.1 200 OK\r\nId: {request.get_header('id')}\r\nSigned: yes\r\n"
            "Transfer-Encoding: chunked\r\n".encode()
            + b"".join(f"{header}\r\n".encode() for header in headers)
            + b"\r\n"
        )
        for number in range(first, last + 1):
            await _send_chunk(request, format_events(number, number))
            await asyncio.sleep(pause_s)
        if partial_event:
            await _send_chunk(request, partial_event)
        await asyncio.sleep(0.05)
        await end_stream(request)

    return behave


def stream_without_length(body: bytes, end: Behaviour) -> Behaviour:
    """Return a behaviour that streams bytes with neither a length nor chunks.

    Args:
        body: The bytes after the head.
        end: How the connection ends.
    """

    async def behave(request: ReceivedRequest) -> None:
        await request.send(
            f"HTTP/1.1 200 OK\r\nId: {request.get_header('id')}\r\nSigned: yes\r\n"
            "Connection: close\r\n\r\n".encode()
            + body
        )
        await end(request)

    return behave


async def close_connection(request: ReceivedRequest) -> None:
    """Close the connection."""
    request.writer.close()


async def _send_chunk(request: ReceivedRequest, data: bytes) -> None:
    await request.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")


class ScriptedServer:
    """A server that handles each request by the next behaviour of a script.

    The last behaviour is used for all further requests.

    Attributes:
        requests: The requests that it received.
    """

    def __init__(self, *script: Behaviour) -> None:
        self.requests: list[ReceivedRequest] = []
        self._script = list(script)
        self._tasks: set[asyncio.Task] = set()

    async def listen(self) -> str:
        """Listen on the loopback interface and return the address."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._listener.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            request = ReceivedRequest(await reader.readuntil(b"\r\n\r\n"), writer)
            self.requests.append(request)
            step = min(len(self.requests), len(self._script)) - 1
            watch = asyncio.create_task(self._watch_for_close(reader, request))
            try:
                await self._script[step](request)
            finally:
                watch.cancel()
                await asyncio.gather(watch, return_exceptions=True)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _watch_for_close(self, reader, request: ReceivedRequest) -> None:
        try:
            while await reader.read(4096):
                pass
        except ConnectionError:
            pass
        request.closed.set()


class ForwarderFixture:
    """A forwarder with scripted servers.

    Args:
        scripts: The behaviours of each server; earlier servers are preferred.
        slack: Retries that the retry budget allows over all hosts.
        used_up: Ids of the servers whose limits are used up, for ``USED_UP_S``.

    Attributes:
        unreachable: The numbers of servers that do not listen.
        held_back: Whether other hosts hold the requests back from the first attempt on.
        differ_in_path: Whether each request has another path.
        differ_in_prompt: Whether each request has another prompt.
        at_once: Whether the requests are forwarded at the same time.
        permits: Where the requests ask for permits, None for no permits.
        forwarder: The forwarder of the requests, once they have begun.
        evacuations: The evacuated failure domains likewise.
        evacuated: Ids of the servers whose failure domain is evacuated from the start.
        evacuated_in_wait: The same, but from when the limit of one is asked for.
        cold: Ids of the servers that are cold.
        moved: The reason and the decision for each request that did not reach one.
        reading: Ids of servers that are reading a long prompt, of an uneven service.
        sent: The choice of the server of each attempt.
    """

    def __init__(
        self,
        *scripts: list[Behaviour],
        slack: float = 80.0,
        used_up: tuple[str, ...] = (),
    ) -> None:
        self.servers = [ScriptedServer(*script) for script in scripts]
        self.caller = RecordingCaller()
        self._slack = slack
        self.unreachable: tuple[int, ...] = ()
        self.held_back = False
        self.differ_in_path = False
        self.differ_in_prompt = False
        self.at_once = False
        self.permits: PermitSource | None = None
        self.forwarder: Forwarder | None = None
        self.evacuations: Evacuations | None = None
        self._used_up = used_up
        self.evacuated: tuple[str, ...] = ()
        self.evacuated_in_wait: tuple[str, ...] = ()
        self.cold: tuple[str, ...] = ()
        self.moved: list[tuple[str, str]] = []
        self.reading: tuple[str, ...] = ()
        self.sent: list[Choice] = []

    async def forward(self, route: Route, timeout_s: float) -> RequestOutcome:
        """Forward one request, then close all servers."""
        (outcome,) = await self.forward_all(route, timeout_s, [self.caller])
        return outcome

    def _record_reading(
        self, statements: ServerStatements, roster: Roster, now_s: float
    ) -> None:
        """Record the servers that are reading a long prompt."""
        statements.loads.allow_permits(not self.reading)
        for identity in self.reading:
            server = roster.get_entry(identity)
            statements.loads.record_speed(server, 1.0, now_s)
            statements.prefills.record(server, 12_000, 2.0, now_s)

    async def forward_all(
        self, route: Route, timeout_s: float, callers: list[RecordingCaller]
    ) -> list[RequestOutcome]:
        """Forward the requests of several callers, then close all servers."""
        timers = LoopTimers()
        roster, health = Roster(timers), ServerHealth(timers)
        order = {f"s{number}": number for number in range(len(self.servers))}
        for identity, server in zip(order, self.servers, strict=True):
            address = await server.listen()
            is_evacuated = identity in self.evacuated + self.evacuated_in_wait
            domain = "alpena" if is_evacuated else "duluth"
            roster.update_entry(
                identity,
                make_server(identity, address=address, failure_domain=domain),
            )
            if order[identity] in self.unreachable:
                server._listener.close()
        budget = RetryBudget(
            BudgetLimits(0.0, self._slack, 10.0), timers, lambda: len(order)
        )
        # The n-th server has n requests of other hosts in flight, so that servers
        # are tried in order.
        remote_loads = FakeRemoteLoads()
        remote_loads.in_flight.update(order)
        statements, rng = ServerStatements(), random.Random(1)
        evacuations = self.evacuations = Evacuations(timers)
        cold_servers = ColdServers(evacuations, timers)
        cold_servers.update_services((ServiceEntry(ENGINE, 20.0, 11.0),))
        for identity in self.cold:
            entry = roster.get_entry(identity)
            cold_servers.update_entry(identity, entry._replace(cold_remaining_s=9.0))
        self._record_reading(statements, roster, timers.now())
        if self.evacuated:
            evacuations.update("alpena", True)
        self.chooser = chooser = Chooser(
            roster,
            health,
            CacheMap(timers),
            "duluth",
            remote_loads,
            rng,
            timers,
            statements=statements,
            evacuations=evacuations,
        )

        def request_send(server: ServerEntry, notify: Callable[[bool], None]) -> None:
            if server.identity in self._used_up:
                statements.record_wait(server, timers.now() + USED_UP_S)
            if server.identity in self.evacuated_in_wait:
                evacuations.update("alpena", True)
            notify(server.identity not in self._used_up)

        causes = CrashCauses()
        async with make_session() as session:
            forwarder = Forwarder(
                session,
                MinimalDialect(),
                chooser,
                health,
                budget,
                ServerActivity(timers),
                timers,
                StatementRecorder(statements, timers, rng).record,
                CrashGuard(causes, health, timers),
                rng,
                self._make_attempt_recorder(causes, route, timers),
                request_send,
                lambda *decision: self.moved.append(decision),
                cold_servers,
                self.permits,
                on_send=self.sent.append,
            )
            self.forwarder = forwarder
            try:
                requests = [
                    lambda caller=caller, number=number: forwarder.forward(
                        self._make_call(number, route, timers.now() + timeout_s), caller
                    )
                    for number, caller in enumerate(callers)
                ]
                if self.at_once:
                    return await asyncio.gather(*(request() for request in requests))
                return [await request() for request in requests]
            finally:
                self.in_flight = dict(chooser.in_flight)
                await asyncio.sleep(0.05)
                for server in self.servers:
                    await server.close()

    def _make_attempt_recorder(
        self, causes: CrashCauses, route: Route, timers: LoopTimers
    ) -> Callable[..., None]:
        """Return what is called after each attempt; see ``Forwarder``."""

        def record(outcome, framing, took_s) -> None:
            if self.held_back:
                key = RequestKeys(make_call(route, 0.0)).whole
                group = frozenset([key])
                causes.receive_quarantine(Quarantine(key, timers.now(), 60.0, group))

        return record

    def _make_call(self, number: int, route: Route, deadline_s: float) -> Call:
        """Return the request of one of several callers."""
        call = make_call(route, deadline_s)
        if self.differ_in_path:
            call = call._replace(path=f"{call.path}{number}")
        if self.differ_in_prompt:
            parts = (PromptPart(f"p{number}", 10), PromptPart("own", 5))
            call = call._replace(prompt_parts=parts)
        return call

    def count_requests(self) -> list[int]:
        """Return the number of requests that each server received."""
        return [len(server.requests) for server in self.servers]


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


def forward_request(
    fixture: ForwarderFixture, timeout_s: float = 5.0, **changes
) -> RequestOutcome:
    """Forward one request of a route that is not sticky.

    Args:
        fixture: The forwarder and the servers.
        timeout_s: Time until the request's deadline, in seconds.
        changes: Fields of the route to change.
    """
    route = make_route(sticky=False, **changes)
    return run_coroutine(fixture.forward(route, timeout_s))

"""A backend server of the users' platform that records what it executes."""

import asyncio
import zlib
from collections.abc import Callable
from enum import Enum

from aiohttp import web

from standins.raw_responses import ConnectionEnd, pick_end, send_without_length

__all__ = [
    "LEAVING_HEADER",
    "LIMIT_HEADER",
    "PADDING_HEADER",
    "WORK_HEADER",
    "PartFault",
    "StandInServer",
]

EVENT_INTERVAL_S = 0.1
CRASH_DELAY_S = 0.03
# Time from a crash until the server listens again.
RESTART_DELAY_S = 2.0
PROMPT_HEADER = "Prompt-Prefix"
LEAVING_HEADER = "Server-Leaving"
LIMIT_HEADER = "Server-Limit"
# Headers of a request that name its ``work_s`` and ``padding_bytes``.
WORK_HEADER = "Work-S"
PADDING_HEADER = "Padding-Bytes"


# Share of the requests that a ``PartFault`` affects, in percent.
PART_FAULT_PERCENT = 45
# A whole response that belongs to no request.
EXTRA_BYTES = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"


class PartFault(Enum):
    """What a server does to a part of its requests while it counts as healthy.

    ``ERROR`` and ``MUTE`` execute the request, ``REFUSAL`` does not. ``EXTRA_BYTES``
    are sent after a whole response. A response ``WITHOUT_LENGTH`` ends with its
    connection, which may be closed or reset before its end.
    """

    NONE = "none"
    ERROR = "error"
    MUTE = "mute"
    REFUSAL = "refusal"
    EXTRA_BYTES = "extra_bytes"
    WITHOUT_LENGTH = "without_length"


class StandInServer:
    """A backend server that records the requests that it executes.

    Args:
        instance_id: Id of the server in the store.
        event_count: Number of events in each stream.

    Attributes:
        instance_id: Id of the server in the store.
        address: ``IP:PORT`` at which hosts connect to it.
        request_ids: Ids of the executed requests, in the order of their arrival.
        request_times_s: Arrival time of each of them, on the event loop's clock.
        request_headers: Headers of each of them.
        returns_errors: Whether it answers executed requests with status 500.
        aborted_streams: Number of streams whose host disconnected early.
        part_fault: What it does to a part of its requests.
        response_headers: Headers that it adds to its responses.
        asks_to_wait_s: Seconds for which it asks in place of executing; 0 to execute.
        is_full: Whether it refuses each request.
        pause_after: The event after which each stream pauses; 0 for no pause.
        pause_s: How long it pauses, in seconds.
        arrivals: Id and time of each request, executed or not.
        statements: Id and time of each request that was answered with a statement, and
            the seconds that it asked for, 0 if it said that it leaves.
        work_s: How long a request takes, in seconds; a stream until its head.
        padding_bytes: Bytes by which it makes a response that is no stream longer.
        crashing_part: A part of prompts on which the server crashes as soon as it
            begins to answer; the last part of a prompt does not count.
        crashing_request: The path, with its query, and the body of requests that crash
            the server after ``CRASH_DELAY_S`` of work, whoever sends them; None for
            none.
        crash_times_s: When it crashed.
        crash_causes: The ids of the requests on which it did.
        run: The number of its starts.
        on_crash: Called when it crashes.
        on_restart: Called when it has started again.
    """

    def __init__(self, instance_id: str, event_count: int = 20) -> None:
        self.instance_id = instance_id
        self.request_ids: list[str] = []
        self.request_times_s: list[float] = []
        self.returns_errors = False
        self.request_headers: list[dict[str, str]] = []
        self.aborted_streams = 0
        self.part_fault = PartFault.NONE
        self.response_headers: dict[str, str] = {}
        self.asks_to_wait_s = 0.0
        self.is_full = False
        self.pause_after = 0
        self.pause_s = 0.0
        self.arrivals: list[tuple[str, float]] = []
        self.statements: list[tuple[str, float, float]] = []
        self.work_s = 0.0
        self.padding_bytes = 0
        self.crashing_part = ""
        self.crashing_request: tuple[str, bytes] | None = None
        self.crash_times_s: list[float] = []
        self.crash_causes: list[str] = []
        self.run = 0
        self.on_crash: Callable[[], None] = lambda: None
        self.on_restart: Callable[[], None] = lambda: None
        self._event_count = event_count
        self._restarting: asyncio.Task[None] | None = None

    async def start(self, port: int) -> None:
        """Listen on a port of the loopback address."""
        self._port = port
        self.address = f"127.0.0.1:{port}"
        await self._listen()

    async def _listen(self) -> None:
        self.run += 1
        self._server = web.Server(self._handle_request, handler_cancellation=True)
        self._listener = await asyncio.get_running_loop().create_server(
            self._server, "127.0.0.1", self._port
        )

    async def stop(self) -> None:
        """Stop listening."""
        if self._restarting is not None:
            self._restarting.cancel()
        self._listener.close()
        await self._server.shutdown(0.1)

    def crash(self, request_id: str) -> None:
        """End all connections and stop listening; start again after some time.

        A server that has not started again does not crash.

        Args:
            request_id: The id of the request on which it crashes.
        """
        if self._restarting is not None and not self._restarting.done():
            return
        loop = asyncio.get_running_loop()
        self.crash_times_s.append(loop.time())
        self.crash_causes.append(request_id)
        self._listener.close()
        for connection in self._server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        self._restarting = loop.create_task(self._restart())
        self.on_crash()

    async def _restart(self) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        await self._listen()
        self.on_restart()

    async def _handle_request(self, request) -> web.StreamResponse:
        if request.headers.get("Expect-Instance") != self.instance_id:
            return web.Response(
                status=421,
                headers={"Request-Id": request.headers.get("Request-Id", "")},
            )
        request_id = request.headers["Request-Id"]
        at_s = asyncio.get_running_loop().time()
        self.arrivals.append((request_id, at_s))
        part_fault = self._find_part_fault(request_id)
        refusal = self._refuse(request_id, at_s, part_fault)
        if refusal is not None:
            return refusal
        self.request_ids.append(request_id)
        self.request_times_s.append(at_s)
        self.request_headers.append(dict(request.headers))
        await asyncio.sleep(float(request.headers.get(WORK_HEADER, self.work_s)))
        headers = {
            "Request-Id": request_id,
            "Response-Signature": self.instance_id,
            **self.response_headers,
        }
        if (request.raw_path, await request.read()) == self.crashing_request:
            await asyncio.sleep(CRASH_DELAY_S)
            self.crash(request_id)
        if self.returns_errors or part_fault is PartFault.ERROR:
            return web.Response(status=500, headers=headers)
        if part_fault is PartFault.MUTE:
            # Ends when the host disconnects.
            await asyncio.Event().wait()
        if request.path.startswith("/chat/"):
            return await self._send_stream(request, headers, part_fault)
        padding = " " * int(request.headers.get(PADDING_HEADER, self.padding_bytes))
        text = f"{self.instance_id} ran {request_id}{padding}"
        if part_fault is PartFault.WITHOUT_LENGTH:
            end = pick_end(request_id, (ConnectionEnd.AFTER_BODY, ConnectionEnd.RESET))
            return await send_without_length(
                request, headers, [text.encode()], end, EVENT_INTERVAL_S
            )
        response = web.Response(text=text, headers=headers)
        if part_fault is PartFault.EXTRA_BYTES:
            await response.prepare(request)
            await response.write_eof()
            if request.transport is not None:
                request.transport.write(EXTRA_BYTES)
        return response

    def _refuse(
        self, request_id: str, at_s: float, part_fault: PartFault
    ) -> web.Response | None:
        """Return the refusal of a request, None to execute it; record statements."""
        if self.asks_to_wait_s:
            self.statements.append((request_id, at_s, self.asks_to_wait_s))
            headers = {
                "Request-Id": request_id,
                "Not-Executed": "1",
                "Retry-After": str(self.asks_to_wait_s),
            }
            return web.Response(status=503, headers=headers)
        if part_fault is not PartFault.MUTE and LEAVING_HEADER in self.response_headers:
            self.statements.append((request_id, at_s, 0.0))
        if self.is_full or part_fault is PartFault.REFUSAL:
            refusal = {
                "Request-Id": request_id,
                "Not-Executed": "1",
                **self.response_headers,
            }
            return web.Response(status=503, headers=refusal)
        return None

    def _crashes_on(self, request) -> bool:
        """Return whether the prompt of a request has the part that ends the server."""
        parts = request.headers.get(PROMPT_HEADER, "").split(",")[:-1]
        return self.crashing_part in [part.partition(":")[0] for part in parts]

    def _find_part_fault(self, request_id: str) -> PartFault:
        """Return what happens to a request; the same for each send of it."""
        is_affected = zlib.crc32(request_id.encode()) % 100 < PART_FAULT_PERCENT
        return self.part_fault if is_affected else PartFault.NONE

    async def _send_stream(
        self, request, headers, part_fault: PartFault
    ) -> web.StreamResponse:
        headers["Content-Type"] = "text/event-stream"
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        events = [
            f"id: {number}\ndata: t{number}\n\n".encode()
            for number in range(first, self._event_count + 1)
        ]
        if part_fault is PartFault.WITHOUT_LENGTH and events:
            end = pick_end(headers["Request-Id"], tuple(ConnectionEnd))
            return await send_without_length(
                request, headers, events, end, EVENT_INTERVAL_S
            )
        response = web.StreamResponse(headers=headers)
        try:
            await response.prepare(request)
            if self._crashes_on(request):
                self.crash(headers["Request-Id"])
                return response
            for number, event in enumerate(events, first):
                await response.write(event)
                await asyncio.sleep(EVENT_INTERVAL_S)
                if number == self.pause_after:
                    await asyncio.sleep(self.pause_s)
        except asyncio.CancelledError:
            self.aborted_streams += 1
            raise
        except ConnectionError:
            # The host has disconnected.
            self.aborted_streams += 1
        return response

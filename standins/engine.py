"""Stand-in for the model engine, with faults that can be injected.

In addition to the calls of ``docs/INTERFACES.md`` it serves ``POST /faults``,
``GET /counts`` (the outcomes of the generation requests) and ``GET /orders``.
"""

import asyncio
import contextlib
import json
import random
import weakref
from collections import Counter
from collections.abc import Iterator
from typing import Annotated, NamedTuple, TypedDict

import click
import msgspec
from aiohttp import web

from oleanderpier.utils import LoopTimers, hash_text
from standins.faults import EngineFaults, inject_event_faults
from standins.generation import PrefixCache, Slots, compose_response, count_tokens
from standins.http import (
    SSE_HEADERS,
    FaultSwitch,
    make_error_response,
    read_json,
    serve,
)

__all__ = ["Engine", "EngineOptions", "make_engine_app"]

HEARTBEAT_COMMENT = b": heartbeat\n\n"
LOAD_REPORT_INTERVAL_S = 0.1
SILENCE_POLL_INTERVAL_S = 0.05
MAX_STORED_ORDERS = 1000


class GenerateBody(TypedDict):
    """The body of ``POST /v1/generate``.

    Attributes:
        request: Id of the request.
        chat: Name of the chat.
        model: Name of the model, which the stand-in ignores.
        messages: The messages of the chat so far.
        offset: Index of the first token to send; above 0 to resume a response.
        max_tokens: Number of tokens in the whole response.
        priority: Priority in the queue for a slot; the lowest number is first.
    """

    request: str
    chat: str
    model: str
    messages: list[str]
    offset: Annotated[int, msgspec.Meta(ge=0)]
    max_tokens: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
    priority: int


class OrderBody(TypedDict):
    """The body of ``POST /v1/orders``.

    Attributes:
        fence: Fencing token of the sender's lease.
        kind: Kind of the order.
        subject: Name of what the order applies to.
    """

    fence: int
    kind: str
    subject: str


class EngineOptions(NamedTuple):
    """The behaviour of an engine without faults.

    Attributes:
        name: Name of the server, which also seeds the loss of cache events.
        failure_domain: Failure domain of the server.
        token_interval_s: Time between two tokens, in seconds.
        prefill_token_s: Time per prompt token that is not cached, in seconds.
        slots: Number of requests that run at the same time.
        cache_tokens: Capacity of the prefix cache, in tokens.
        heartbeat_s: Time between two heartbeat comments, in seconds.
    """

    name: str
    failure_domain: str = ""
    token_interval_s: float = 0.01
    prefill_token_s: float = 0.0001
    slots: int = 16
    cache_tokens: int = 200_000
    heartbeat_s: float = 0.25


class Engine:
    """A model engine with its slots, its prefix cache and its running requests.

    Args:
        options: Behaviour of the engine.

    Attributes:
        options: Behaviour of the engine.
        fault_switch: The active faults.
        slots: The slots of the engine.
        cache: The prefix cache.
        counts: Number of generation requests by outcome.
        running_tasks: Task of each running generation by request id.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.fault_switch = FaultSwitch(EngineFaults)
        self.slots = Slots(options.slots)
        generator = random.Random(hash_text(options.name))
        self.cache = PrefixCache(options.cache_tokens, LoopTimers(), generator)
        self.counts: Counter[str] = Counter()
        self.running_tasks: dict[str, asyncio.Task[None]] = {}
        self._timers = LoopTimers()
        self._connections: weakref.WeakSet = weakref.WeakSet()
        self._events_until_silent: weakref.WeakKeyDictionary = (
            weakref.WeakKeyDictionary()
        )
        self._orders: list[OrderBody] = []
        self._fence = 0
        self._load_report: dict = {}
        self._load_reported_at_s = -LOAD_REPORT_INTERVAL_S

    async def handle_generate(self, request: web.Request) -> web.StreamResponse:
        """Serve ``POST /v1/generate``."""
        body = await read_json(request, GenerateBody)
        faults = self.fault_switch.take_faults()
        if faults.get("refuse"):
            return make_error_response(503, "refused")
        self._silence_connection(request, faults)
        self.cancel(body["request"])
        response = web.StreamResponse(headers=SSE_HEADERS)
        stream = _ResponseStream(
            request, response, dict(faults), self._events_until_silent
        )
        task = asyncio.create_task(self._run_generation(body, stream))
        self.running_tasks[body["request"]] = task
        self.counts["started"] += 1
        await asyncio.wait({task})
        if self.running_tasks.get(body["request"]) is task:
            del self.running_tasks[body["request"]]
        if task.cancelled() and request.transport is not None:
            request.transport.close()
        return response

    async def handle_cancel(self, request: web.Request) -> web.Response:
        """Serve ``DELETE /v1/generate/{request}``."""
        self.counts["cancel_requests"] += 1
        self.cancel(request.match_info["request"])
        return web.Response(status=204)

    def cancel(self, request_id: str) -> None:
        """Cancel the generation for a request id, if one is running."""
        task = self.running_tasks.pop(request_id, None)
        if task is not None:
            self.counts["cancelled"] += task.cancel()

    async def handle_load(self, request: web.Request) -> web.Response:
        """Serve ``GET /v1/load``.

        The report is recomputed at most once per ``LOAD_REPORT_INTERVAL_S``, so
        that routers have to cope with outdated loads.
        """
        if self._timers.now() - self._load_reported_at_s >= LOAD_REPORT_INTERVAL_S:
            self._load_reported_at_s = self._timers.now()
            sequence = self._load_report.get("sequence", 0) + 1
            self._load_report = {
                "running": self.slots.running,
                "waiting": self.slots.waiting,
                "slots": self.slots.count,
                "sequence": sequence,
            }
        leaving = {"leaving": True} if self.fault_switch.faults.get("leaving") else {}
        return web.json_response({**self._load_report, **leaving})

    async def handle_cache_events(self, request: web.Request) -> web.Response:
        """Serve ``GET /v1/cache/events``."""
        after = int(request.query.get("after", "0"))
        events = [event._asdict() for event in self.cache.list_events(after)]
        return web.json_response({"events": events})

    async def handle_export(self, request: web.Request) -> web.Response:
        """Serve ``GET /v1/cache/{chat}``."""
        messages = self.cache.get_messages(request.match_info["chat"])
        if messages is None:
            return make_error_response(404, "nothing is held of this chat")
        return web.Response(body=json.dumps(messages).encode())

    async def handle_import(self, request: web.Request) -> web.Response:
        """Serve ``PUT /v1/cache/{chat}``."""
        self.cache.store(request.match_info["chat"], json.loads(await request.read()))
        return web.Response(status=204)

    async def handle_order(self, request: web.Request) -> web.Response:
        """Serve ``POST /v1/orders``."""
        order = await read_json(request, OrderBody)
        checks_fence = self.fault_switch.faults.get("fencing", "honoured") == "honoured"
        if checks_fence and order["fence"] < self._fence:
            return make_error_response(409, f"a fence of {self._fence} was seen")
        self._fence = max(self._fence, order["fence"])
        self._orders.append(order)
        del self._orders[:-MAX_STORED_ORDERS]
        return web.json_response({"fence": self._fence})

    async def handle_orders(self, request: web.Request) -> web.Response:
        """Serve ``GET /orders``: the accepted orders, the oldest first."""
        return web.json_response({"orders": self._orders})

    async def handle_counts(self, request: web.Request) -> web.Response:
        """Serve ``GET /counts``."""
        live = {"running": self.slots.running, "waiting": self.slots.waiting}
        return web.json_response({**self.counts, **live})

    @web.middleware
    async def track_connections(self, request: web.Request, handler):
        """Track open connections, which ``silent_after`` applies to."""
        is_known = request.transport in self._connections
        self._connections.add(request.transport)
        response = await handler(request)
        if request.path == "/faults" and request.method == "POST":
            self._silence_open_connections(request.transport, is_known)
        return response

    def _silence_open_connections(
        self, control_transport: asyncio.Transport, is_known: bool
    ) -> None:
        """Apply ``silent_after`` to open connections other than the control one."""
        self._events_until_silent.clear()
        if "silent_after" not in self.fault_switch.faults:
            return
        for transport in self._connections:
            if transport is not control_transport:
                self._events_until_silent[transport] = self.fault_switch.faults[
                    "silent_after"
                ]

    def _silence_connection(self, request: web.Request, faults: EngineFaults) -> None:
        if "silent_after" in faults and "times" in faults:
            self._events_until_silent.setdefault(
                request.transport, faults["silent_after"]
            )

    async def _run_generation(
        self, body: GenerateBody, stream: "_ResponseStream"
    ) -> None:
        heartbeats = stream.send_heartbeats(self.options.heartbeat_s)
        heartbeat = asyncio.create_task(heartbeats)
        try:
            await stream.begin()
            await self.slots.acquire(body["priority"])
            try:
                await self._send_generation(body, stream)
                self.counts["finished"] += 1
            finally:
                self.slots.release()
        except ConnectionError:
            self.counts["dropped"] += 1
        finally:
            heartbeat.cancel()

    async def _send_generation(
        self, body: GenerateBody, stream: "_ResponseStream"
    ) -> None:
        messages, total = body["messages"], body["max_tokens"]
        reused = self.cache.count_cached_tokens(body["chat"], messages)
        uncached = count_tokens(messages) - reused
        await asyncio.sleep(uncached * self.options.prefill_token_s)
        self.cache.store(body["chat"], messages)
        texts = compose_response(messages, total)
        events = _format_events(body, texts, stream.faults.get("short", 0))
        foreign = _format_event("another-request", body["offset"], "not yours")
        for event in inject_event_faults(events, foreign, stream.faults):
            await asyncio.sleep(self.options.token_interval_s)
            await stream.send(event)
        self.cache.store(body["chat"], [*messages, "".join(texts)])
        end = json.dumps({"total": total, "reused": reused})
        await stream.send(f"event: end\nid: {body['request']}:{total}\n", end)
        await stream.finish()


class _ResponseStream:
    """The response of one generation request, sent with the request's faults."""

    def __init__(
        self,
        request: web.Request,
        response: web.StreamResponse,
        faults: EngineFaults,
        events_until_silent: weakref.WeakKeyDictionary,
    ) -> None:
        self.faults = faults
        self._request = request
        self._response = response
        self._events_until_silent = events_until_silent
        self._sent = 0

    async def begin(self) -> None:
        """Send the status line and headers of the response."""
        await self._wait_while_silent()
        await self._response.prepare(self._request)

    async def send(self, event: bytes | str, data: str = "") -> None:
        """Send one event.

        Args:
            event: A whole event as bytes, or its first lines as a string.
            data: The data field of an event given as a string.

        Raises:
            ConnectionError: The client has disconnected, or ``die_after`` applies.
        """
        await asyncio.sleep(self.faults.get("late_s", 0.0))
        if self._sent == self.faults.get("die_after", -1):
            self._request.transport.abort()
            raise ConnectionResetError
        await self._wait_while_silent()
        if isinstance(event, str):
            event = f"{event}data: {data}\n\n".encode()
        await self._response.write(event)
        self._sent += 1
        if self._request.transport in self._events_until_silent:
            self._events_until_silent[self._request.transport] -= 1

    async def finish(self) -> None:
        """End the body of the response."""
        await self._response.write_eof()

    async def send_heartbeats(self, interval_s: float) -> None:
        """Send a heartbeat comment at a fixed interval until the connection ends."""
        with contextlib.suppress(ConnectionError):
            while True:
                await asyncio.sleep(interval_s)
                await self._wait_while_silent()
                if self._response.prepared:
                    await self._response.write(HEARTBEAT_COMMENT)

    async def _wait_while_silent(self) -> None:
        transport = self._request.transport
        while self._events_until_silent.get(transport, 1) <= 0:
            await asyncio.sleep(SILENCE_POLL_INTERVAL_S)
            if self._request.transport is None:
                raise ConnectionResetError


def _format_event(request_id: str, offset: int, text: str) -> bytes:
    data = json.dumps({"text": text})
    return f"id: {request_id}:{offset}\ndata: {data}\n\n".encode()


def _format_events(body: GenerateBody, texts: list[str], short: int) -> Iterator[bytes]:
    for offset in range(body["offset"], len(texts) - short):
        yield _format_event(body["request"], offset, texts[offset])


def make_engine_app(engine: Engine) -> web.Application:
    """Return the HTTP application that serves an engine."""
    app = web.Application(
        middlewares=[engine.track_connections], client_max_size=1 << 26
    )
    app.router.add_post("/v1/generate", engine.handle_generate)
    app.router.add_delete("/v1/generate/{request}", engine.handle_cancel)
    app.router.add_get("/v1/load", engine.handle_load)
    app.router.add_get("/v1/cache/events", engine.handle_cache_events)
    app.router.add_get("/v1/cache/{chat}", engine.handle_export)
    app.router.add_put("/v1/cache/{chat}", engine.handle_import)
    app.router.add_post("/v1/orders", engine.handle_order)
    app.router.add_get("/orders", engine.handle_orders)
    app.router.add_get("/counts", engine.handle_counts)
    engine.fault_switch.add_routes(app)
    return app


@click.command()
@click.option("--port", type=int, required=True, help="Port to listen on.")
@click.option("--name", required=True, help="Name of the server.")
@click.option("--address", default="127.0.0.1", show_default=True)
@click.option("--failure-domain", default="", help="Failure domain of the server.")
@click.option("--token-interval-s", default=0.01, show_default=True)
@click.option("--slots", default=16, show_default=True)
@click.option("--cache-tokens", default=200_000, show_default=True)
def main(port: int, address: str, **options) -> None:
    """Serve a stand-in for the model engine."""
    app = make_engine_app(Engine(EngineOptions(**options)))
    asyncio.run(serve(app, address, port))


if __name__ == "__main__":
    main()

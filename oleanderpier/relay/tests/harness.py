"""Engines, services and a relaying host on loopback sockets, in one loop."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

import aiohttp
from aiohttp import web
from expression import Error, Ok, Result

from oleanderpier.relay import (
    Relay,
    RelayRequest,
    RelayResult,
    RelaySettings,
    make_session,
    relay_response,
)
from oleanderpier.results import Code, Failure
from oleanderpier.utils import LoopTimers
from standins.engine import Engine, EngineOptions, make_engine_app

FAST_SETTINGS = RelaySettings(
    tick_s=0.02,
    engine_heartbeat_s=0.05,
    engine_idle_s=0.24,
    caller_idle_s=0.4,
    caller_heartbeat_s=0.1,
    begin_s=0.2,
)
REQUEST = "request-1"
CHAT = "chat-1"
MESSAGES = ["review the season of the boat", "and the share of each hand"]
TOKENS = 8
WORK_CLASS = {
    "name": "review",
    "kind": "engine",
    "needs": "drafting",
    "repeatable": True,
    "first_token_s": 1.0,
    "between_tokens_s": 0.5,
    "whole_s": 8.0,
}


class FakePermit:
    """The right to use a server, which counts how often it is released."""

    priority = 3

    def __init__(self, backend_server: dict) -> None:
        self.backend_server = backend_server
        self.released = 0

    def release(self) -> None:
        """Count a release."""
        self.released += 1

    def abandon(self) -> None:
        """Count a release."""
        self.release()


class FakePlacement:
    """Gives the first server that is not avoided.

    Args:
        servers: Backend servers, the best first.
    """

    def __init__(self, servers: list[dict]) -> None:
        self.servers = servers
        self.permits: list[FakePermit] = []

    async def acquire_permit(
        self, avoid: frozenset[str]
    ) -> Result[FakePermit, Failure]:
        """Return a permit, or why there is none."""
        for server in self.servers:
            if server["name"] not in avoid:
                self.permits.append(FakePermit(server))
                return Ok(self.permits[-1])
        return Error(Failure(Code.NO_BACKEND_SERVER, "", 2.0))


@contextlib.asynccontextmanager
async def serve_app(app: web.Application) -> AsyncIterator[int]:
    """Serve an application and yield its port."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()


def make_server(name: str, port: int, kind: str = "engine") -> dict:
    """Return a backend server as the platform lists it."""
    return {"name": name, "kind": kind, "address": "127.0.0.1", "port": port}


def find_closed_port() -> int:
    """Return a port on which nothing listens."""
    with socket.socket() as opened:
        opened.bind(("127.0.0.1", 0))
        return opened.getsockname()[1]


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class RelayHarness(NamedTuple):
    """A relaying host before some engines.

    Attributes:
        port: Where callers connect.
        requests: The callers' requests so far.
        results: What became of each answer.
    """

    port: int
    placement: FakePlacement
    relay: Relay
    requests: list[web.Request]
    results: list[RelayResult]

    @property
    def url(self) -> str:
        """Where callers send chats."""
        return f"http://127.0.0.1:{self.port}/v1/chats"

    def list_transports(self) -> list[asyncio.Transport]:
        """Return the callers' connections that are open."""
        return [request.transport for request in self.requests if request.transport]


@contextlib.asynccontextmanager
async def serve_relay(
    servers: list[dict],
    settings: RelaySettings = FAST_SETTINGS,
    work_class: dict = WORK_CLASS,
    tokens: int = TOKENS,
) -> AsyncIterator[RelayHarness]:
    """Serve a relay before some servers."""
    placement = FakePlacement(servers)
    requests: list[web.Request] = []
    outcomes: list[RelayResult] = []
    async with make_session() as session:
        relay = Relay(session, LoopTimers(), settings)

        async def handle(request: web.Request) -> web.StreamResponse:
            requests.append(request)
            name = request.query.get("request", REQUEST)
            answer = RelayRequest(name, work_class, CHAT, MESSAGES, tokens, 1)
            outcome = await relay_response(
                relay, request, answer, placement.acquire_permit
            )
            outcomes.append(outcome)
            return outcome.response

        relay.start()
        app = web.Application()
        app.router.add_post("/v1/chats", handle)
        async with serve_app(app) as port:
            yield RelayHarness(port, placement, relay, requests, outcomes)
            await relay.close()


@contextlib.asynccontextmanager
async def serve_engines(count: int, **options) -> AsyncIterator[list[tuple]]:
    """Serve stand-in engines; yield ``(engine, backend_server)`` of each."""
    defaults = {"token_interval_s": 0.002, "prefill_token_s": 0.0}
    async with contextlib.AsyncExitStack() as stack:
        found = []
        for index in range(count):
            name = f"engine-{index}"
            settings = {"heartbeat_s": 0.02, **defaults, **options}
            engine = Engine(EngineOptions(name, **settings))
            port = await stack.enter_async_context(serve_app(make_engine_app(engine)))
            found.append((engine, make_server(name, port)))
        yield found


async def read_response(url: str, limit_s: float = 5.0) -> tuple[int, bytes, bool]:
    """Ask for an answer; return its status, its bytes and whether it hung."""
    data = b""
    status = 0
    async with aiohttp.ClientSession() as session:
        try:
            async with asyncio.timeout(limit_s), session.post(url) as answer:
                status = answer.status
                async for chunk in answer.content.iter_any():
                    data += chunk
        except TimeoutError:
            return status, data, True
        except (aiohttp.ClientError, OSError):
            return status, data, False
    return status, data, False

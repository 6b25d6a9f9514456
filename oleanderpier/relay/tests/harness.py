"""Stand-in engines and a relay on loopback sockets, in one event loop."""

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
    check_interval_s=0.02,
    engine_heartbeat_interval_s=0.05,
    max_engine_silence_s=0.24,
    max_caller_stall_s=0.4,
    caller_heartbeat_interval_s=0.1,
    first_heartbeat_delay_s=0.2,
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
    """A permit that counts how often it is returned."""

    priority = 3

    def __init__(self, backend_server: dict) -> None:
        self.backend_server = backend_server
        self.release_count = 0

    def release(self) -> None:
        """Count the release."""
        self.release_count += 1

    def abandon(self) -> None:
        """Count it as a release."""
        self.release()


class FakePlacement:
    """Grants permits for the first server that is not to be avoided.

    Args:
        servers: Backend servers, the preferred one first.

    Attributes:
        gate: What each permit waits for; None for nothing.
    """

    def __init__(self, servers: list[dict]) -> None:
        self.servers = servers
        self.permits: list[FakePermit] = []
        self.gate: asyncio.Event | None = None

    async def acquire_permit(
        self, avoid: frozenset[str]
    ) -> Result[FakePermit, Failure]:
        """Return a permit, or a failure if all servers are to be avoided."""
        if self.gate is not None:
            await self.gate.wait()
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
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class RelayHarness(NamedTuple):
    """A relay that is being served.

    Attributes:
        port: The port for callers.
        placement: Grants the relay's permits.
        relay: The relay itself.
        requests: The callers' HTTP requests so far.
        results: The result of each response that has ended.
    """

    port: int
    placement: FakePlacement
    relay: Relay
    requests: list[web.Request]
    results: list[RelayResult]

    @property
    def url(self) -> str:
        """The URL for chats."""
        return f"http://127.0.0.1:{self.port}/v1/chats"

    def list_caller_transports(self) -> list[asyncio.Transport]:
        """Return the transports of the callers' open connections."""
        return [request.transport for request in self.requests if request.transport]


@contextlib.asynccontextmanager
async def serve_relay(
    servers: list[dict],
    settings: RelaySettings = FAST_SETTINGS,
    work_class: dict = WORK_CLASS,
    tokens: int = TOKENS,
) -> AsyncIterator[RelayHarness]:
    """Serve a relay that uses some backend servers."""
    placement = FakePlacement(servers)
    requests: list[web.Request] = []
    results: list[RelayResult] = []
    async with make_session() as session:
        relay = Relay(session, LoopTimers(), settings)

        async def handle_chat(request: web.Request) -> web.StreamResponse:
            requests.append(request)
            name = request.query.get("request", REQUEST)
            relay_request = RelayRequest(name, work_class, CHAT, MESSAGES, tokens, 1)
            result = await relay_response(
                relay, request, relay_request, placement.acquire_permit
            )
            results.append(result)
            return result.response

        relay.start()
        app = web.Application()
        app.router.add_post("/v1/chats", handle_chat)
        async with serve_app(app) as port:
            yield RelayHarness(port, placement, relay, requests, results)
            await relay.close()


@contextlib.asynccontextmanager
async def serve_engines(count: int, **options) -> AsyncIterator[list[tuple]]:
    """Serve stand-in engines; yield ``(engine, backend_server)`` of each."""
    defaults = {"token_interval_s": 0.002, "prefill_token_s": 0.0}
    async with contextlib.AsyncExitStack() as stack:
        engines = []
        for index in range(count):
            name = f"engine-{index}"
            settings = {"heartbeat_s": 0.02, **defaults, **options}
            engine = Engine(EngineOptions(name, **settings))
            port = await stack.enter_async_context(serve_app(make_engine_app(engine)))
            engines.append((engine, make_server(name, port)))
        yield engines


async def read_response(url: str, timeout_s: float = 5.0) -> tuple[int, bytes, bool]:
    """Post a chat; return the HTTP status, the body and whether it timed out."""
    data = b""
    status = 0
    async with aiohttp.ClientSession() as session:
        try:
            async with asyncio.timeout(timeout_s), session.post(url) as response:
                status = response.status
                async for chunk in response.content.iter_any():
                    data += chunk
        except TimeoutError:
            return status, data, True
        except (aiohttp.ClientError, OSError):
            return status, data, False
    return status, data, False

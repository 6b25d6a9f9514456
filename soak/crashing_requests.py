"""Requests that crash each server: by a part of their prompts, or one, repeated."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

import aiohttp

from soak.proxy import FaultProxy
from soak.schedule import Fault
from standins.backend_server import StandInServer
from standins.platform_fleet import PlatformFleet

__all__ = [
    "CRASHING_PROMPT_PREFIX",
    "REPEATED_REQUEST_PREFIX",
    "CrashingPrompts",
    "RepeatedRequest",
    "connect_proxy",
]

CRASHING_PART = "crashing"
# How the ids of the requests begin.
CRASHING_PROMPT_PREFIX = "crashing-"
REPEATED_REQUEST_PREFIX = "repeated-"
REQUEST_PAUSE_RANGE_S = (0.05, 0.4)
TIMEOUT_S = 10.0
# How long the requests come in addition to the duration of the fault: so long that some
# come later than the hosts have to refuse them.
MIN_DURATION_S = 8.0

_REPEATED_KINDS = ("payout", "lookup", "chat")
REQUEST_BODY = b"body"


class _Request(NamedTuple):
    """A request; its id names the host, as servers record only the id."""

    path: str
    identity: str
    headers: dict[str, str]


class _CrashingRequests(ABC):
    """Sends requests to random hosts.

    Args:
        fleet: The hosts.
        rng: The source of randomness.
    """

    def __init__(self, fleet: PlatformFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._count = 0

    async def run(self, fault: Fault) -> None:
        """Send requests for some time."""
        ends_s = asyncio.get_running_loop().time() + MIN_DURATION_S + fault.for_s
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < ends_s:
                group.create_task(self._send())
                await asyncio.sleep(self._rng.uniform(*REQUEST_PAUSE_RANGE_S))

    @abstractmethod
    def make_request(self, number: str) -> _Request:
        """Return a request whose id ends with a number."""

    async def _send(self) -> None:
        host = self._rng.randrange(len(self._fleet.settings))
        request = self.make_request(f"{self._count}-{host}")
        self._count += 1
        try:
            async with (
                asyncio.timeout(TIMEOUT_S),
                self._fleet.request(
                    host,
                    request.path,
                    request.identity,
                    REQUEST_BODY,
                    **request.headers,
                ) as response,
            ):
                await response.read()
        except (aiohttp.ClientError, OSError):
            # The host is down or paused, or the stream was broken off.
            return


class CrashingPrompts(_CrashingRequests):
    """Requests with one prompt part in common, which share the others with callers."""

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        super().__init__(fleet, random.Random(f"crashing prompts {seed}"))

    def make_request(self, number: str) -> _Request:
        """Return a request; see the base class."""
        identity = f"{CRASHING_PROMPT_PREFIX}{number}"
        prompt = f"p{self._rng.randrange(6)}:700,{CRASHING_PART}:40,{identity}:40"
        return _Request("/chat/x", identity, {"Prompt-Prefix": prompt})


class RepeatedRequest(_CrashingRequests):
    """One request that comes again and again; its kind goes by the seed.

    Attributes:
        target: Its path and its body.
    """

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        super().__init__(fleet, random.Random(f"repeated request {seed}"))
        kind = _REPEATED_KINDS[seed % len(_REPEATED_KINDS)]
        body = b"" if kind == "lookup" else REQUEST_BODY
        self.target = (f"/{kind}/repeated", body)

    def make_request(self, number: str) -> _Request:
        """Return a request; see the base class."""
        identity = f"{REPEATED_REQUEST_PREFIX}{number}"
        headers = {"Prompt-Prefix": f"p0:700,{identity}:40"}
        return _Request(self.target[0], identity, headers)


def connect_proxy(
    server: StandInServer,
    proxy: FaultProxy,
    repeated: RepeatedRequest,
    register: Callable[[], None],
) -> None:
    """Let a server crash, and its proxy refuse connections while it is down.

    Args:
        server: The server.
        proxy: The proxy before it.
        repeated: The request that crashes it, besides prompts with a part.
        register: Called when the server has started again.
    """
    server.crashing_part = CRASHING_PART
    server.crashing_request = repeated.target
    tasks: set[asyncio.Task[None]] = set()

    async def listen() -> None:
        await proxy.listen()
        register()

    def restart() -> None:
        task = asyncio.get_running_loop().create_task(listen())
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server.on_crash = proxy.refuse_connections
    server.on_restart = restart

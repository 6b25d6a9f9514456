"""Requests with one prompt part in common that crash each server."""

import asyncio
import random
from collections.abc import Callable

import aiohttp

from soak.proxy import FaultProxy
from soak.schedule import Fault
from standins.backend_server import StandInServer
from standins.platform_fleet import PlatformFleet

__all__ = ["CRASHING_REQUEST_PREFIX", "CrashingPrompts", "connect_proxy"]

CRASHING_PART = "crashing"
CRASHING_REQUEST_PREFIX = "crashing-"
REQUEST_PAUSE_RANGE_S = (0.05, 0.4)
TIMEOUT_S = 10.0
# How long the requests come in addition to the duration of the fault: so long that some
# come later than the hosts have to refuse them.
MIN_DURATION_S = 8.0


class CrashingPrompts:
    """Sends the requests, which share their other parts with those of callers.

    Args:
        fleet: The hosts.
        seed: Seed of the requests.
    """

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(f"crashing prompts {seed}")
        self._count = 0

    async def run(self, fault: Fault) -> None:
        """Send requests to random hosts for some time."""
        ends_s = asyncio.get_running_loop().time() + MIN_DURATION_S + fault.for_s
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < ends_s:
                group.create_task(self._send())
                await asyncio.sleep(self._rng.uniform(*REQUEST_PAUSE_RANGE_S))

    async def _send(self) -> None:
        rng = self._rng
        host = rng.randrange(len(self._fleet.settings))
        # The id names the host, as servers record only the id.
        identity = f"{CRASHING_REQUEST_PREFIX}{self._count}-{host}"
        self._count += 1
        prompt = f"p{rng.randrange(6)}:700,{CRASHING_PART}:40,{identity}:40"
        headers = {"Prompt-Prefix": prompt}
        try:
            async with (
                asyncio.timeout(TIMEOUT_S),
                self._fleet.request(host, "/chat/x", identity, **headers) as response,
            ):
                await response.read()
        except (aiohttp.ClientError, OSError):
            # The host is down or paused, or the stream was broken off.
            return


def connect_proxy(
    server: StandInServer, proxy: FaultProxy, register: Callable[[], None]
) -> None:
    """Let a server crash, and its proxy refuse connections while it is down.

    Args:
        server: The server.
        proxy: The proxy before it.
        register: Called when the server has started again.
    """
    server.crashing_part = CRASHING_PART
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

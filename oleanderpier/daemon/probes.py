"""What a daemon asks backend servers for: signs of life and cache events."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, NotRequired, TypedDict

import aiohttp
import msgspec
from eliot import log_message

from oleanderpier.configuration import BackendServer
from oleanderpier.membership import Outcome
from oleanderpier.relay import format_url

__all__ = ["CacheEvent", "probe_server", "read_cache_events"]

PROBE_TIMEOUT_S = 2.0
SLOW_S = 1.0
MAX_EVENTS_BYTES = 1 << 20


class _Load(TypedDict):
    leaving: NotRequired[bool]


class CacheEvent(TypedDict):
    """A change of an engine's prefix cache."""

    sequence: int
    kind: str
    chat: str
    tokens: int


class _CacheEvents(TypedDict):
    events: list[CacheEvent]


async def probe_server(
    session: aiohttp.ClientSession, backend_server: BackendServer
) -> Outcome:
    """Ask a backend server for its load, as a sign of life.

    Returns:
        How it took the probe; any answer but an error counts. A server may
        say that it is leaving.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
    url = format_url(backend_server, "/v1/load")
    try:
        async with session.get(url, timeout=timeout) as answer:
            if answer.status >= 500:
                return Outcome.REFUSED
            data = await answer.read()
    except TimeoutError:
        return Outcome.TIMED_OUT
    except (aiohttp.ClientError, OSError):
        return Outcome.REFUSED
    if _is_leaving(data):
        return Outcome.LEAVING
    return Outcome.SLOW if loop.time() - began_s > SLOW_S else Outcome.ANSWERED


def _is_leaving(data: bytes) -> bool:
    try:
        return msgspec.json.decode(data, type=_Load).get("leaving", False)
    except msgspec.MsgspecError:
        return False


async def read_cache_events(
    session: aiohttp.ClientSession,
    servers: Callable[[], Iterable[BackendServer]],
    note: Callable[[str, CacheEvent], None],
    interval_s: float,
) -> None:
    """Read the cache events of engines again and again, until cancelled.

    Args:
        session: Connections to backend servers.
        servers: Returns the engines whose events this host should read.
        note: Takes an engine's name and an event.
        interval_s: Pause between two rounds.
    """
    seen: dict[str, int] = {}
    while True:
        await asyncio.sleep(interval_s)
        current = list(servers())
        seen = {server["name"]: seen.get(server["name"], 0) for server in current}
        for server in current:
            for event in await _fetch_cache_events(
                session, server, seen[server["name"]]
            ):
                seen[server["name"]] = max(seen[server["name"]], event["sequence"])
                note(server["name"], event)


async def _fetch_cache_events(
    session: aiohttp.ClientSession, server: BackendServer, after: int
) -> list[CacheEvent]:
    url = format_url(server, "/v1/cache/events")
    timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
    try:
        async with session.get(
            url, params={"after": str(after)}, timeout=timeout
        ) as answer:
            data: Any = await answer.read()
        return msgspec.json.decode(data[:MAX_EVENTS_BYTES], type=_CacheEvents)["events"]
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
        log_message(
            "daemon:cache_events_not_read", server=server["name"], reason=repr(error)
        )
        return []

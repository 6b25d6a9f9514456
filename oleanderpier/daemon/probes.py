"""HTTP requests to backend servers: health probes and cache events."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, NotRequired, TypedDict

import aiohttp
import msgspec
from eliot import log_message

from oleanderpier.configuration import BackendServer
from oleanderpier.membership import Outcome
from oleanderpier.relay import format_url

__all__ = ["CacheEvent", "poll_cache_events", "probe_server"]

PROBE_TIMEOUT_S = 2.0
SLOW_RESPONSE_S = 1.0
MAX_CACHE_EVENTS_BYTES = 1 << 20


class _LoadResponse(TypedDict):
    """Response to ``GET /v1/load``.

    Attributes:
        leaving: Whether the server is leaving and accepts no new work.
    """

    leaving: NotRequired[bool]


class CacheEvent(TypedDict):
    """A change of an engine's prefix cache.

    Attributes:
        sequence: Number of the event at its engine, rising.
        kind: What changed, such as ``stored`` or ``evicted``.
        chat: The chat whose prefix was affected.
        tokens: Size of that prefix in tokens.
    """

    sequence: int
    kind: str
    chat: str
    tokens: int


class _CacheEventsResponse(TypedDict):
    events: list[CacheEvent]


async def probe_server(
    session: aiohttp.ClientSession, backend_server: BackendServer
) -> Outcome:
    """Probe the health of a backend server by reading its load.

    Args:
        session: The HTTP client for backend servers.
        backend_server: The published entry of the server.

    Returns:
        The outcome of the probe. Any status below 500 is a success; a server
        can also report that it is leaving.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
    url = format_url(backend_server, "/v1/load")
    try:
        async with session.get(url, timeout=timeout) as response:
            if response.status >= 500:
                return Outcome.REFUSED
            body = await response.read()
    except TimeoutError:
        return Outcome.TIMED_OUT
    except (aiohttp.ClientError, OSError):
        return Outcome.REFUSED
    if _reports_leaving(body):
        return Outcome.LEAVING
    return (
        Outcome.SLOW if loop.time() - started_s > SLOW_RESPONSE_S else Outcome.ANSWERED
    )


def _reports_leaving(data: bytes) -> bool:
    try:
        return msgspec.json.decode(data, type=_LoadResponse).get("leaving", False)
    except msgspec.MsgspecError:
        return False


async def poll_cache_events(
    session: aiohttp.ClientSession,
    list_engines: Callable[[], Iterable[BackendServer]],
    notify: Callable[[str, CacheEvent], None],
    interval_s: float,
) -> None:
    """Poll the cache events of engines until cancelled.

    Args:
        session: The HTTP client for backend servers.
        list_engines: Returns the engines whose events this host has to read.
        notify: Called with an engine's name and an event.
        interval_s: Seconds between two rounds.
    """
    last_sequences: dict[str, int] = {}
    while True:
        await asyncio.sleep(interval_s)
        engines = list(list_engines())
        last_sequences = {
            server["name"]: last_sequences.get(server["name"], 0) for server in engines
        }
        for server in engines:
            for event in await _fetch_cache_events(
                session, server, last_sequences[server["name"]]
            ):
                last_sequences[server["name"]] = max(
                    last_sequences[server["name"]], event["sequence"]
                )
                notify(server["name"], event)


async def _fetch_cache_events(
    session: aiohttp.ClientSession, server: BackendServer, after: int
) -> list[CacheEvent]:
    url = format_url(server, "/v1/cache/events")
    timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
    try:
        async with session.get(
            url, params={"after": str(after)}, timeout=timeout
        ) as response:
            body: Any = await response.read()
        return msgspec.json.decode(
            body[:MAX_CACHE_EVENTS_BYTES], type=_CacheEventsResponse
        )["events"]
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
        log_message(
            "daemon:cache_events_not_read", server=server["name"], reason=repr(error)
        )
        return []

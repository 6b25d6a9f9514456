"""Stand-in for the platform's configuration service.

Callers read and watch values under ``/v1/values``; only operators write, with
``PUT /values/{name}``.

Run it as ``python -m standins.platform --port 7000 --publish hosts=hosts.json``.
A caller is identified by its ``User-Agent`` header, or else by its IP address.
"""

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import click
import msgspec
from aiohttp import web

from oleanderpier.exception import SettingsError
from oleanderpier.utils import check_mapping

__all__ = ["CallCounts", "Platform", "PlatformFaults", "main", "make_platform_app"]

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_S = 120.0
SHUTDOWN_TIMEOUT_S = 0.2


class ValueOverrides(TypedDict):
    """Values that some callers receive instead of the published ones.

    Attributes:
        callers: The callers that receive them. If absent, every second caller
            in the order of their first calls.
        values: The values by name.
    """

    callers: NotRequired[list[str]]
    values: dict[str, Any]


class PlatformFaults(TypedDict, total=False):
    """Faults of the platform; each ``POST /faults`` replaces the previous ones.

    Attributes:
        down: Connections are closed without a response, also those that wait.
        stale: Values published from now on are not visible to callers.
        late_s: Delay before each response, in seconds.
        differs: Values that differ from the published ones for some callers.
    """

    down: bool
    stale: bool
    late_s: Annotated[float, msgspec.Meta(ge=0)]
    differs: ValueOverrides


class Value(NamedTuple):
    """A published value, which may be an invalid document.

    Attributes:
        version: The ``version`` field of the document, or None if it has none.
        data: The bytes as published.
    """

    version: Any
    data: bytes


class CallCounts(TypedDict):
    """Counts of the calls to the platform; a watch counts as one call.

    Attributes:
        calls: All calls.
        refused: Calls refused because they exceeded the rate limit.
        waiting: Watches that wait at present.
        by_name: Calls by name of the value.
        by_caller: Calls by caller.
    """

    calls: int
    refused: int
    waiting: int
    by_name: dict[str, int]
    by_caller: dict[str, int]


class RateLimit:
    """Token bucket with a capacity of one second's calls, but at least one call.

    Args:
        calls_per_s: Maximum rate of all callers together; None for no limit.
    """

    def __init__(self, calls_per_s: float | None) -> None:
        self.calls_per_s = calls_per_s
        self._tokens = calls_per_s or 0.0
        self._refilled_at_s = time.monotonic()

    def try_acquire(self) -> bool:
        """Take a token and return whether there was one."""
        if self.calls_per_s is None:
            return True
        now = time.monotonic()
        gained = (now - self._refilled_at_s) * self.calls_per_s
        self._tokens = min(max(self.calls_per_s, 1.0), self._tokens + gained)
        self._refilled_at_s = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Platform:
    """The published values, the active faults and the counts of calls.

    Args:
        calls_per_s: Maximum rate of all callers together; None for no limit.

    Attributes:
        faults: The active faults.
    """

    def __init__(self, calls_per_s: float | None = None) -> None:
        self.faults = PlatformFaults()
        self._rate = RateLimit(calls_per_s)
        self._values: dict[str, Value] = {}
        self._visible_values: dict[str, Value] = {}
        self._changed = asyncio.Event()
        self._by_name: Counter[str] = Counter()
        self._by_caller: Counter[str] = Counter()
        self._refused = 0
        self._waiting = 0

    def publish(self, name: str, data: bytes) -> None:
        """Publish a value under a name, without validating it."""
        self._values[name] = parse_value(data)
        self._update_visible_values()

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the active faults."""
        self.faults = faults
        self._update_visible_values()

    def admit_call(self, caller: str, name: str) -> bool:
        """Count a call and return whether it is within the rate limit."""
        self._by_caller[caller] += 1
        self._by_name[name] += 1
        admitted = self._rate.try_acquire()
        self._refused += not admitted
        return admitted

    def find_value(self, caller: str, name: str) -> Value | None:
        """Return the value that a caller sees under a name, or None."""
        differs = self.faults.get("differs")
        if (
            differs
            and name in differs["values"]
            and self._has_override(caller, differs)
        ):
            return parse_value(msgspec.json.encode(differs["values"][name]))
        return self._visible_values.get(name)

    async def watch(
        self, caller: str, name: str, after: str | None, wait_s: float
    ) -> Value | None:
        """Wait until the version of a value differs from ``after``.

        Args:
            caller: The caller, which determines the value it sees.
            name: Name of the value.
            after: Version that the caller has; None returns any version at once.
            wait_s: Maximum time to wait, in seconds.

        Returns:
            The value, or None if the wait timed out or the platform is down.
        """
        deadline = time.monotonic() + wait_s
        self._waiting += 1
        try:
            while not self.faults.get("down"):
                value = self.find_value(caller, name)
                if value is not None and str(value.version) != after:
                    return value
                if not await self._wait_for_change(deadline):
                    return None
        finally:
            self._waiting -= 1
        return None

    def count_calls(self) -> CallCounts:
        """Return the counts of the calls received so far."""
        return CallCounts(
            calls=self._by_name.total(),
            refused=self._refused,
            waiting=self._waiting,
            by_name=dict(self._by_name),
            by_caller=dict(self._by_caller),
        )

    async def _wait_for_change(self, deadline: float) -> bool:
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _update_visible_values(self) -> None:
        if not self.faults.get("stale"):
            self._visible_values = dict(self._values)
        self._changed.set()
        self._changed = asyncio.Event()

    def _has_override(self, caller: str, differs: ValueOverrides) -> bool:
        callers = differs.get("callers", list(self._by_caller)[::2])
        return caller in callers


def parse_value(data: bytes) -> Value:
    """Return a value with the version that its document contains, if any."""
    try:
        decoded = msgspec.json.decode(data)
    except msgspec.DecodeError:
        decoded = None
    version = decoded.get("version") if isinstance(decoded, dict) else None
    return Value(version, data)


def make_platform_app(platform: Platform) -> web.Application:
    """Return the HTTP application that serves a platform."""

    async def get_value(request: web.Request) -> web.Response:
        return await handle_value_request(platform, request)

    async def put_value(request: web.Request) -> web.Response:
        platform.publish(request.match_info["name"], await request.read())
        return web.Response(status=204)

    async def post_faults(request: web.Request) -> web.Response:
        try:
            faults = check_mapping(
                PlatformFaults, msgspec.json.decode(await request.read())
            )
        except (SettingsError, msgspec.DecodeError) as error:
            return web.Response(status=400, text=str(error))
        platform.set_faults(faults)
        return web.json_response(faults)

    async def get_calls(request: web.Request) -> web.Response:
        return web.json_response(platform.count_calls())

    application = web.Application(client_max_size=MAX_VALUE_BYTES)
    application.router.add_get("/v1/values/{name}", get_value)
    application.router.add_put("/values/{name}", put_value)
    application.router.add_post("/faults", post_faults)
    application.router.add_get("/calls", get_calls)
    return application


async def handle_value_request(
    platform: Platform, request: web.Request
) -> web.Response:
    """Respond to a read or a watch of one value."""
    name = request.match_info["name"]
    caller = request.headers.get("User-Agent") or request.remote or "unknown"
    admitted = platform.admit_call(caller, name)
    await asyncio.sleep(platform.faults.get("late_s", 0.0))
    if platform.faults.get("down"):
        return abort_connection(request)
    if not admitted:
        return web.Response(status=429, headers={"Retry-After": "1"})
    if platform.find_value(caller, name) is None:
        return web.Response(status=404)
    try:
        wait_s = min(float(request.query.get("wait_s", "0")), MAX_WAIT_S)
    except ValueError:
        return web.Response(status=400, text="wait_s: a number of seconds is allowed")
    value = await platform.watch(caller, name, request.query.get("after"), wait_s)
    if platform.faults.get("down"):
        return abort_connection(request)
    if value is None:
        return web.Response(status=304)
    return web.Response(body=value.data, content_type="application/json")


def abort_connection(request: web.Request) -> web.Response:
    """Abort the caller's connection, so that no response arrives."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def serve(
    address: str, port: int, calls_per_s: float | None, files: Iterable[str]
) -> None:
    """Publish files given as ``name=path`` and serve until SIGTERM or SIGINT."""
    platform = Platform(calls_per_s)
    for item in files:
        name, _, path = item.partition("=")
        platform.publish(name, Path(path).read_bytes())
    runner = web.AppRunner(
        make_platform_app(platform),
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        access_log=None,
    )
    await runner.setup()
    await web.TCPSite(runner, address, port).start()
    click.echo(f"platform listens on {address}:{port}")
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await stopped.wait()
    await runner.cleanup()


@click.command()
@click.option("--address", default="127.0.0.1", show_default=True, help="IP address.")
@click.option("--port", type=click.IntRange(1, 65535), required=True, help="TCP port.")
@click.option("--calls-per-s", type=float, help="Rate limit of all calls.")
@click.option("--publish", multiple=True, metavar="NAME=FILE", help="Publish a file.")
def main(address: str, port: int, calls_per_s: float | None, publish: tuple) -> None:
    """Serve the stand-in for the platform until interrupted."""
    asyncio.run(serve(address, port, calls_per_s, publish))


if __name__ == "__main__":
    main()

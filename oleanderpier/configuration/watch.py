"""Watches the platform's documents over HTTP while this host is selected to."""

import asyncio
from random import Random
from typing import Any, NamedTuple

import aiohttp
import msgspec
from eliot import log_message

from oleanderpier.configuration.documents import DocumentName
from oleanderpier.configuration.store import DOCUMENT_NAMES, Documents
from oleanderpier.configuration.watcher_selection import WatcherSelection
from oleanderpier.results import Code

__all__ = ["watch_platform"]

# Time for which the platform may hold a call until the value changes.
LONG_POLL_WAIT_S = 20.0
# Time for the response itself, beyond the wait.
RESPONSE_SLACK_S = 10.0
# Largest pause after a value, so that a burst of changes costs about one call a second.
MAX_PAUSE_S = 1.0
INITIAL_RETRY_S = 1.0
MAX_RETRY_S = 15.0
# Largest interval of reads without a version, which also find a second value that
# was published under the version last read.
FULL_READ_INTERVAL_S = 600.0
MAX_VALUE_BYTES = 4 * 1024 * 1024


class ValueResponse(NamedTuple):
    """The platform's response to a read of a value.

    Attributes:
        changed: Whether the response has a value.
        value: The decoded JSON value, None if there is none.
    """

    changed: bool
    value: Any = None


async def watch_platform(
    session: aiohttp.ClientSession,
    platform_url: str,
    documents: Documents,
    watcher_selection: WatcherSelection,
    rng: Random,
) -> None:
    """Read the documents that the platform publishes and apply them, until cancelled.

    Args:
        session: The HTTP client.
        platform_url: Base URL of the platform, such as ``http://10.0.0.9:80``.
        documents: The documents in force on this host.
        watcher_selection: Decides when this host watches the platform.
        rng: The source of randomness.
    """
    watching = asyncio.Event()

    def set_watching(on: bool) -> None:
        (watching.set if on else watching.clear)()

    set_watching(watcher_selection.is_watching())
    watcher_selection.subscribe(set_watching)
    async with asyncio.TaskGroup() as group:
        for name in DOCUMENT_NAMES:
            url = f"{platform_url}/v1/values/{name}"
            document_watch = _DocumentWatch(
                session, url, name, documents, watcher_selection, rng
            )
            group.create_task(document_watch.run(watching))


class _DocumentWatch:
    """Watches one document by long polling."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        name: DocumentName,
        documents: Documents,
        watcher_selection: WatcherSelection,
        rng: Random,
    ) -> None:
        self._session = session
        self._url = url
        self._name = name
        self._documents = documents
        self._watcher_selection = watcher_selection
        self._rng = rng
        self._last_read_version: int | None = None
        self._retry_delay_s = INITIAL_RETRY_S
        self._next_full_read_s = 0.0

    async def run(self, watching: asyncio.Event) -> None:
        """Read the value repeatedly while this host is selected to watch."""
        while True:
            await watching.wait()
            try:
                response = await self._read_value()
            except (TimeoutError, aiohttp.ClientError, ValueError) as error:
                await self._back_off(error)
                continue
            self._retry_delay_s = INITIAL_RETRY_S
            self._watcher_selection.record_response()
            if response.changed:
                self._apply_value(response.value)
                max_pause_s = (
                    MAX_RETRY_S if self._last_read_version is None else MAX_PAUSE_S
                )
                await asyncio.sleep(max_pause_s * self._rng.uniform(0.5, 1.0))

    async def _read_value(self) -> ValueResponse:
        """Read the value; the platform delays its response until the value changes.

        Raises:
            ValueError: The value is larger than ``MAX_VALUE_BYTES`` or not JSON.
        """
        timeout = aiohttp.ClientTimeout(total=LONG_POLL_WAIT_S + RESPONSE_SLACK_S)
        query = self._make_query()
        async with self._session.get(
            self._url, params=query, timeout=timeout
        ) as response:
            if response.status in (304, 404):
                await self._pause_before_next_call(response.status)
                return ValueResponse(changed=False)
            response.raise_for_status()
            data = await response.content.read(MAX_VALUE_BYTES + 1)
            while chunk := await response.content.read(MAX_VALUE_BYTES + 1 - len(data)):
                data += chunk
        if len(data) > MAX_VALUE_BYTES:
            raise ValueError(f"value of more than {MAX_VALUE_BYTES} bytes")
        return ValueResponse(changed=True, value=msgspec.json.decode(data))

    def _make_query(self) -> dict[str, str]:
        """Return the query parameters of the next read.

        Once per ``FULL_READ_INTERVAL_S`` at most, the query names no version and
        the platform responds at once, with whatever value it has.
        """
        now_s = asyncio.get_running_loop().time()
        if self._last_read_version is None or now_s >= self._next_full_read_s:
            self._next_full_read_s = now_s + FULL_READ_INTERVAL_S * self._rng.uniform(
                0.5, 1.0
            )
            return {}
        return {"after": str(self._last_read_version), "wait_s": str(LONG_POLL_WAIT_S)}

    async def _pause_before_next_call(self, status: int) -> None:
        """Limit the call rate to a platform that responds without waiting."""
        max_pause_s = {304: MAX_PAUSE_S, 404: MAX_RETRY_S}[status]
        await asyncio.sleep(max_pause_s * self._rng.uniform(0.5, 1.0))

    def _apply_value(self, value: Any) -> None:
        current = self._documents.get(self._name)
        version = value.get("version") if isinstance(value, dict) else None
        self._last_read_version = version if type(version) is int else None
        result = self._documents.apply_value(self._name, value)
        if result.is_ok() and current is not None and result.ok.version != version:
            log_message(
                "configuration:platform_behind",
                document=self._name,
                version=version,
                in_force=result.ok.version,
            )

    async def _back_off(self, error: Exception) -> None:
        """Log a failed read and wait; the delay doubles up to ``MAX_RETRY_S``."""
        log_message(
            "configuration:platform_failed",
            code=int(Code.PLATFORM_UNREACHABLE),
            document=self._name,
            reason=repr(error),
        )
        delay_s = self._retry_delay_s * self._rng.uniform(0.5, 1.0)
        self._retry_delay_s = min(MAX_RETRY_S, 2 * self._retry_delay_s)
        await asyncio.sleep(delay_s)

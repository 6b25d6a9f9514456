"""Watches the platform over HTTP while this host has to."""

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

WAIT_S = 20.0
ANSWER_SLACK_S = 10.0
PAUSE_S = 1.0
FIRST_RETRY_S = 1.0
MAX_RETRY_S = 15.0
REREAD_S = 600.0
MAX_VALUE_BYTES = 4 * 1024 * 1024


class Answer(NamedTuple):
    """What the platform answered.

    Attributes:
        changed: Whether a value came.
        value: The decoded JSON value, if one came.
    """

    changed: bool
    value: Any = None


async def watch_platform(
    session: aiohttp.ClientSession,
    platform_url: str,
    documents: Documents,
    duty: WatcherSelection,
    generator: Random,
) -> None:
    """Offer to the documents what the platform publishes, until cancelled.

    Args:
        session: The HTTP client.
        platform_url: The platform's address, such as ``http://10.0.0.9:80``.
        documents: The documents in force on this host.
        duty: Whether this host watches.
        generator: The source of randomness.
    """
    on_duty = asyncio.Event()

    def switch(on: bool) -> None:
        (on_duty.set if on else on_duty.clear)()

    switch(duty.is_watching())
    duty.subscribe(switch)
    async with asyncio.TaskGroup() as group:
        for name in DOCUMENT_NAMES:
            url = f"{platform_url}/v1/values/{name}"
            watch = _Watch(session, url, name, documents, duty, generator)
            group.create_task(watch.run(on_duty))


class _Watch:
    """The task that watches one document."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        name: DocumentName,
        documents: Documents,
        duty: WatcherSelection,
        generator: Random,
    ) -> None:
        self._session = session
        self._url = url
        self._name = name
        self._documents = documents
        self._duty = duty
        self._generator = generator
        self._after: int | None = None
        self._retry_s = FIRST_RETRY_S
        self._reread_s = 0.0

    async def run(self, on_duty: asyncio.Event) -> None:
        """Read the value again and again while on duty."""
        while True:
            await on_duty.wait()
            try:
                answer = await self._read()
            except (TimeoutError, aiohttp.ClientError, ValueError) as error:
                await self._back_off(error)
                continue
            self._retry_s = FIRST_RETRY_S
            self._duty.record_response()
            if answer.changed:
                self._offer(answer.value)
                longest_s = MAX_RETRY_S if self._after is None else PAUSE_S
                await asyncio.sleep(longest_s * self._generator.uniform(0.5, 1.0))

    async def _read(self) -> Answer:
        """Make one call, which waits while the value is the one last read."""
        timeout = aiohttp.ClientTimeout(total=WAIT_S + ANSWER_SLACK_S)
        query = self._make_query()
        async with self._session.get(
            self._url, params=query, timeout=timeout
        ) as response:
            if response.status in (304, 404):
                await self._space_calls(response.status)
                return Answer(changed=False)
            response.raise_for_status()
            data = await response.content.read(MAX_VALUE_BYTES + 1)
            while chunk := await response.content.read(MAX_VALUE_BYTES + 1 - len(data)):
                data += chunk
        if len(data) > MAX_VALUE_BYTES:
            raise ValueError(f"value of more than {MAX_VALUE_BYTES} bytes")
        return Answer(changed=True, value=msgspec.json.decode(data))

    def _make_query(self) -> dict[str, str]:
        """Return the query; now and then it asks for the value as it is.

        A second value under the version last read is found that way.
        """
        now_s = asyncio.get_running_loop().time()
        if self._after is None or now_s >= self._reread_s:
            self._reread_s = now_s + REREAD_S * self._generator.uniform(0.5, 1.0)
            return {}
        return {"after": str(self._after), "wait_s": str(WAIT_S)}

    async def _space_calls(self, status: int) -> None:
        """Keep a platform that answers without waiting from being flooded."""
        longest_s = {304: PAUSE_S, 404: MAX_RETRY_S}[status]
        await asyncio.sleep(longest_s * self._generator.uniform(0.5, 1.0))

    def _offer(self, value: Any) -> None:
        current = self._documents.get(self._name)
        version = value.get("version") if isinstance(value, dict) else None
        self._after = version if type(version) is int else None
        result = self._documents.apply_value(self._name, value)
        if result.is_ok() and current is not None and result.ok.version != version:
            log_message(
                "configuration:platform_behind",
                document=self._name,
                version=version,
                in_force=result.ok.version,
            )

    async def _back_off(self, error: Exception) -> None:
        """Wait longer after each failure, up to a limit."""
        log_message(
            "configuration:platform_failed",
            code=int(Code.PLATFORM_UNREACHABLE),
            document=self._name,
            reason=repr(error),
        )
        delay_s = self._retry_s * self._generator.uniform(0.5, 1.0)
        self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)
        await asyncio.sleep(delay_s)

"""A read-only client of the platform's store."""

import asyncio
import base64
from typing import Any, NamedTuple, NotRequired, TypedDict

import aiohttp
import msgspec
from eliot import log_message

from oleanderpier.connections import make_session, read_body
from oleanderpier.entry import (
    CONFIGURATION,
    CONFIGURATION_KEY,
    EVACUATION_KEY_PREFIX,
    SERVERS,
    encode_server,
    encode_table,
)
from oleanderpier.exception import (
    MessageError,
    PlatformError,
    RevisionCompactedError,
    SettingsError,
)
from oleanderpier.platform.documents import decode_configuration, decode_server
from oleanderpier.replication import Item, ItemsUpdate, get_revision, make_position

__all__ = ["StoreClient", "make_store_session"]

CONFIGURATION_STORE_KEY = "op/config"
KEY_PREFIXES = {CONFIGURATION: CONFIGURATION_STORE_KEY, SERVERS: "servers/"}
# Evacuations are read by the watch of the configuration, since calls have a price.
OPERATOR_PREFIX = "op/"
EVACUATION_STORE_PREFIX = "op/evacuate/"
# Pause before a watch call if the last one returned only keys that are ignored, since
# this one may return at once as well.
IGNORED_CHANGES_PAUSE_S = 0.3
# The store usually responds in milliseconds, but may be a hundred times slower.
RESPONSE_TIMEOUT_S = 1.5
# How much longer than the requested wait a watch call may take.
WATCH_SLACK_S = 0.6
HISTORY_GONE_STATUS = 410
MAX_PAGE_COUNT = 1000
# Pages have about 1 MB; a watch call may return many changes.
MAX_RESPONSE_BYTES = 32 << 20
# Rises by one each time the store returns from a copy that is some seconds old.
ERA_HEADER = "Store-Era"
MAX_ERA = 1 << 16
# Limit on the log lines about values of the header that are no era.
MAX_LOGGED_ERAS = 8
# Limit on the keys whose refused values are remembered, so that each is logged once.
MAX_LOGGED_REFUSALS = 1024
# How often a snapshot is begun again because the era changed between its pages.
MAX_SNAPSHOT_STARTS = 3


class _StoreItem(TypedDict):
    Key: str
    Revision: int
    Value: NotRequired[str]
    Deleted: NotRequired[bool]


class _RangeResponse(TypedDict):
    Items: list[_StoreItem]
    HasMore: bool
    # The store's revision at the time of the response.
    AsOf: int


class _WatchResponse(TypedDict):
    events: list[_StoreItem]
    AsOf: int


class _Response(NamedTuple):
    """A response of the store.

    Attributes:
        era: The store's era at the time of the response.
        body: The decoded body.
    """

    era: int
    body: Any


def make_store_session() -> aiohttp.ClientSession:
    """Return the HTTP client session for a ``StoreClient``.

    Each call opens its own connection: on a kept one, bytes that arrive late could be
    taken for the response to the next call.
    """
    return make_session()


class StoreClient:
    """Reads key spaces of the store and watches them; an ``ItemSource``.

    Args:
        address: The address of the store, ``IP:PORT``.
        session: The HTTP client session.
        reads_evacuations: Whether the key space of the configuration includes the
            evacuations.
    """

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        reads_evacuations: bool = False,
    ) -> None:
        self._url = f"http://{address}"
        self._prefixes = dict(KEY_PREFIXES)
        if reads_evacuations:
            self._prefixes[CONFIGURATION] = OPERATOR_PREFIX
        # Whether the last watch call returned only keys that are ignored.
        self._has_only_ignored = False
        # The services whose servers tolerate few requests while they are cold.
        self._cold_services: frozenset[str] = frozenset()
        self._session = session
        self._era = 0
        self._refusals = _RefusalLog()
        self._logged_eras: set[str | None] = set()

    async def read_snapshot(self, space: str) -> ItemsUpdate:
        """Return a snapshot of a key space.

        Raises:
            PlatformError: The store did not respond, or refused the call.
        """
        for _ in range(MAX_SNAPSHOT_STARTS):
            snapshot = await self._read_pages(space)
            if snapshot is not None:
                return snapshot
        raise PlatformError(f"the era changed while {space} was read")

    async def _read_pages(self, space: str) -> ItemsUpdate | None:
        """Return a snapshot, or None if the era changed between two pages."""
        query = {"Prefix": self._prefixes[space]}
        items: list[Item] = []
        as_of = era = None
        for _ in range(MAX_PAGE_COUNT):
            response = await self._get(
                "/kv-range", query, _RangeResponse, RESPONSE_TIMEOUT_S
            )
            page = response.body
            if era not in (None, response.era):
                return None
            era = response.era
            # Pages are read at different revisions. The snapshot has the lowest
            # of these, so that a watch from there returns changes in between.
            as_of = page["AsOf"] if as_of is None else min(as_of, page["AsOf"])
            items += self._convert_items(space, era, page["Items"])
            if not page["HasMore"] or not page["Items"]:
                return ItemsUpdate(space, 0, make_position(era, as_of), True, items)
            query["After"] = page["Items"][-1]["Key"]
        raise PlatformError(f"more than {MAX_PAGE_COUNT} pages of {space}")

    async def wait_for_changes(
        self, space: str, after: int, wait_s: float
    ) -> ItemsUpdate:
        """Wait for changes after a revision; see ``ItemSource``.

        Raises:
            RevisionCompactedError: The store no longer has the changes since then.
            PlatformError: The store did not respond, or refused the call.
        """
        # Not before the return, which confirms that the replica is the newest.
        if space == CONFIGURATION and self._has_only_ignored:
            await asyncio.sleep(IGNORED_CHANGES_PAUSE_S)
        query = {
            "Prefix": self._prefixes[space],
            "After": str(get_revision(after)),
            "WaitMs": str(round(wait_s * 1000)),
        }
        response = await self._get(
            "/kv-watch", query, _WatchResponse, wait_s + WATCH_SLACK_S
        )
        era, body = response
        items = self._convert_items(space, era, body["events"])
        if space == CONFIGURATION:
            self._has_only_ignored = bool(body["events"]) and not items
        as_of = make_position(era, body["AsOf"])
        return ItemsUpdate(space, after, as_of, False, items)

    async def _get(
        self, path: str, query: dict[str, str], schema: type, timeout_s: float
    ) -> _Response:
        timeout = aiohttp.ClientTimeout(total=timeout_s, connect=RESPONSE_TIMEOUT_S / 2)
        try:
            async with self._session.get(
                f"{self._url}{path}", params=query, timeout=timeout
            ) as response:
                data = await read_body(response, MAX_RESPONSE_BYTES)
                status = response.status
                era = self._read_era(response.headers.get(ERA_HEADER))
        except (aiohttp.ClientError, MessageError, TimeoutError, OSError) as error:
            raise PlatformError(f"{path}: {error!r}") from error
        if status == HISTORY_GONE_STATUS:
            raise RevisionCompactedError(f"{path}: status {status}")
        if status != 200:
            raise PlatformError(f"{path}: status {status}")
        try:
            return _Response(era, msgspec.json.decode(data, type=schema))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise PlatformError(f"{path}: {error}") from error

    def _convert_items(
        self, space: str, era: int, items: list[_StoreItem]
    ) -> list[Item]:
        """Convert the items of a key space; keys that nobody reads are left out."""
        return [
            self._convert_item(space, key, era, item)
            for item in items
            if (key := self._convert_key(space, item["Key"])) is not None
        ]

    def _convert_key(self, space: str, key: str) -> str | None:
        """Return a key of the store as the replicas have it, None to ignore it."""
        prefix = self._prefixes[space]
        if prefix != OPERATOR_PREFIX:
            key = key.removeprefix(prefix)
            return key or CONFIGURATION_KEY if space == CONFIGURATION else key
        if key == CONFIGURATION_STORE_KEY:
            return CONFIGURATION_KEY
        domain = key.removeprefix(EVACUATION_STORE_PREFIX)
        return None if domain in (key, "") else EVACUATION_KEY_PREFIX + domain

    def _convert_item(self, space: str, key: str, era: int, item: _StoreItem) -> Item:
        """Convert an item of the store, decoding its value.

        A value that cannot be decoded becomes empty, and is logged once.

        Args:
            space: The key space.
            key: The key of the replica.
            era: The store's era.
            item: The item.
        """
        revision = make_position(era, item["Revision"])
        if item.get("Deleted") or "Value" not in item:
            self._refusals.record(item["Key"], None)
            return Item(key, revision, None)
        if key.startswith(EVACUATION_KEY_PREFIX) and space == CONFIGURATION:
            # The key alone says that the failure domain is evacuated.
            return Item(key, revision, b"")
        try:
            data = base64.b64decode(item["Value"], validate=True)
            if space == CONFIGURATION:
                value = self._convert_configuration(data)
            else:
                value = self._convert_server(key, data)
        except (SettingsError, ValueError, OverflowError) as error:
            # A number or text that can't be encoded for the other hosts, among others.
            self._refusals.record(item["Key"], str(error))
            return Item(key, revision, b"")
        self._refusals.record(item["Key"], None)
        return Item(key, revision, value)

    def _convert_configuration(self, data: bytes) -> bytes:
        table = decode_configuration(data)
        self._cold_services = frozenset(service.name for service in table.services)
        return encode_table(table)

    def _convert_server(self, identity: str, data: bytes) -> bytes:
        """Return an encoded server entry.

        It states how long the server is cold only if its service has a limit for cold
        servers: the entry would else change with each heartbeat to no purpose.
        """
        entry = decode_server(identity, data)
        if entry.service not in self._cold_services:
            entry = entry._replace(cold_remaining_s=0.0)
        return encode_server(entry)

    def _read_era(self, text: str | None) -> int:
        """Return the era that a response states; else the last one, with a log line."""
        if text is not None and text.isascii() and text.isdigit():
            era = int(text)
            if era <= MAX_ERA:
                self._era = max(self._era, era)
                return era
        if text not in self._logged_eras and len(self._logged_eras) < MAX_LOGGED_ERAS:
            self._logged_eras.add(text)
            log_message(
                "store:era_unknown",
                found=text,
                allowed=f"a whole number up to {MAX_ERA}",
                assumed=self._era,
            )
        return self._era


class _RefusalLog:
    """Logs each value that cannot be decoded once, not each time that it is read."""

    def __init__(self) -> None:
        self._reasons: dict[str, str] = {}

    def record(self, key: str, reason: str | None) -> None:
        """Log why the value of a key is refused, unless that is known.

        Args:
            key: The key.
            reason: The reason; None if the value is valid.
        """
        if reason == self._reasons.pop(key, None):
            if reason is not None:
                self._reasons[key] = reason
            return
        if reason is None:
            return
        if len(self._reasons) >= MAX_LOGGED_REFUSALS:
            del self._reasons[next(iter(self._reasons))]
        self._reasons[key] = reason
        log_message("store:value_refused", key=key, reason=reason)

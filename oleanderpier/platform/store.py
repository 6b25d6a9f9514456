"""A read-only client of the platform's store."""

import base64
import binascii
from typing import Any, NotRequired, TypedDict

import aiohttp
import msgspec
from eliot import log_message

from oleanderpier.entry import (
    CONFIGURATION,
    CONFIGURATION_KEY,
    SERVERS,
    encode_server,
    encode_table,
)
from oleanderpier.exception import PlatformError, RevisionCompactedError, SettingsError
from oleanderpier.platform.documents import decode_configuration, decode_server
from oleanderpier.replication import Item, ItemsUpdate

__all__ = ["StoreClient"]

KEY_PREFIXES = {CONFIGURATION: "op/config", SERVERS: "servers/"}
# The store usually responds in milliseconds, but may be a hundred times slower.
RESPONSE_TIMEOUT_S = 1.5
# How much longer than the requested wait a watch call may take.
WATCH_SLACK_S = 0.6
HISTORY_GONE_STATUS = 410
MAX_PAGE_COUNT = 1000


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


class StoreClient:
    """Reads key spaces of the store and watches them; an ``ItemSource``.

    Args:
        address: The address of the store, ``IP:PORT``.
        session: The HTTP client session.
    """

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._url = f"http://{address}"
        self._session = session

    async def read_snapshot(self, space: str) -> ItemsUpdate:
        """Return a snapshot of a key space.

        Raises:
            PlatformError: The store did not respond, or refused the call.
        """
        query = {"Prefix": KEY_PREFIXES[space]}
        items: list[Item] = []
        as_of = None
        for _ in range(MAX_PAGE_COUNT):
            page = await self._get(
                "/kv-range", query, _RangeResponse, RESPONSE_TIMEOUT_S
            )
            # Pages are read at different revisions. The snapshot has the lowest
            # of these, so that a watch from there returns changes in between.
            as_of = page["AsOf"] if as_of is None else min(as_of, page["AsOf"])
            items += [_convert_item(space, item) for item in page["Items"]]
            if not page["HasMore"] or not page["Items"]:
                return ItemsUpdate(space, 0, as_of, True, items)
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
        query = {
            "Prefix": KEY_PREFIXES[space],
            "After": str(after),
            "WaitMs": str(round(wait_s * 1000)),
        }
        response = await self._get(
            "/kv-watch", query, _WatchResponse, wait_s + WATCH_SLACK_S
        )
        items = [_convert_item(space, item) for item in response["events"]]
        return ItemsUpdate(space, after, response["AsOf"], False, items)

    async def _get(
        self, path: str, query: dict[str, str], schema: type, timeout_s: float
    ) -> Any:
        timeout = aiohttp.ClientTimeout(total=timeout_s, connect=RESPONSE_TIMEOUT_S / 2)
        try:
            async with self._session.get(
                f"{self._url}{path}", params=query, timeout=timeout
            ) as response:
                data = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformError(f"{path}: {error!r}") from error
        if status == HISTORY_GONE_STATUS:
            raise RevisionCompactedError(f"{path}: status {status}")
        if status != 200:
            raise PlatformError(f"{path}: status {status}")
        try:
            return msgspec.json.decode(data, type=schema)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise PlatformError(f"{path}: {error}") from error


def _convert_item(space: str, item: _StoreItem) -> Item:
    """Convert an item of the store, decoding its value.

    A value that cannot be decoded becomes empty, and is logged.
    """
    key = item["Key"].removeprefix(KEY_PREFIXES[space]) or CONFIGURATION_KEY
    if item.get("Deleted") or "Value" not in item:
        return Item(key, item["Revision"], None)
    try:
        data = base64.b64decode(item["Value"], validate=True)
        if space == CONFIGURATION:
            value = encode_table(decode_configuration(data))
        else:
            value = encode_server(decode_server(key, data))
    except (SettingsError, binascii.Error) as error:
        log_message("store:value_refused", key=item["Key"], reason=str(error))
        return Item(key, item["Revision"], b"")
    return Item(key, item["Revision"], value)

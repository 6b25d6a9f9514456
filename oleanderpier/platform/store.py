"""The client of the platform's store, which is only read."""

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
from oleanderpier.replication import Item, ItemNews

__all__ = ["StoreClient"]

PREFIXES = {CONFIGURATION: "op/config", SERVERS: "servers/"}
# The store answers in milliseconds, and up to a hundred times slower.
ANSWER_TIMEOUT_S = 1.5
# How much later than asked for a call that waits may be answered.
WAIT_SLACK_S = 0.6
HISTORY_GONE_STATUS = 410
MOST_PAGES = 1000


class _Item(TypedDict):
    Key: str
    Revision: int
    Value: NotRequired[str]
    Deleted: NotRequired[bool]


class _Range(TypedDict):
    Items: list[_Item]
    HasMore: bool
    # The store's revision at the time of the answer.
    AsOf: int


class _Events(TypedDict):
    events: list[_Item]
    AsOf: int


class StoreClient:
    """Reads key spaces of the store and waits for changes.

    Args:
        address: Where the store is, ``IP:PORT``.
        session: The HTTP client.
    """

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._url = f"http://{address}"
        self._session = session

    async def read_all(self, space: str) -> ItemNews:
        """Return every item of a key space.

        Raises:
            PlatformError: There is no answer, or a refusal.
        """
        query = {"Prefix": PREFIXES[space]}
        items: list[Item] = []
        as_of = None
        for _ in range(MOST_PAGES):
            page = await self._get("/kv-range", query, _Range, ANSWER_TIMEOUT_S)
            # Pages are taken at different times; what changed between them
            # comes again with the changes after the first.
            as_of = page["AsOf"] if as_of is None else min(as_of, page["AsOf"])
            items += [_translate(space, item) for item in page["Items"]]
            if not page["HasMore"] or not page["Items"]:
                return ItemNews(space, 0, as_of, True, items)
            query["After"] = page["Items"][-1]["Key"]
        raise PlatformError(f"more than {MOST_PAGES} pages of {space}")

    async def wait_for_news(self, space: str, after: int, wait_s: float) -> ItemNews:
        """Return what changed later than a revision, as soon as something has.

        Raises:
            RevisionCompactedError: The store no longer knows that revision.
            PlatformError: There is no answer, or a refusal.
        """
        query = {
            "Prefix": PREFIXES[space],
            "After": str(after),
            "WaitMs": str(round(wait_s * 1000)),
        }
        answer = await self._get("/kv-watch", query, _Events, wait_s + WAIT_SLACK_S)
        items = [_translate(space, item) for item in answer["events"]]
        return ItemNews(space, after, answer["AsOf"], False, items)

    async def _get(
        self, path: str, query: dict[str, str], schema: type, timeout_s: float
    ) -> Any:
        timeout = aiohttp.ClientTimeout(total=timeout_s, connect=ANSWER_TIMEOUT_S / 2)
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


def _translate(space: str, item: _Item) -> Item:
    """Return an item with the project's own form of its value."""
    key = item["Key"].removeprefix(PREFIXES[space]) or CONFIGURATION_KEY
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

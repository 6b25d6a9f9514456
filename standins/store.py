"""Stand-in for the platform's key-value store, with a single revision counter."""

import asyncio
import base64
from typing import Any

import msgspec
from aiohttp import web

__all__ = ["StandInStore"]

WATCH_POLL_INTERVAL_S = 0.02


class StandInStore:
    """Key-value store that serves range reads and watches over HTTP.

    Attributes:
        refuses_calls: Whether every call is answered with status 503.
        call_count: Number of calls received so far.
        snapshot_count: Number of range reads received so far.
        snapshot_delay_s: How long each range read takes.
        era: How often the store has returned from a copy, sent as ``Store-Era`` in all
            responses; None to send no such header.
    """

    def __init__(self) -> None:
        self.refuses_calls = False
        self.call_count = 0
        self.snapshot_count = 0
        self.snapshot_delay_s = 0.0
        self.era: int | None = 1
        self._copy: tuple[int, dict[str, dict[str, Any]], int] = (0, {}, 0)
        self._revision = 0
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []

    def put(self, key: str, document: Any) -> int:
        """Store a document as JSON, or delete the key if it is None.

        Returns:
            The new revision of the store.
        """
        return self.put_bytes(
            key, None if document is None else msgspec.json.encode(document)
        )

    def put_bytes(self, key: str, data: bytes | None) -> int:
        """Store any bytes, or delete the key if they are None.

        Returns:
            The new revision of the store.
        """
        self._revision += 1
        event: dict[str, Any] = {"Key": key, "Revision": self._revision}
        if data is None:
            self._items.pop(key, None)
            event["Deleted"] = True
        else:
            value = base64.b64encode(data).decode()
            event.update(Value=value, CreatedRev=self._revision, Lease=0)
            self._items[key] = event
        self._history.append(event)
        return self._revision

    def save_copy(self) -> None:
        """Save the copy from which the store returns."""
        self._copy = (self._revision, dict(self._items), len(self._history))

    def return_from_copy(self) -> None:
        """Lose everything since ``save_copy``; a new era begins."""
        self._revision, items, length = self._copy
        self._items = dict(items)
        del self._history[length:]
        if self.era is not None:
            self.era += 1

    def _make_headers(self) -> dict[str, str]:
        return {} if self.era is None else {"Store-Era": str(self.era)}

    def make_app(self) -> web.Application:
        """Return the HTTP application that serves the store."""
        app = web.Application()
        app.router.add_get("/kv-range", self._handle_range)
        app.router.add_get("/kv-watch", self._handle_watch)
        return app

    async def _handle_range(self, request: web.Request) -> web.Response:
        self.call_count += 1
        self.snapshot_count += 1
        await asyncio.sleep(self.snapshot_delay_s)
        if self.refuses_calls:
            return web.Response(status=503, headers=self._make_headers())
        prefix = request.query["Prefix"]
        items = [item for key, item in self._items.items() if key.startswith(prefix)]
        return web.json_response(
            {"Items": items, "HasMore": False, "AsOf": self._revision},
            headers=self._make_headers(),
        )

    async def _handle_watch(self, request: web.Request) -> web.Response:
        self.call_count += 1
        prefix, after = request.query["Prefix"], int(request.query["After"])
        if after > self._revision:
            return web.Response(status=410, headers=self._make_headers())
        steps = int(int(request.query["WaitMs"]) / 1000 / WATCH_POLL_INTERVAL_S)
        for step in range(steps + 1):
            if self.refuses_calls:
                return web.Response(status=503, headers=self._make_headers())
            events = [
                event
                for event in self._history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            # Nothing is awaited between the break and the response, so that the
            # revision in it is the one at which the events were listed.
            if events or step == steps:
                break
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)
        return web.json_response(
            {"events": events, "AsOf": self._revision}, headers=self._make_headers()
        )

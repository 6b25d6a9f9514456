"""A stand-in for the platform's store: items by key, with one revision."""

import asyncio
import base64
from typing import Any

import msgspec
from aiohttp import web

__all__ = ["StandInStore"]

WAIT_STEP_S = 0.02


class StandInStore:
    """Serves key ranges and watches over HTTP, and can be made to refuse.

    Attributes:
        refuses: Whether every call is answered with status 503.
        calls: How many calls came.
    """

    def __init__(self) -> None:
        self.refuses = False
        self.calls = 0
        self._revision = 0
        self._items: dict[str, dict[str, Any]] = {}
        self._log: list[dict[str, Any]] = []

    def put(self, key: str, document: Any) -> int:
        """Write a value as JSON, or delete the key with None."""
        self._revision += 1
        event: dict[str, Any] = {"Key": key, "Revision": self._revision}
        if document is None:
            self._items.pop(key, None)
            event["Deleted"] = True
        else:
            data = base64.b64encode(msgspec.json.encode(document)).decode()
            event.update(Value=data, CreatedRev=self._revision, Lease=0)
            self._items[key] = event
        self._log.append(event)
        return self._revision

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/kv-range", self._answer_range)
        app.router.add_get("/kv-watch", self._answer_watch)
        return app

    async def _answer_range(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self.refuses:
            return web.Response(status=503)
        prefix = request.query["Prefix"]
        items = [item for key, item in self._items.items() if key.startswith(prefix)]
        return web.json_response(
            {"Items": items, "HasMore": False, "AsOf": self._revision}
        )

    async def _answer_watch(self, request: web.Request) -> web.Response:
        self.calls += 1
        prefix, after = request.query["Prefix"], int(request.query["After"])
        steps = int(int(request.query["WaitMs"]) / 1000 / WAIT_STEP_S)
        for step in range(steps + 1):
            if self.refuses:
                return web.Response(status=503)
            events = [
                event
                for event in self._log
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            # The revision is that of the moment at which the events were listed.
            if events or step == steps:
                break
            await asyncio.sleep(WAIT_STEP_S)
        return web.json_response({"events": events, "AsOf": self._revision})

"""Tests of the task that watches a platform, over real HTTP."""

import asyncio
from random import Random
from typing import Any

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer
from testtools import TestCase

from oleanderpier.configuration import Documents, watch, watch_platform
from oleanderpier.configuration.tests.fakes import make_value

LIMIT_S = 10.0


class FakeDuty:
    """Always on duty; counts the platform's answers."""

    def __init__(self) -> None:
        self.confirmed = 0

    def is_watching(self) -> bool:
        """Return that this host watches."""
        return True

    def subscribe(self, callback: Any) -> None:
        """Never change."""

    def record_response(self) -> None:
        """Count an answer."""
        self.confirmed += 1


def answer(body: str, status: int = 200) -> web.Response:
    """Return a response of the platform."""
    return web.Response(text=body, status=status)


def encode(version: int) -> web.Response:
    """Return the response with a good value of a version."""
    return web.json_response(make_value(version))


async def watch_script(script: list[Any], version: int) -> tuple[Documents, Any, list]:
    """Let a platform answer by a script until a version is in force."""
    queries: list[Any] = []

    async def serve(request: web.Request) -> web.Response:
        if request.match_info["name"] != "configuration":
            return answer("", 404)
        queries.append(dict(request.query))
        if not script:
            await asyncio.sleep(LIMIT_S)
        step = script.pop(0)
        if step is None:
            request.transport.close()
            return answer("")
        return step()

    application = web.Application()
    application.router.add_get("/v1/values/{name}", serve)
    documents, duty = Documents(), FakeDuty()
    done = asyncio.Event()

    def note(published: Any) -> None:
        if published.version >= version:
            done.set()

    documents.subscribe("configuration", note)
    async with TestServer(application) as server, aiohttp.ClientSession() as session:
        url = str(server.make_url("")).rstrip("/")
        task = asyncio.create_task(
            watch_platform(session, url, documents, duty, Random(1))
        )
        await asyncio.wait_for(done.wait(), LIMIT_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    return documents, duty, queries


FAULTS = {
    "connection closed": None,
    "error status": lambda: answer("", 503),
    "not JSON": lambda: answer("{"),
    "bad value": lambda: web.json_response({"version": 2, "classes": 1}),
    "older value": lambda: encode(1),
    "nothing new": lambda: answer("", 304),
}


class WatchTest(TestCase):
    """The task goes on after every fault and offers what comes after it."""

    def setUp(self) -> None:
        """Shorten the pauses."""
        super().setUp()
        for name in ("PAUSE_S", "FIRST_RETRY_S", "MAX_RETRY_S"):
            self.patch(watch, name, 0.02)

    def test_faults(self):
        """After each fault the next good value comes into force."""
        for label, step in FAULTS.items():
            script = [lambda: encode(2), step, lambda: encode(3)]
            with self.subTest(label=label):
                documents, _, queries = asyncio.run(watch_script(script, 3))
                self.assertEqual(3, documents.get("configuration").version)
                self.assertNotIn("after", queries[0])
                self.assertEqual("2", queries[1]["after"])

    def test_follows_what_was_read(self):
        """The next call names the version last read, not the one in force."""
        script = [lambda: encode(5), lambda: encode(4), lambda: encode(6)]
        _, _, queries = asyncio.run(watch_script(script, 6))
        self.assertEqual(["5", "4"], [query["after"] for query in queries[1:3]])

    def test_bad_value_keeps_the_good_one(self):
        """A bad value is remembered as refused."""
        script = [lambda: encode(2), FAULTS["bad value"], lambda: encode(3)]
        documents, duty, _ = asyncio.run(watch_script(script, 3))
        self.assertEqual(["configuration"], [r.name for r in documents.list_refusals()])
        self.assertGreaterEqual(duty.confirmed, 3)

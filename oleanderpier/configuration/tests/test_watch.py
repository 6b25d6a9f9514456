"""Tests of the watch of the platform, over real HTTP."""

import asyncio
from random import Random
from typing import Any

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer
from testtools import TestCase

from oleanderpier.configuration import Documents, watch, watch_platform
from oleanderpier.configuration.tests.fakes import make_configuration_value

TEST_TIMEOUT_S = 10.0


class FakeWatcherSelection:
    """Always selected to watch; counts the platform's responses."""

    def __init__(self) -> None:
        self.response_count = 0

    def is_watching(self) -> bool:
        """Return that this host watches."""
        return True

    def subscribe(self, callback: Any) -> None:
        """Do nothing, as the selection never changes."""

    def record_response(self) -> None:
        """Count a response."""
        self.response_count += 1


def make_response(body: str, status: int = 200) -> web.Response:
    """Return a response of the platform."""
    return web.Response(text=body, status=status)


def make_value_response(version: int) -> web.Response:
    """Return the response with a valid value of a version."""
    return web.json_response(make_configuration_value(version))


async def watch_scripted_platform(
    script: list[Any], version: int
) -> tuple[Documents, Any, list]:
    """Watch a scripted platform until a version is in force.

    Args:
        script: One step for each call: a function that makes the response, or
            None to close the connection.
        version: The version to wait for.

    Returns:
        The documents, the fake watcher selection, and the query of each call.
    """
    queries: list[Any] = []

    async def serve(request: web.Request) -> web.Response:
        if request.match_info["name"] != "configuration":
            return make_response("", 404)
        queries.append(dict(request.query))
        if not script:
            await asyncio.sleep(TEST_TIMEOUT_S)
        step = script.pop(0)
        if step is None:
            request.transport.close()
            return make_response("")
        return step()

    application = web.Application()
    application.router.add_get("/v1/values/{name}", serve)
    documents, watcher_selection = Documents(), FakeWatcherSelection()
    done = asyncio.Event()

    def check_version(published: Any) -> None:
        if published.version >= version:
            done.set()

    documents.subscribe("configuration", check_version)
    async with TestServer(application) as server, aiohttp.ClientSession() as session:
        url = str(server.make_url("")).rstrip("/")
        task = asyncio.create_task(
            watch_platform(session, url, documents, watcher_selection, Random(1))
        )
        await asyncio.wait_for(done.wait(), TEST_TIMEOUT_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    return documents, watcher_selection, queries


FAULTS = {
    "connection closed": None,
    "error status": lambda: make_response("", 503),
    "not JSON": lambda: make_response("{"),
    "bad value": lambda: web.json_response({"version": 2, "classes": 1}),
    "older value": lambda: make_value_response(1),
    "nothing new": lambda: make_response("", 304),
}


class WatchTest(TestCase):
    """The watch continues after every fault and applies the next value."""

    def setUp(self) -> None:
        """Shorten the pauses and retry delays."""
        super().setUp()
        for name in ("MAX_PAUSE_S", "INITIAL_RETRY_S", "MAX_RETRY_S"):
            self.patch(watch, name, 0.02)

    def test_next_value_is_applied_after_each_fault(self):
        """After each fault the next valid value comes into force."""
        for label, step in FAULTS.items():
            script = [
                lambda: make_value_response(2),
                step,
                lambda: make_value_response(3),
            ]
            with self.subTest(label=label):
                documents, _, queries = asyncio.run(watch_scripted_platform(script, 3))
                self.assertEqual(3, documents.get("configuration").version)
                self.assertNotIn("after", queries[0])
                self.assertEqual("2", queries[1]["after"])

    def test_query_names_last_read_version(self):
        """The next call names the version last read, not the one in force.

        Otherwise a platform that has reverted to an older version would respond
        to each call at once.
        """
        script = [
            lambda: make_value_response(5),
            lambda: make_value_response(4),
            lambda: make_value_response(6),
        ]
        _, _, queries = asyncio.run(watch_scripted_platform(script, 6))
        self.assertEqual(["5", "4"], [query["after"] for query in queries[1:3]])

    def test_invalid_value_is_recorded_as_refused(self):
        """An invalid value is recorded as refused, and the watch continues."""
        script = [
            lambda: make_value_response(2),
            FAULTS["bad value"],
            lambda: make_value_response(3),
        ]
        documents, watcher_selection, _ = asyncio.run(
            watch_scripted_platform(script, 3)
        )
        self.assertEqual(["configuration"], [r.name for r in documents.list_refusals()])
        self.assertGreaterEqual(watcher_selection.response_count, 3)

"""Contract tests of a model engine, and tests of its stand-in's faults.

The contract tests also run against another engine, whose base URL is given in
``ENGINE_URL``; they inject no faults.
"""

import asyncio
import contextlib
import json
import os
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
from testtools import TestCase

from standins.engine import Engine, EngineOptions, make_engine_app
from standins.generation import compose_response

MESSAGES = ["a first message of a chat", "and a second one"]


@contextlib.asynccontextmanager
async def open_engine() -> AsyncIterator[aiohttp.ClientSession]:
    """Yield a client session for the engine under test."""
    async with contextlib.AsyncExitStack() as stack:
        url = os.environ.get("ENGINE_URL")
        if url is None:
            options = EngineOptions("engine", token_interval_s=0.001, heartbeat_s=0.25)
            runner = web.AppRunner(
                make_engine_app(Engine(options)), access_log=None, shutdown_timeout=0.1
            )
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        yield await stack.enter_async_context(aiohttp.ClientSession(url))


def make_body(request: str, **fields) -> dict:
    """Return the body of a generation request."""
    body = {"request": request, "chat": request, "model": "drafting", "offset": 0}
    body |= {"messages": MESSAGES, "max_tokens": 6, "priority": 1}
    return {**body, **fields}


async def generate(session: aiohttp.ClientSession, **fields) -> list[dict]:
    """Return the fields of each event of a response, without heartbeats."""
    async with session.post("/v1/generate", json=make_body(**fields)) as response:
        assert response.status == 200
        assert response.content_type == "text/event-stream"
        blocks = (await response.text()).split("\n\n")
    assert blocks.pop() == ""
    blocks = [block for block in blocks if not block.startswith(":")]
    events = [dict(line.split(": ", 1) for line in b.split("\n")) for b in blocks]
    return [{**event, "data": json.loads(event["data"])} for event in events]


class EngineContractTest(TestCase):
    """The interface of a model engine in docs/INTERFACES.md."""

    def test_stream_offsets_and_total(self):
        """Offsets are contiguous; the end event contains the total."""

        async def run() -> list[dict]:
            async with open_engine() as session:
                return await generate(session, request="stream")

        *tokens, end = asyncio.run(run())
        self.assertEqual([f"stream:{i}" for i in range(6)], [t["id"] for t in tokens])
        self.assertTrue(all(isinstance(t["data"]["text"], str) for t in tokens))
        self.assertEqual(("end", "stream:6"), (end["event"], end["id"]))
        self.assertEqual({"total": 6, "reused": 0}, end["data"])

    def test_resume_at_each_offset(self):
        """A response resumed at any offset continues with the same text."""

        async def run() -> None:
            async with open_engine() as session:
                whole = await generate(session, request="resume")
                for offset in range(7):
                    part = await generate(session, request="resume", offset=offset)
                    self.assertEqual(whole[offset:-1], part[:-1])
                    self.assertEqual(6, part[-1]["data"]["total"])

        asyncio.run(run())

    def test_returning_chat_reuses_cache(self):
        """The prompt prefix of a returning chat is read from the cache."""

        async def run() -> dict:
            async with open_engine() as session:
                await generate(session, request="a", chat="returning")
                longer = [*MESSAGES, "a third"]
                events = await generate(
                    session, request="b", chat="returning", messages=longer
                )
                return events[-1]["data"]

        self.assertGreater(asyncio.run(run())["reused"], 0)

    def test_heartbeat_and_cancel(self):
        """Heartbeats are sent; a cancelled stream ends without an end event."""

        async def run() -> tuple:
            async with open_engine() as session:
                body = make_body("long", max_tokens=100_000)
                seen = rest = b""
                async with session.post("/v1/generate", json=body) as response:
                    while seen.count(b"\n:") < 2:
                        seen += await response.content.readany()
                    load = await read(session, "/v1/load")
                    cancelled = await send(session, "DELETE", "/v1/generate/long")
                    unknown = await send(session, "DELETE", "/v1/generate/unknown")
                    with contextlib.suppress(aiohttp.ClientError):
                        while chunk := await response.content.readany():
                            rest += chunk
                return load, cancelled[0], unknown[0], rest

        load, cancelled, unknown, rest = asyncio.run(run())
        self.assertEqual({"running", "waiting", "slots", "sequence"}, set(load))
        self.assertEqual((204, 204), (cancelled, unknown))
        self.assertNotIn(b"event: end", rest)

    def test_cache_events_and_transfer(self):
        """Cache events have ascending numbers; KV data can be exported and imported."""

        async def run() -> tuple:
            async with open_engine() as session:
                for index in range(20):
                    await generate(session, request=f"cache-{index}")
                exported, data = await send(session, "GET", "/v1/cache/cache-1")
                imported, _ = await send(session, "PUT", "/v1/cache/moved", data=data)
                missing, _ = await send(session, "GET", "/v1/cache/nobody")
                await asyncio.sleep(0.5)
                events = (await read(session, "/v1/cache/events?after=0"))["events"]
                after = events[3]["sequence"]
                later = await read(session, f"/v1/cache/events?after={after}")
                return events, later["events"], (exported, imported, missing)

        events, later, statuses = asyncio.run(run())
        self.assertEqual((200, 204, 404), statuses)
        numbers = [event["sequence"] for event in events]
        self.assertEqual(sorted(set(numbers)), numbers)
        self.assertEqual({"sequence", "kind", "chat", "tokens"}, set(events[0]))
        self.assertEqual(events[4:], later)

    def test_order_with_outdated_fence_refused(self):
        """An order with an older fence is refused; other fences are accepted."""
        fences = [(5, 200), (4, 409), (5, 200), (6, 200), (5, 409)]

        async def run() -> list[int]:
            async with open_engine() as session:
                return [await order(session, fence) for fence, _ in fences]

        self.assertEqual([status for _, status in fences], asyncio.run(run()))

    def test_malformed_body_refused(self):
        """A body that does not match the schema is refused with status 400."""

        async def run() -> list[int]:
            async with open_engine() as session:
                bodies = [{}, make_body("x", offset=-1), make_body("x", extra=1)]
                return [await post(session, "/v1/generate", body) for body in bodies]

        self.assertEqual([400, 400, 400], asyncio.run(run()))


class EngineFaultTest(TestCase):
    """Injected faults, which only the stand-in supports."""

    def test_outdated_fence_accepted_without_fencing(self):
        """With fencing ignored, an order with an older fence is accepted."""

        async def run() -> list[int]:
            async with open_engine() as session:
                await post(session, "/faults", {"fencing": "ignored"})
                return [await order(session, fence) for fence in (5, 4)]

        self.assertEqual([200, 200], asyncio.run(run()))

    def test_open_connection_goes_silent(self):
        """``silent_after`` stops open connections and their heartbeats only."""

        async def run() -> tuple:
            async with open_engine() as session:
                body = make_body("old", max_tokens=100_000)
                async with session.post("/v1/generate", json=body) as old:
                    await old.content.readany()
                    await post(session, "/faults", {"silent_after": 3})
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(0.6):
                            while await old.content.readany():
                                pass
                    new = await generate(session, request="new")
                    old.close()
                return len(new), await read(session, "/counts")

        events, counts = asyncio.run(run())
        self.assertEqual(7, events)
        self.assertEqual((2, 1), (counts["started"], counts["finished"]))

    def test_unknown_fault_refused(self):
        """A misspelt fault is refused and the active faults are kept."""

        async def run() -> tuple:
            async with open_engine() as session:
                await post(session, "/faults", {"skip": 2})
                refused = await post(session, "/faults", {"skips": 3})
                return refused, await read(session, "/faults")

        self.assertEqual((400, {"skip": 2}), asyncio.run(run()))

    def test_response_is_computable(self):
        """The whole response can be computed from the messages alone."""

        async def run() -> list[dict]:
            async with open_engine() as session:
                return await generate(session, request="same")

        texts = [event["data"].get("text") for event in asyncio.run(run())[:-1]]
        self.assertEqual(compose_response(MESSAGES, 6), texts)


async def read(session: aiohttp.ClientSession, path: str) -> dict:
    """Return the JSON response to a GET."""
    async with session.get(path) as response:
        return await response.json()


async def order(session: aiohttp.ClientSession, fence: int) -> int:
    """Send an order with a fence and return the status."""
    body = {"fence": fence, "kind": "load_model", "subject": "drafting"}
    return await post(session, "/v1/orders", body)


async def post(session: aiohttp.ClientSession, path: str, body: dict) -> int:
    """Post a JSON body and return the status."""
    return (await send(session, "POST", path, json=body))[0]


async def send(
    session: aiohttp.ClientSession, method: str, path: str, **options
) -> tuple[int, bytes]:
    """Send a request and return the status and the body."""
    async with session.request(method, path, **options) as response:
        return response.status, await response.read()

"""Tests of the store's client against the stand-in, over HTTP."""

import asyncio
import base64
import json
import time

from aiohttp import web
from eliot import add_destinations, remove_destination
from testtools import TestCase

from oleanderpier.entry import CONFIGURATION, SERVERS, decode_server
from oleanderpier.exception import PlatformError, RevisionCompactedError
from oleanderpier.platform import store as store_module
from oleanderpier.platform.store import StoreClient, make_store_session
from oleanderpier.replication import get_era, get_revision, make_position
from oleanderpier.utils import run_coroutine
from standins.store import StandInStore

ENTRY = {
    "Service": "office",
    "Address": "127.0.0.1:1",
    "Zone": "d",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 1,
}


class PagedStore:
    """Store that sends a list of eras, one with each page of one item.

    Args:
        eras: The value of the header in each response; None for none.
    """

    def __init__(self, eras: list[str | None]) -> None:
        self._eras = eras
        self.calls = 0

    def make_app(self) -> web.Application:
        """Return the HTTP application that serves the pages."""
        app = web.Application()
        app.router.add_get("/kv-range", self._handle_range)
        return app

    async def _handle_range(self, request: web.Request) -> web.Response:
        era = self._eras[min(self.calls, len(self._eras) - 1)]
        self.calls += 1
        last = "After" in request.query
        item = {"Key": f"servers/i-{int(last)}", "Revision": 3, "Deleted": True}
        return web.json_response(
            {"Items": [item], "HasMore": not last, "AsOf": 7},
            headers={} if era is None else {"Store-Era": era},
        )


async def call_store(store, call, **options):
    """Serve a store, and return the result of a call with a client of it."""
    runner = web.AppRunner(store.make_app())
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    try:
        async with make_store_session() as session:
            return await call(StoreClient(f"127.0.0.1:{port}", session, **options))
    finally:
        await runner.cleanup()


class RepeatingStore:
    """Store that sends each response once more, after some time.

    The second copy arrives when the connection would be in use again.
    """

    def make_app(self) -> web.Application:
        """Return the HTTP application that serves the watches."""
        app = web.Application()
        app.router.add_get("/kv-watch", self._handle_watch)
        return app

    async def _handle_watch(self, request: web.Request) -> web.Response:
        item = {"Key": request.query["Prefix"] + "i-1", "Revision": 5, "Deleted": True}
        after = int(request.query["After"])
        events = [] if after else [item]
        body = json.dumps({"events": events, "AsOf": max(9, after)}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        loop = asyncio.get_running_loop()
        if not after:
            loop.call_later(0.1, self._write, request.transport, head + body)
        else:
            await asyncio.sleep(0.2)
        response = web.Response(body=body)
        await response.prepare(request)
        return response

    def _write(self, transport: asyncio.Transport, data: bytes) -> None:
        if not transport.is_closing():
            transport.write(data)


class SecondCopyTest(TestCase):
    """A call gets its own response, whatever arrives on earlier connections."""

    def test_second_copy_of_response_is_not_taken_for_that_of_the_next_call(self):
        """The next call watches another key space, from a later revision."""

        async def call(client: StoreClient) -> tuple:
            first = await client.wait_for_changes(SERVERS, 0, 0.3)
            await asyncio.sleep(0.05)
            second = await client.wait_for_changes(
                CONFIGURATION, make_position(0, 20), 0.3
            )
            return len(first.items), second.items, get_revision(second.as_of)

        self.assertEqual((1, [], 20), run_coroutine(call_store(RepeatingStore(), call)))


class EraTest(TestCase):
    """Positions have the era of the response."""

    def read(self, eras: list[str | None]):
        """Return a snapshot of a store that sends these eras, and its calls."""
        store = PagedStore(eras)

        async def call(client: StoreClient):
            return await client.read_snapshot(SERVERS)

        return run_coroutine(call_store(store, call)), store.calls

    def test_positions_have_the_era(self):
        """The snapshot and its items are of the era that the header states."""
        update, _ = self.read(["3"])
        self.assertEqual(make_position(3, 7), update.as_of)
        self.assertEqual({3}, {get_era(item.revision) for item in update.items})

    def test_snapshot_that_straddles_eras_is_read_again(self):
        """Pages of two eras are no snapshot."""
        update, calls = self.read(["1", "2", "2", "2"])
        self.assertEqual((2, 4), (get_era(update.as_of), calls))

    def test_era_that_never_settles(self):
        """A store whose era changes between all pages gives an error."""
        eras = [str(number) for number in range(20)]
        self.assertRaises(PlatformError, self.read, eras)

    def test_missing_or_invalid_era(self):
        """Without a number the last known era is assumed, at first none."""
        for text in (None, "new", "-1", "1.5", "99999999", ""):
            update, _ = self.read([text])
            self.assertEqual(
                (0, 7), (get_era(update.as_of), get_revision(update.as_of))
            )
        update, calls = self.read(["4", None])
        self.assertEqual((4, 2), (get_era(update.as_of), calls))

    def test_watch_sends_revision_without_era(self):
        """A watch names the revision, and its response has the era."""
        store = StandInStore()
        store.era = 5
        store.put("servers/i-1", ENTRY)
        store.put("servers/i-2", ENTRY)

        async def call(client: StoreClient):
            changes = await client.wait_for_changes(SERVERS, make_position(5, 1), 0.1)
            store.save_copy()
            store.put("servers/i-3", ENTRY)
            store.return_from_copy()
            after = make_position(5, 3)
            try:
                await client.wait_for_changes(SERVERS, after, 0.1)
            except RevisionCompactedError as error:
                return changes, error

        changes, error = run_coroutine(call_store(store, call))
        self.assertEqual(
            ["i-2"], [item.key.rpartition("/")[2] for item in changes.items]
        )
        self.assertEqual(make_position(5, 2), changes.as_of)
        self.assertTrue(error.needs_full_read)


class _EndlessStore:
    """Store that sends a page without end."""

    def make_app(self) -> web.Application:
        """Return the HTTP application that serves the page."""
        app = web.Application()
        app.router.add_get("/kv-range", self._handle_range)
        return app

    async def _handle_range(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        block = b" " * 1000
        while True:
            await response.write(block)


class EndlessResponseTest(TestCase):
    """A response of the store is bounded."""

    def test_endless_page_is_a_failure_of_the_platform(self):
        """The bound ends it, not the timeout."""
        self.patch(store_module, "MAX_RESPONSE_BYTES", 10_000)

        async def call(client: StoreClient):
            return await client.read_snapshot(SERVERS)

        error = self.assertRaises(
            PlatformError, run_coroutine, call_store(_EndlessStore(), call)
        )
        self.assertIn("more than 10000 bytes", str(error))


class _OddStore:
    """Store with one item that can't be decoded or sent on.

    Args:
        key: The key of the item.
        value: Its value, as the response has it.
    """

    def __init__(self, key: str, value: str) -> None:
        self._item = {"Key": key, "Revision": 5, "Value": value}

    def make_app(self) -> web.Application:
        """Return the HTTP application that serves the item."""
        app = web.Application()
        app.router.add_get("/kv-range", self._handle_range)
        return app

    async def _handle_range(self, request: web.Request) -> web.Response:
        return web.json_response({"Items": [self._item], "HasMore": False, "AsOf": 7})


class OddValueTest(TestCase):
    """A value that can't be decoded or sent to other hosts becomes empty."""

    def test_odd_values(self):
        """Text that is not base64, deep nesting, and numbers of over 64 bits."""
        nested = json.dumps({**ENTRY, "Service": "@"}).replace(
            '"@"', "[" * 900 + "]" * 900
        )
        table = json.dumps(
            {"Version": 10**30, "Routes": [], "Limits": {"MaxBodyBytes": 1}}
        )
        for space, key, value in (
            (SERVERS, "servers/i-1", "\u00e9"),
            (SERVERS, "servers/i-1", "a"),
            (SERVERS, "servers/i-1", base64.b64encode(nested.encode()).decode()),
            (CONFIGURATION, "op/config", base64.b64encode(table.encode()).decode()),
        ):
            update = run_coroutine(
                call_store(
                    _OddStore(key, value),
                    lambda client, of=space: client.read_snapshot(of),
                )
            )
            self.assertEqual([b""], [item.value for item in update.items], value[:20])

    def test_refused_value_is_logged_once_until_it_changes(self):
        """It is read again with each snapshot; the line names the field."""
        incomplete = {name: ENTRY[name] for name in ("Service", "Zone", "State")}
        lines: list[dict] = []

        async def read(client: StoreClient) -> None:
            for entry in (incomplete, incomplete, ENTRY, ENTRY, incomplete):
                store.put("servers/i-1", entry)
                await client.read_snapshot(SERVERS)

        store = StandInStore()
        add_destinations(lines.append)
        # The first destination gets the messages of before as well.
        lines.clear()
        try:
            run_coroutine(call_store(store, read))
        finally:
            remove_destination(lines.append)
        refusals = [
            line for line in lines if line["message_type"] == "store:value_refused"
        ]
        self.assertEqual(["servers/i-1"] * 2, [line["key"] for line in refusals])
        self.assertIn("Address", refusals[0]["reason"])


SERVICE = {"Name": "office", "ColdStartS": 20, "ColdPerS": 11}
CONFIGURATION_DOCUMENT = {"Version": 1, "Routes": [], "Limits": {"MaxBodyBytes": 1}}


class EvacuationTest(TestCase):
    """Evacuations are read with the configuration, if the settings ask for it."""

    def read(self, **options) -> tuple[list, list]:
        """Return the keys and values of a snapshot, and of the changes after it."""
        store = StandInStore()
        store.put("op/config", CONFIGURATION_DOCUMENT)
        store.put("op/evacuate/alpena", {})
        store.put("op/release", {"odd": True})

        async def call(client: StoreClient):
            snapshot = await client.read_snapshot(CONFIGURATION)
            store.put("op/evacuate/alpena", None)
            store.put_bytes("op/evacuate/ghent", b"not JSON")
            store.put("op/other", {})
            changes = await client.wait_for_changes(CONFIGURATION, snapshot.as_of, 0.1)
            return snapshot.items, changes.items

        items = run_coroutine(call_store(store, call, **options))
        self.assertEqual(2, store.call_count)
        return tuple([(item.key, item.value) for item in each] for each in items)

    def test_evacuations_are_items_beside_the_routes(self):
        """The key alone counts; other keys of the operator are ignored."""
        snapshot, changes = self.read(reads_evacuations=True)
        self.assertEqual(["routes", "evacuate/alpena"], [key for key, _ in snapshot])
        # Empty, as hosts of earlier builds retain other values over a deletion.
        self.assertEqual(b"", snapshot[1][1])
        self.assertEqual([("evacuate/alpena", None), ("evacuate/ghent", b"")], changes)

    def test_without_the_setting_only_the_configuration_is_read(self):
        """Hosts without the bound call the store as before."""
        snapshot, changes = self.read()
        self.assertEqual(["routes"], [key for key, _ in snapshot])
        self.assertEqual([], changes)

    def test_ignored_keys_cause_no_further_calls(self):
        """A key that is written all the time does not multiply the calls."""

        async def call(client: StoreClient) -> None:
            after = make_position(1, 0)
            for _ in range(3):
                store.put("op/release", {})
                changes = await client.wait_for_changes(CONFIGURATION, after, 1.0)
                self.assertEqual([], changes.items)
                after = changes.as_of

        store = StandInStore()
        self.patch(store_module, "IGNORED_CHANGES_PAUSE_S", 0.1)
        started_s = time.monotonic()
        run_coroutine(call_store(store, call, reads_evacuations=True))
        self.assertGreaterEqual(time.monotonic() - started_s, 0.2)

    def test_cold_time_is_kept_for_services_with_a_cold_rate(self):
        """Other entries keep the bytes of earlier builds, and change no more often."""

        async def call(client: StoreClient) -> list[float]:
            times = []
            for services in ([], [SERVICE]):
                store.put("op/config", {**CONFIGURATION_DOCUMENT, "Services": services})
                await client.read_snapshot(CONFIGURATION)
                snapshot = await client.read_snapshot(SERVERS)
                entry = decode_server(snapshot.items[0].value)
                times.append(entry.cold_remaining_s)
            return times

        store = StandInStore()
        store.put("servers/i-1", {**ENTRY, "ColdRemainingMs": 2500})
        self.assertEqual([0.0, 2.5], run_coroutine(call_store(store, call)))

"""Contract of the callers' interface, as docs/INTERFACES.md has it.

Runs against a small fleet, or against a host elsewhere with
``CALLER_URL=http://IP:PORT``, which must have the classes and workspaces of
``docs/examples/configuration.json`` or of ``demo/fleet.py``.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
from testtools import TestCase

from demo.__main__ import find_caller_url
from demo.fleet import Fleet
from oleanderpier.results import list_codes
from oleanderpier.utils import make_key

TOKENS = 12
CHAT = {
    "workspace": "co-op",
    "class": "trip-summary",
    "chat": "contract",
    "messages": ["hello"],
    "max_tokens": TOKENS,
}
CALL = {"workspace": "co-op", "class": "balance-lookup", "body": {"crew": "1"}}
PAYOUT = {**CALL, "class": "payout-post"}
EVENT = re.compile(r"id: (\S+):(\d+)\ndata: (\{.*\})")


class Refused(NamedTuple):
    """A request that has to be refused, and how."""

    path: str
    body: Any
    code: int


REFUSALS = [
    Refused("/v1/chats", {**CHAT, "workspace": "nobody"}, 102),
    Refused("/v1/chats", {**CHAT, "class": "nothing"}, 103),
    Refused("/v1/chats", {**CHAT, "class": "balance-lookup"}, 103),
    Refused("/v1/chats", {**CHAT, "max_tokens": 0}, 101),
    Refused("/v1/chats", {**CHAT, "surplus": 1}, 101),
    Refused("/v1/chats", [], 101),
    Refused("/v1/calls", PAYOUT, 105),
    Refused("/v1/calls", {**PAYOUT, "key": "no-uuid"}, 104),
    Refused("/v1/calls", {**PAYOUT, "key": 5}, 207),
    Refused("/v1/calls", {**CALL, "workspace": "nobody"}, 102),
]


@contextlib.asynccontextmanager
async def open_host() -> AsyncIterator[str]:
    """Yield the base of a host's caller interface."""
    if "CALLER_URL" in os.environ:
        yield os.environ["CALLER_URL"]
        return
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), hosts=3, engines=2) as fleet:
            yield find_caller_url(fleet, "host-0")


async def check_addresses(test: TestCase, session: Any, url: str) -> None:
    """The directory names hosts, and how long to keep them."""
    async with session.get(f"{url}/v1/addresses?workspace=co-op") as answer:
        value = await answer.json()
    test.assertEqual({"addresses", "keep_s"}, set(value))
    test.assertTrue(value["keep_s"] > 0)
    for row in value["addresses"]:
        test.assertEqual({"host", "address", "port"}, set(row))
    test.assertTrue(value["addresses"])


async def check_chat(test: TestCase, session: Any, url: str) -> None:
    """Offsets run from 0 without gaps; the last event has the total."""
    async with session.post(f"{url}/v1/chats", json=CHAT) as answer:
        test.assertEqual(200, answer.status)
        test.assertEqual("text/event-stream", answer.content_type)
        text = (await answer.read()).decode()
    events = [event for event in text.split("\n\n") if event and event[0] != ":"]
    matches = [EVENT.fullmatch(event) for event in events[:-1]]
    test.assertEqual(list(range(TOKENS)), [int(match[2]) for match in matches])
    test.assertEqual(1, len({match[1] for match in matches}))
    test.assertTrue(events[-1].startswith("event: end\n"))
    end = json.loads(events[-1].partition("data: ")[2])
    test.assertEqual((0, TOKENS), (end["code"], end["total"]))
    test.assertIn("reused", end)


async def check_refusals(test: TestCase, session: Any, url: str) -> None:
    """A refusal has its code's name, fate and status, and a time if any."""
    table = {int(entry.code): entry for entry in list_codes()}
    for refused in REFUSALS:
        async with session.post(url + refused.path, json=refused.body) as answer:
            value = await answer.json()
        entry = table[refused.code]
        expected = (refused.code, entry.code.name, entry.fate.value, entry.http_status)
        found = (value["code"], value["name"], value["fate"], answer.status)
        test.assertEqual(expected, found, refused)
        has_time = value["retry_after_s"] is not None
        test.assertEqual(has_time, "Retry-After" in answer.headers, refused)


async def check_calls(test: TestCase, session: Any, url: str) -> None:
    """A call is answered; one with a key is told the same again, and looked up."""
    async with session.post(f"{url}/v1/calls", json=CALL) as answer:
        value = await answer.json()
    test.assertEqual((0, "done"), (value["code"], value["fate"]))
    key = make_key(time.time(), random.Random(time.time_ns()))
    told = []
    for _ in range(2):
        async with session.post(f"{url}/v1/calls", json={**PAYOUT, "key": key}) as one:
            told.append(await one.json())
    async with session.get(f"{url}/v1/calls/{key}") as answer:
        told.append(await answer.json())
    test.assertEqual(["done"] * 3, [value["fate"] for value in told])
    test.assertEqual([told[0]["body"]] * 3, [value["body"] for value in told])


class CallerContractTest(TestCase):
    """Every call of the interface, with its refusals."""

    def test_contract(self):
        """Addresses, chats, refusals and calls."""

        async def run() -> None:
            async with open_host() as url, aiohttp.ClientSession() as session:
                for check in (check_addresses, check_chat, check_refusals, check_calls):
                    await check(self, session, url)

        asyncio.run(run())

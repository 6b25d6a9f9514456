"""Contract tests of the caller interface in docs/INTERFACES.md.

They run against a new small fleet, or against the host at
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

TOKEN_COUNT = 12
CHAT_BODY = {
    "workspace": "co-op",
    "class": "trip-summary",
    "chat": "contract",
    "messages": ["hello"],
    "max_tokens": TOKEN_COUNT,
}
LOOKUP_BODY = {"workspace": "co-op", "class": "balance-lookup", "body": {"crew": "1"}}
PAYOUT_BODY = {**LOOKUP_BODY, "class": "payout-post"}
EVENT_PATTERN = re.compile(r"id: (\S+):(\d+)\ndata: (\{.*\})")


class ExpectedRefusal(NamedTuple):
    """A request that has to be refused.

    Attributes:
        path: Path of the request.
        body: JSON body of the request.
        code: Expected result code.
    """

    path: str
    body: Any
    code: int


EXPECTED_REFUSALS = [
    ExpectedRefusal("/v1/chats", {**CHAT_BODY, "workspace": "nobody"}, 102),
    ExpectedRefusal("/v1/chats", {**CHAT_BODY, "class": "nothing"}, 103),
    ExpectedRefusal("/v1/chats", {**CHAT_BODY, "class": "balance-lookup"}, 103),
    ExpectedRefusal("/v1/chats", {**CHAT_BODY, "max_tokens": 0}, 101),
    ExpectedRefusal("/v1/chats", {**CHAT_BODY, "surplus": 1}, 101),
    ExpectedRefusal("/v1/chats", [], 101),
    ExpectedRefusal("/v1/calls", PAYOUT_BODY, 105),
    ExpectedRefusal("/v1/calls", {**PAYOUT_BODY, "key": "no-uuid"}, 104),
    ExpectedRefusal("/v1/calls", {**PAYOUT_BODY, "key": 5}, 207),
    ExpectedRefusal("/v1/calls", {**LOOKUP_BODY, "workspace": "nobody"}, 102),
]


@contextlib.asynccontextmanager
async def open_caller_interface() -> AsyncIterator[str]:
    """Yield the base URL of a host's caller interface."""
    if "CALLER_URL" in os.environ:
        yield os.environ["CALLER_URL"]
        return
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), hosts=3, engines=2) as fleet:
            yield find_caller_url(fleet, "host-0")


async def check_addresses(test: TestCase, session: Any, url: str) -> None:
    """Check that the directory returns hosts and how long to keep them."""
    async with session.get(f"{url}/v1/addresses?workspace=co-op") as response:
        value = await response.json()
    test.assertEqual({"addresses", "keep_s"}, set(value))
    test.assertTrue(value["keep_s"] > 0)
    for row in value["addresses"]:
        test.assertEqual({"host", "address", "port"}, set(row))
    test.assertTrue(value["addresses"])


async def check_chat(test: TestCase, session: Any, url: str) -> None:
    """Check that offsets are contiguous from 0 and the last event has the total."""
    async with session.post(f"{url}/v1/chats", json=CHAT_BODY) as response:
        test.assertEqual(200, response.status)
        test.assertEqual("text/event-stream", response.content_type)
        text = (await response.read()).decode()
    events = [event for event in text.split("\n\n") if event and event[0] != ":"]
    matches = [EVENT_PATTERN.fullmatch(event) for event in events[:-1]]
    test.assertEqual(list(range(TOKEN_COUNT)), [int(match[2]) for match in matches])
    test.assertEqual(1, len({match[1] for match in matches}))
    test.assertTrue(events[-1].startswith("event: end\n"))
    end = json.loads(events[-1].partition("data: ")[2])
    test.assertEqual((0, TOKEN_COUNT), (end["code"], end["total"]))
    test.assertIn("reused", end)


async def check_refusals(test: TestCase, session: Any, url: str) -> None:
    """Check the name, fate, status and retry time of each expected refusal."""
    table = {int(entry.code): entry for entry in list_codes()}
    for expected_refusal in EXPECTED_REFUSALS:
        async with session.post(
            url + expected_refusal.path, json=expected_refusal.body
        ) as response:
            value = await response.json()
        entry = table[expected_refusal.code]
        expected = (
            expected_refusal.code,
            entry.code.name,
            entry.fate.value,
            entry.http_status,
        )
        found = (value["code"], value["name"], value["fate"], response.status)
        test.assertEqual(expected, found, expected_refusal)
        has_time = value["retry_after_s"] is not None
        test.assertEqual(has_time, "Retry-After" in response.headers, expected_refusal)


async def check_calls(test: TestCase, session: Any, url: str) -> None:
    """Check that calls are answered and that a key gives the same result again."""
    async with session.post(f"{url}/v1/calls", json=LOOKUP_BODY) as response:
        value = await response.json()
    test.assertEqual((0, "done"), (value["code"], value["fate"]))
    key = make_key(time.time(), random.Random(time.time_ns()))
    responses = []
    for _ in range(2):
        async with session.post(
            f"{url}/v1/calls", json={**PAYOUT_BODY, "key": key}
        ) as response:
            responses.append(await response.json())
    async with session.get(f"{url}/v1/calls/{key}") as response:
        responses.append(await response.json())
    test.assertEqual(["done"] * 3, [value["fate"] for value in responses])
    test.assertEqual([responses[0]["body"]] * 3, [value["body"] for value in responses])


class CallerContractTest(TestCase):
    """Every request of the interface, with its refusals."""

    def test_caller_interface(self):
        """Addresses, chats, refusals and calls conform to the interface."""

        async def run() -> None:
            async with (
                open_caller_interface() as url,
                aiohttp.ClientSession() as session,
            ):
                for check in (check_addresses, check_chat, check_refusals, check_calls):
                    await check(self, session, url)

        asyncio.run(run())

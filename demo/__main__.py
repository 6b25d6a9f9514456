"""Runs the demo: ``python -m demo``.

Returning chats, a payout and a balance lookup are sent, then one daemon is killed
and one drained while responses stream. The exit status is 0 only if every outcome
is as expected.
"""

import asyncio
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from demo.caller import Caller, ChatResponse
from demo.fleet import LOOPBACK_ADDRESS, Fleet
from oleanderpier.utils import make_key
from standins.generation import compose_response

CHAT_COUNT = 6
TURN_COUNT = 3
TOKEN_COUNT = 60
LONG_TOKEN_COUNT = 200
STREAM_COUNT = 6
SIGNAL_DELAY_S = 0.7


class Outcome(NamedTuple):
    """One row of the result table.

    Attributes:
        description: What was tested.
        correct: Number of correct results.
        total: Number of results.
    """

    description: str
    correct: int
    total: int


def is_correct(response: ChatResponse, messages: list[str], tokens: int) -> bool:
    """Return whether a response is complete and has the expected text."""
    return response.complete and response.text == "".join(
        compose_response(messages, tokens)
    )


def find_caller_url(fleet: Fleet, name: str) -> str:
    """Return the base URL of a host's caller interface."""
    host = next(host for host in fleet.hosts if host["name"] == name)
    return f"http://{LOOPBACK_ADDRESS}:{host['caller_port']}"


async def run_chats(fleet: Fleet, caller: Caller) -> Outcome:
    """Run several chats of several turns, each with a longer prompt than the last."""

    async def run_chat(index: int) -> int:
        messages = [f"summarise trip {index}"]
        correct = 0
        for turn in range(TURN_COUNT):
            response = await caller.request_chat(f"trip-{index}", messages, TOKEN_COUNT)
            correct += is_correct(response, messages, TOKEN_COUNT)
            messages = [*messages, response.text, f"and what of day {turn}?"]
        return correct

    counts = await asyncio.gather(*(run_chat(index) for index in range(CHAT_COUNT)))
    return Outcome(
        "returning chats with complete responses", sum(counts), CHAT_COUNT * TURN_COUNT
    )


async def run_payout(fleet: Fleet, caller: Caller) -> list[Outcome]:
    """Post a payout and repeat it with the same key at another host."""
    key = make_key(time.time(), random.Random())
    body = {"crew": "deckhand-7", "cents": 184_250}
    first = await caller.request_call("payout-post", body, key)
    repeated = await caller.request_call("payout-post", body, key, caller.urls[-1])
    executions = (await fleet.count_executions()).get(key, 0)
    return [
        Outcome("payout posted", int(first.fate == "done"), 1),
        Outcome("repeated payout reported as done", int(repeated.fate == "done"), 1),
        Outcome("payout executed exactly once", int(executions == 1), 1),
    ]


async def run_lookup(fleet: Fleet, caller: Caller) -> Outcome:
    """Look up a balance."""
    response = await caller.request_call("balance-lookup", {"crew": "deckhand-7"})
    return Outcome("balance looked up", int(response.fate == "done"), 1)


def start_streams(caller: Caller, prefix: str, message: str, url: str) -> list:
    """Start a task for each of several chat requests to one host."""
    return [
        asyncio.create_task(
            caller.request_chat(f"{prefix}-{index}", [message], LONG_TOKEN_COUNT, url)
        )
        for index in range(STREAM_COUNT)
    ]


async def run_kill(fleet: Fleet, caller: Caller) -> list[Outcome]:
    """Kill a daemon while it streams; repeat the requests at the next address."""
    killed_host = fleet.hosts[0]["name"]
    url = find_caller_url(fleet, killed_host)
    messages = ["season ledger review"]
    streams = start_streams(caller, "kill", messages[0], url)
    await asyncio.sleep(SIGNAL_DELAY_S)
    fleet.send_signal(killed_host, signal.SIGKILL)
    cut_responses = await asyncio.gather(*streams)
    other_url = find_caller_url(fleet, fleet.hosts[1]["name"])
    repeated_responses = await asyncio.gather(
        *start_streams(caller, "kill", messages[0], other_url)
    )
    detected = sum(not response.complete for response in cut_responses)
    correct = sum(
        is_correct(response, messages, LONG_TOKEN_COUNT)
        for response in repeated_responses
    )
    return [
        Outcome("responses cut by the kill, detected as cut", detected, STREAM_COUNT),
        Outcome("the same chats, answered by another host", correct, STREAM_COUNT),
    ]


async def run_drain(fleet: Fleet, caller: Caller) -> list[Outcome]:
    """Drain a daemon while it streams; it still serves callers that know it."""
    drained_host = fleet.hosts[2]["name"]
    url = find_caller_url(fleet, drained_host)
    messages = ["weld inspection report"]
    streams = start_streams(caller, "drain", messages[0], url)
    await asyncio.sleep(SIGNAL_DELAY_S)
    fleet.send_signal(drained_host, signal.SIGTERM)
    await asyncio.sleep(0.5)
    late_response = await caller.request_chat("drain-late", messages, TOKEN_COUNT, url)
    caller.directory_url = find_caller_url(fleet, fleet.hosts[1]["name"])
    listed_urls = {
        address for _ in range(20) for address in await caller.refresh_addresses()
    }
    responses = await asyncio.gather(*streams)
    async with asyncio.timeout(20):
        status = await fleet.processes[drained_host].wait()
    correct = sum(
        is_correct(response, messages, LONG_TOKEN_COUNT) for response in responses
    )
    return [
        Outcome("responses complete during the drain", correct, STREAM_COUNT),
        Outcome(
            "cached address still served",
            int(is_correct(late_response, messages, TOKEN_COUNT)),
            1,
        ),
        Outcome("removed from the directory at once", int(url not in listed_urls), 1),
        Outcome("drained daemon ended with status 0", int(status == 0), 1),
    ]


async def run_demo(folder: Path) -> list[Outcome]:
    """Run every step and return the rows of the table."""
    async with Fleet(folder) as fleet:
        directory_url = find_caller_url(fleet, fleet.hosts[1]["name"])
        caller = Caller(fleet.session, directory_url, "duluth-boats")
        await caller.refresh_addresses()
        outcomes = [await run_chats(fleet, caller)]
        outcomes += await run_payout(fleet, caller)
        outcomes.append(await run_lookup(fleet, caller))
        outcomes += await run_kill(fleet, caller)
        outcomes += await run_drain(fleet, caller)
    return outcomes


def main() -> int:
    """Run the demo, print its result table and return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        outcomes = asyncio.run(run_demo(Path(folder)))
    for outcome in outcomes:
        verdict = "pass" if outcome.correct == outcome.total else "FAIL"
        print(
            f"{verdict}  {outcome.correct:>3}/{outcome.total:<3}  {outcome.description}"
        )
    return int(any(outcome.correct != outcome.total for outcome in outcomes))


if __name__ == "__main__":
    sys.exit(main())

"""Runs the demo: ``python -m demo``.

Chats return, a payout and a balance lookup run, one daemon is killed and one
drained while answers stream. Exit status 0 only if every outcome was right.
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
    """One row of the table: how many of a kind were right."""

    description: str
    correct: int
    total: int


def is_correct(answer: ChatResponse, messages: list[str], tokens: int) -> bool:
    """Return whether an answer is whole and the very one that was asked for."""
    return answer.complete and answer.text == "".join(
        compose_response(messages, tokens)
    )


def find_caller_url(fleet: Fleet, name: str) -> str:
    """Return the base of a host's caller interface."""
    host = next(host for host in fleet.hosts if host["name"] == name)
    return f"http://{LOOPBACK_ADDRESS}:{host['caller_port']}"


async def run_chats(fleet: Fleet, caller: Caller) -> Outcome:
    """Let several chats return, each turn longer than the one before."""

    async def run_chat(index: int) -> int:
        messages = [f"summarise trip {index}"]
        right = 0
        for turn in range(TURN_COUNT):
            answer = await caller.request_chat(f"trip-{index}", messages, TOKEN_COUNT)
            right += is_correct(answer, messages, TOKEN_COUNT)
            messages = [*messages, answer.text, f"and what of day {turn}?"]
        return right

    rights = await asyncio.gather(*(run_chat(index) for index in range(CHAT_COUNT)))
    return Outcome(
        "returning chats answered whole", sum(rights), CHAT_COUNT * TURN_COUNT
    )


async def run_payout(fleet: Fleet, caller: Caller) -> list[Outcome]:
    """Post a payout, and ask again for it with the same key elsewhere."""
    key = make_key(time.time(), random.Random())
    body = {"crew": "deckhand-7", "cents": 184_250}
    first = await caller.request_call("payout-post", body, key)
    again = await caller.request_call("payout-post", body, key, caller.urls[-1])
    executions = (await fleet.count_executions()).get(key, 0)
    return [
        Outcome("payout posted", int(first.fate == "done"), 1),
        Outcome("payout asked again, told as done", int(again.fate == "done"), 1),
        Outcome("payout executed exactly once", int(executions == 1), 1),
    ]


async def run_lookup(fleet: Fleet, caller: Caller) -> Outcome:
    """Look up a balance."""
    answer = await caller.request_call("balance-lookup", {"crew": "deckhand-7"})
    return Outcome("balance looked up", int(answer.fate == "done"), 1)


def start_streams(caller: Caller, prefix: str, message: str, url: str) -> list:
    """Begin to ask several chats at one host."""
    return [
        asyncio.create_task(
            caller.request_chat(f"{prefix}-{index}", [message], LONG_TOKEN_COUNT, url)
        )
        for index in range(STREAM_COUNT)
    ]


async def run_kill(fleet: Fleet, caller: Caller) -> list[Outcome]:
    """Kill a daemon under its streams; ask again at the next address."""
    victim = fleet.hosts[0]["name"]
    url = find_caller_url(fleet, victim)
    messages = ["season ledger review"]
    streams = start_streams(caller, "kill", messages[0], url)
    await asyncio.sleep(SIGNAL_DELAY_S)
    fleet.send_signal(victim, signal.SIGKILL)
    cut = await asyncio.gather(*streams)
    other = find_caller_url(fleet, fleet.hosts[1]["name"])
    again = await asyncio.gather(*start_streams(caller, "kill", messages[0], other))
    seen = sum(not answer.whole for answer in cut)
    right = sum(is_correct(answer, messages, LONG_TOKEN_COUNT) for answer in again)
    return [
        Outcome("answers cut by the kill, seen as cut", seen, STREAM_COUNT),
        Outcome("the same chats, answered at another host", right, STREAM_COUNT),
    ]


async def run_drain(fleet: Fleet, caller: Caller) -> list[Outcome]:
    """Drain a daemon under its streams; kept addresses still serve."""
    leaving = fleet.hosts[2]["name"]
    url = find_caller_url(fleet, leaving)
    messages = ["weld inspection report"]
    streams = start_streams(caller, "drain", messages[0], url)
    await asyncio.sleep(SIGNAL_DELAY_S)
    fleet.send_signal(leaving, signal.SIGTERM)
    await asyncio.sleep(0.5)
    late = await caller.request_chat("drain-late", messages, TOKEN_COUNT, url)
    caller.directory_url = find_caller_url(fleet, fleet.hosts[1]["name"])
    offered = {
        address for _ in range(20) for address in await caller.refresh_addresses()
    }
    answers = await asyncio.gather(*streams)
    async with asyncio.timeout(20):
        status = await fleet.processes[leaving].wait()
    right = sum(is_correct(answer, messages, LONG_TOKEN_COUNT) for answer in answers)
    return [
        Outcome("answers whole through the drain", right, STREAM_COUNT),
        Outcome(
            "kept address still served", int(is_correct(late, messages, TOKEN_COUNT)), 1
        ),
        Outcome("directory left at once", int(url not in offered), 1),
        Outcome("drained daemon ended with status 0", int(status == 0), 1),
    ]


async def run_demo(folder: Path) -> list[Outcome]:
    """Run every scene and return the table."""
    async with Fleet(folder) as fleet:
        directory = find_caller_url(fleet, fleet.hosts[1]["name"])
        caller = Caller(fleet.session, directory, "duluth-boats")
        await caller.refresh_addresses()
        outcomes = [await run_chats(fleet, caller)]
        outcomes += await run_payout(fleet, caller)
        outcomes.append(await run_lookup(fleet, caller))
        outcomes += await run_kill(fleet, caller)
        outcomes += await run_drain(fleet, caller)
    return outcomes


def main() -> int:
    """Run the demo, print its table and return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        outcomes = asyncio.run(run_demo(Path(folder)))
    for outcome in outcomes:
        verdict = "right" if outcome.correct == outcome.total else "WRONG"
        print(
            f"{verdict}  {outcome.correct:>3}/{outcome.total:<3}  {outcome.description}"
        )
    return int(any(outcome.correct != outcome.total for outcome in outcomes))


if __name__ == "__main__":
    sys.exit(main())

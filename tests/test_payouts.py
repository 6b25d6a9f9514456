"""Payouts under faults, over real processes: never twice, not run is true."""

import asyncio
import random
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

from testtools import TestCase

from demo.__main__ import find_caller_url
from demo.caller import Caller, CallResponse
from demo.fleet import Fleet
from oleanderpier.utils import make_key

SEED = 20
KEYS = 4
BEFORE_SEND_S = 0.01
WHILE_SENT_S = 0.4
AFTER_ANSWER_S = 1.5
PAUSE_S = 4.0
ASK_AGAIN_S = 3.0


class Case(NamedTuple):
    """One fault.

    Attributes:
        faults: What the service shows while the case runs.
        duplicates: At how many hosts each key is sent at once.
        strike: What is done to the first host.
        strike_s: When, in seconds after the keys were sent.
    """

    name: str
    faults: dict[str, Any]
    duplicates: int
    strike: Callable[[Fleet, str], Awaitable[None]]
    strike_s: float


async def leave_alone(fleet: Fleet, host: str) -> None:
    """Do nothing."""


async def kill_host(fleet: Fleet, host: str) -> None:
    """Kill a daemon and start it anew."""
    fleet.send_signal(host, signal.SIGKILL)
    await fleet.processes[host].wait()
    await fleet.start_host(host)


async def pause_host(fleet: Fleet, host: str) -> None:
    """Stop a daemon for a while."""
    fleet.send_signal(host, signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    fleet.send_signal(host, signal.SIGCONT)


async def strike_two(fleet: Fleet, host: str) -> None:
    """Kill one daemon while another one is stopped, and the platform is down."""
    await fleet.set_faults(fleet.platform, down=True)
    other = next(item["name"] for item in fleet.hosts if item["name"] != host)
    await asyncio.gather(pause_host(fleet, other), kill_host(fleet, host))
    await fleet.set_faults(fleet.platform)


LATE = {"late_s": 1.0}
CASES = [
    Case("duplicates at once", {}, 5, leave_alone, 0.0),
    Case("duplicates, slow service", LATE, 5, leave_alone, 0.0),
    Case("answer lost", {"lose_answer": True}, 3, leave_alone, 0.0),
    Case("answer after the target", {"late_s": 2.5}, 2, leave_alone, 0.0),
    Case("service refuses", {"refuse": True}, 2, leave_alone, 0.0),
    Case("service silent", {"silent": True}, 2, leave_alone, 0.0),
    Case("killed before the send", LATE, 3, kill_host, BEFORE_SEND_S),
    Case("killed while sent", LATE, 3, kill_host, WHILE_SENT_S),
    Case("killed after the answer", LATE, 3, kill_host, AFTER_ANSWER_S),
    Case("paused before the send", LATE, 3, pause_host, BEFORE_SEND_S),
    Case("paused while sent", LATE, 3, pause_host, WHILE_SENT_S),
    Case("paused after the answer", LATE, 3, pause_host, AFTER_ANSWER_S),
    Case("two struck before the send", LATE, 4, strike_two, BEFORE_SEND_S),
    Case("two struck while sent", LATE, 4, strike_two, WHILE_SENT_S),
]


class Seen(NamedTuple):
    """What callers were told of a key, and how often it was executed."""

    case: str
    key: str
    answers: list[CallResponse]
    executions: int


def list_faults(seen: Seen) -> list[str]:
    """Return which promises a key's outcome breaks."""
    fates = {answer.fate for answer in seen.answers}
    faults = []
    if seen.executions > 1:
        faults.append("executed twice")
    if "not_run" in fates and seen.executions:
        faults.append("told not run, but executed")
    if "done" in fates and not seen.executions:
        faults.append("told done, but not executed")
    if not fates <= {"done", "not_run", "may_have_run", ""}:
        faults.append(f"unknown fates: {fates}")
    return faults


async def run_case(fleet: Fleet, caller: Caller, case: Case, rng: Any) -> list[Seen]:
    """Send every key at several hosts, strike, ask again, count."""
    hosts = [host["name"] for host in fleet.hosts]
    rng.shuffle(hosts)
    keys = [make_key(time.time(), rng) for _ in range(KEYS)]
    await fleet.set_faults(fleet.services[0], **case.faults)
    asks = {
        key: [
            asyncio.create_task(
                caller.request_call(
                    "payout-post", {"n": 1}, key, find_caller_url(fleet, host)
                )
            )
            for host in hosts[: case.duplicates]
        ]
        for key in keys
    }
    await asyncio.sleep(case.strike_s)
    await case.strike(fleet, hosts[0])
    answers = {key: list(await asyncio.gather(*asks[key])) for key in keys}
    await fleet.wait_until_ready(hosts)
    await fleet.set_faults(fleet.services[0])
    for key in keys:
        url = find_caller_url(fleet, hosts[-1])
        answers[key].append(
            await caller.request_call("payout-post", {"n": 1}, key, url)
        )
    counts = await fleet.count_executions()
    return [Seen(case.name, key, answers[key], counts.get(key, 0)) for key in keys]


async def run_cases(folder: Path) -> list[Seen]:
    """Run the table on one fleet."""
    rng = random.Random(SEED)
    seen = []
    async with Fleet(folder) as fleet:
        caller = Caller(fleet.session, find_caller_url(fleet, "host-0"), "duluth-boats")
        for case in CASES:
            seen += await run_case(fleet, caller, case, rng)
    return seen


async def run_refusals(folder: Path) -> list[CallResponse]:
    """Ask for a key that has run, in ways that a host refuses early."""
    async with Fleet(folder, hosts=3, engines=1) as fleet:
        caller = Caller(fleet.session, find_caller_url(fleet, "host-0"), "duluth-boats")
        await caller.refresh_addresses()
        key = make_key(time.time(), random.Random(SEED))
        await caller.request_call("payout-post", {"n": 1}, key)
        answers = [await caller.request_call("no-such-class", {"n": 1}, key)]
        caller.workspace = "no-such-workspace"
        answers.append(await caller.request_call("payout-post", {"n": 1}, key))
        caller.workspace = "duluth-boats"
        answers.append(await caller.request_call("payout-post", ["no object"], key))
        fleet.send_signal("host-2", signal.SIGKILL)
        await fleet.processes["host-2"].wait()
        await fleet.start_host("host-2")
        url = find_caller_url(fleet, "host-2")
        early = CallResponse("", "", None, None)
        while not early.fate:
            early = await caller.request_call("payout-post", {"n": 1}, key, url)
        answers.append(early)
        return answers


class PayoutTest(TestCase):
    """The promise holds in every case of the table."""

    def test_table(self):
        """No key runs twice; whoever was told not run was told the truth."""
        with tempfile.TemporaryDirectory() as folder:
            everything = asyncio.run(run_cases(Path(folder)))
        self.assertEqual(len(CASES) * KEYS, len(everything))
        for seen in everything:
            with self.subTest(case=seen.case, key=seen.key):
                self.assertEqual([], list_faults(seen))
        quiet = [seen for seen in everything if seen.case == CASES[0].name]
        self.assertEqual([1] * KEYS, [seen.executions for seen in quiet])
        for seen in quiet:
            self.assertIn("done", {answer.fate for answer in seen.answers})

    def test_early_refusals(self):
        """A key that has run is never told as not run by an early check."""
        with tempfile.TemporaryDirectory() as folder:
            answers = asyncio.run(run_refusals(Path(folder)))
        for answer in answers:
            with self.subTest(name=answer.name):
                self.assertIn(answer.fate, ("done", "may_have_run"))

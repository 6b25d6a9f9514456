"""Payouts under faults, with real processes.

No payout may be executed twice, and a payout reported as not run never runs.
"""

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
KEY_COUNT = 4
BEFORE_SEND_DELAY_S = 0.01
DURING_SEND_DELAY_S = 0.4
AFTER_RESPONSE_DELAY_S = 1.5
PAUSE_DURATION_S = 4.0
ASK_AGAIN_S = 3.0


class FaultCase(NamedTuple):
    """A fault under which payouts are sent.

    Attributes:
        name: Name of the case.
        faults: Faults of the service during the case.
        host_count: Number of hosts that each key is sent to at the same time.
        disrupt: Disrupts the first of these hosts.
        disrupt_after_s: Time from the sending of the keys to the disruption, in
            seconds.
    """

    name: str
    faults: dict[str, Any]
    host_count: int
    disrupt: Callable[[Fleet, str], Awaitable[None]]
    disrupt_after_s: float


async def do_nothing(fleet: Fleet, host: str) -> None:
    """Do nothing."""


async def kill_and_restart_host(fleet: Fleet, host: str) -> None:
    """Kill a daemon and start it again."""
    fleet.send_signal(host, signal.SIGKILL)
    await fleet.processes[host].wait()
    await fleet.start_host(host)


async def pause_host(fleet: Fleet, host: str) -> None:
    """Suspend a daemon for ``PAUSE_DURATION_S``."""
    fleet.send_signal(host, signal.SIGSTOP)
    await asyncio.sleep(PAUSE_DURATION_S)
    fleet.send_signal(host, signal.SIGCONT)


async def kill_one_pause_other(fleet: Fleet, host: str) -> None:
    """Kill one daemon while another is suspended and the platform is down."""
    await fleet.set_faults(fleet.platform, down=True)
    other = next(item["name"] for item in fleet.hosts if item["name"] != host)
    await asyncio.gather(pause_host(fleet, other), kill_and_restart_host(fleet, host))
    await fleet.set_faults(fleet.platform)


LATE_RESPONSE = {"late_s": 1.0}
CASES = [
    FaultCase("duplicates at once", {}, 5, do_nothing, 0.0),
    FaultCase("duplicates, slow service", LATE_RESPONSE, 5, do_nothing, 0.0),
    FaultCase("response lost", {"lose_answer": True}, 3, do_nothing, 0.0),
    FaultCase("response after the target", {"late_s": 2.5}, 2, do_nothing, 0.0),
    FaultCase("service refuses", {"refuse": True}, 2, do_nothing, 0.0),
    FaultCase("service silent", {"silent": True}, 2, do_nothing, 0.0),
    FaultCase(
        "killed before the send",
        LATE_RESPONSE,
        3,
        kill_and_restart_host,
        BEFORE_SEND_DELAY_S,
    ),
    FaultCase(
        "killed while sent",
        LATE_RESPONSE,
        3,
        kill_and_restart_host,
        DURING_SEND_DELAY_S,
    ),
    FaultCase(
        "killed after the response",
        LATE_RESPONSE,
        3,
        kill_and_restart_host,
        AFTER_RESPONSE_DELAY_S,
    ),
    FaultCase(
        "paused before the send", LATE_RESPONSE, 3, pause_host, BEFORE_SEND_DELAY_S
    ),
    FaultCase("paused while sent", LATE_RESPONSE, 3, pause_host, DURING_SEND_DELAY_S),
    FaultCase(
        "paused after the response",
        LATE_RESPONSE,
        3,
        pause_host,
        AFTER_RESPONSE_DELAY_S,
    ),
    FaultCase(
        "one killed, one paused before the send",
        LATE_RESPONSE,
        4,
        kill_one_pause_other,
        BEFORE_SEND_DELAY_S,
    ),
    FaultCase(
        "one killed, one paused while sent",
        LATE_RESPONSE,
        4,
        kill_one_pause_other,
        DURING_SEND_DELAY_S,
    ),
]


class KeyOutcome(NamedTuple):
    """The responses for a key and the number of its executions.

    Attributes:
        case: Name of the fault case.
        key: The idempotency key.
        responses: Every response that callers received for the key.
        executions: Number of executions at the services.
    """

    case: str
    key: str
    responses: list[CallResponse]
    executions: int


def list_violations(outcome: KeyOutcome) -> list[str]:
    """Return the guarantees that the outcome of a key violates."""
    fates = {response.fate for response in outcome.responses}
    violations = []
    if outcome.executions > 1:
        violations.append("executed twice")
    if "not_run" in fates and outcome.executions:
        violations.append("reported as not run but executed")
    if "done" in fates and not outcome.executions:
        violations.append("reported as done but not executed")
    if not fates <= {"done", "not_run", "may_have_run", ""}:
        violations.append(f"unknown fates: {fates}")
    return violations


async def run_case(
    fleet: Fleet, caller: Caller, case: FaultCase, rng: Any
) -> list[KeyOutcome]:
    """Send every key to several hosts during a fault, repeat it and count."""
    hosts = [host["name"] for host in fleet.hosts]
    rng.shuffle(hosts)
    keys = [make_key(time.time(), rng) for _ in range(KEY_COUNT)]
    await fleet.set_faults(fleet.services[0], **case.faults)
    tasks = {
        key: [
            asyncio.create_task(
                caller.request_call(
                    "payout-post", {"n": 1}, key, find_caller_url(fleet, host)
                )
            )
            for host in hosts[: case.host_count]
        ]
        for key in keys
    }
    await asyncio.sleep(case.disrupt_after_s)
    await case.disrupt(fleet, hosts[0])
    responses = {key: list(await asyncio.gather(*tasks[key])) for key in keys}
    await fleet.wait_until_ready(hosts)
    await fleet.set_faults(fleet.services[0])
    for key in keys:
        url = find_caller_url(fleet, hosts[-1])
        responses[key].append(
            await caller.request_call("payout-post", {"n": 1}, key, url)
        )
    counts = await fleet.count_executions()
    return [
        KeyOutcome(case.name, key, responses[key], counts.get(key, 0)) for key in keys
    ]


async def run_cases(folder: Path) -> list[KeyOutcome]:
    """Run every fault case on the same fleet."""
    rng = random.Random(SEED)
    outcomes = []
    async with Fleet(folder) as fleet:
        caller = Caller(fleet.session, find_caller_url(fleet, "host-0"), "duluth-boats")
        for case in CASES:
            outcomes += await run_case(fleet, caller, case, rng)
    return outcomes


async def request_executed_key(folder: Path) -> list[CallResponse]:
    """Repeat an executed key in requests that early checks of a host refuse."""
    async with Fleet(folder, hosts=3, engines=1) as fleet:
        caller = Caller(fleet.session, find_caller_url(fleet, "host-0"), "duluth-boats")
        await caller.refresh_addresses()
        key = make_key(time.time(), random.Random(SEED))
        await caller.request_call("payout-post", {"n": 1}, key)
        responses = [await caller.request_call("no-such-class", {"n": 1}, key)]
        caller.workspace = "no-such-workspace"
        responses.append(await caller.request_call("payout-post", {"n": 1}, key))
        caller.workspace = "duluth-boats"
        responses.append(await caller.request_call("payout-post", ["no object"], key))
        fleet.send_signal("host-2", signal.SIGKILL)
        await fleet.processes["host-2"].wait()
        await fleet.start_host("host-2")
        url = find_caller_url(fleet, "host-2")
        early = CallResponse("", "", None, None)
        while not early.fate:
            early = await caller.request_call("payout-post", {"n": 1}, key, url)
        responses.append(early)
        return responses


class PayoutTest(TestCase):
    """The guarantees of payouts hold in every fault case."""

    def test_at_most_once_under_faults(self):
        """No key is executed twice, and its responses agree with its executions."""
        with tempfile.TemporaryDirectory() as folder:
            outcomes = asyncio.run(run_cases(Path(folder)))
        self.assertEqual(len(CASES) * KEY_COUNT, len(outcomes))
        for outcome in outcomes:
            with self.subTest(case=outcome.case, key=outcome.key):
                self.assertEqual([], list_violations(outcome))
        without_faults = [
            outcome for outcome in outcomes if outcome.case == CASES[0].name
        ]
        self.assertEqual(
            [1] * KEY_COUNT, [outcome.executions for outcome in without_faults]
        )
        for outcome in without_faults:
            self.assertIn("done", {response.fate for response in outcome.responses})

    def test_executed_key_never_refused_as_not_run(self):
        """Early checks never report an executed key as not run."""
        with tempfile.TemporaryDirectory() as folder:
            responses = asyncio.run(request_executed_key(Path(folder)))
        for response in responses:
            with self.subTest(name=response.name):
                self.assertIn(response.fate, ("done", "may_have_run"))

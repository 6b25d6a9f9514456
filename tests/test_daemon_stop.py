"""Tests of a daemon that is stopped while callers use connections that are open."""

import asyncio
import json
import random
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from testtools import TestCase

from demo.fleet import CONFIGURATION, LOOPBACK_ADDRESS, Fleet
from oleanderpier.utils import make_key, run_coroutine
from tests.byte_callers import NO_ANSWER, ByteCaller

HOST = "host-0"
CALLER_COUNT = 10
# Above any drain of these tests.
LONG_S = 20.0
# Time from its start until a daemon's witnesses grant keys.
START_MARGIN_S = 5.0
HOLD_UP_S = 0.1
PIPELINED_COUNT = 8
LARGE_BYTES = 900_000
WORKSPACE_COUNT = 20_000
BUFFER_BYTES = 1 << 16
READ_DELAY_S = 3.0
SHORT_DRAIN = {"address_keep_s": 1.0, "drain_s": 2.4}
LONG_DRAIN = {"address_keep_s": 1.0, "drain_s": 12.0}

Answers = list[tuple[int, bytes]]
SendRequests = Callable[["CallersFleet"], Awaitable[Answers]]


class DaemonStopTest(TestCase):
    """Each request that a stopping daemon has read is answered or refused."""

    def test_chats_in_progress_at_the_end_of_the_drain_are_answered(self):
        """Their engine needs longer than the drain."""
        answers = stop_while(send_long_chats, SHORT_DRAIN)
        self.assertEqual({(200, 205): CALLER_COUNT}, count_codes(answers))

    def test_call_in_progress_at_the_end_of_the_drain_is_answered(self):
        """Calls without a key; their service needs longer than the drain."""
        answers = stop_while(send_long_calls, SHORT_DRAIN)
        self.assertEqual({(502, 204): CALLER_COUNT}, count_codes(answers))

    def test_call_with_key_in_progress_at_the_end_of_the_drain_is_answered(self):
        """Calls with a key; their service needs longer than the drain."""
        answers = stop_while(send_long_keyed_calls, SHORT_DRAIN)
        self.assertEqual({(502, 204): CALLER_COUNT}, count_codes(answers))

    def test_daemon_ends_within_the_drain_limit(self):
        """Chats, calls and look-ups are in progress until then."""
        answers = stop_while(send_long_requests, SHORT_DRAIN)
        self.assertEqual(0, count_lost(answers), count_statuses(answers))

    def test_outcome_of_a_call_that_was_ended_can_be_looked_up(self):
        """Its witnesses on other hosts know that it may have run."""
        answers = stop_while(look_up_long_call, SHORT_DRAIN, 3)
        self.assertEqual({(502, 204): 2}, count_codes(answers))

    def test_look_up_in_progress_after_the_drain_is_answered(self):
        """A witness is silent until after the addresses have expired."""
        answers = stop_while(send_look_ups, LONG_DRAIN, 3)
        self.assertEqual({(503, 202): CALLER_COUNT}, count_codes(answers))

    def test_look_up_in_progress_at_the_end_of_the_drain_is_answered(self):
        """A witness is silent until after the drain."""
        answers = stop_while(send_look_ups, SHORT_DRAIN, 3)
        self.assertEqual({(503, 202): CALLER_COUNT}, count_codes(answers))

    def test_requests_read_after_the_drain_are_answered(self):
        """The daemon finds nothing in progress, then reads a request per connection."""
        answers = stop_while(send_requests_of_all_kinds, LONG_DRAIN)
        self.assertEqual(0, count_lost(answers), count_statuses(answers))

    def test_call_with_key_read_after_the_drain_is_answered(self):
        """The daemon finds nothing in progress; the other witnesses are silent."""
        limits = {**LONG_DRAIN, "drain_s": 5.0}
        answers = stop_while(send_unclaimed_calls_while_held_up, limits, 3)
        self.assertEqual({(503, 202): CALLER_COUNT}, count_codes(answers))

    def test_answers_to_callers_that_are_read_slowly_are_delivered(self):
        """The responses are larger than what the sockets hold."""
        answers = stop_while(read_large_calls, LONG_DRAIN)
        self.assertEqual(0, count_lost(answers), count_statuses(answers))
        self.assertEqual(PIPELINED_COUNT, len(answers))

    def test_answers_to_operators_that_are_read_slowly_are_delivered(self):
        """The responses are larger than what the sockets hold."""
        answers = stop_while(read_large_reports, LONG_DRAIN)
        self.assertEqual({200: PIPELINED_COUNT}, count_statuses(answers))


class CallersFleet(Fleet):
    """A fleet whose first daemon has callers with open connections."""

    async def __aenter__(self) -> "CallersFleet":
        """Start every process."""
        self._callers: list[ByteCaller] = []
        await super().__aenter__()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the connections and kill every process that still runs."""
        for caller in self._callers:
            caller.close()
        await super().__aexit__()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        if number == signal.SIGTERM:
            self.terminated_s = time.monotonic()
        super().send_signal(name, number)

    async def wait_for_end(self) -> float:
        """Return when the first daemon ends, on the monotonic clock in seconds."""
        await self.processes[HOST].wait()
        return time.monotonic()

    async def connect(
        self,
        count: int,
        port_field: str = "caller_port",
        buffer_bytes: int | None = None,
    ) -> list[ByteCaller]:
        """Open connections to the first daemon."""
        address = f"{LOOPBACK_ADDRESS}:{self.hosts[0][port_field]}"
        callers = [
            await ByteCaller.connect(address, buffer_bytes) for _ in range(count)
        ]
        self._callers += callers
        return callers


def stop_while(send: SendRequests, limits: dict[str, float], hosts: int = 1) -> Answers:
    """Stop a daemon; return the answers to the requests sent meanwhile.

    Args:
        send: Sends requests and SIGTERM.
        limits: The daemon's limits.
        hosts: The number of daemons in the fleet.

    Raises:
        AssertionError: The daemon has not ended within ``drain_s`` of SIGTERM.
    """

    async def run(folder: Path) -> Answers:
        async with CallersFleet(folder, hosts, engines=1, limits=limits) as fleet:
            await fleet.publish("configuration", **make_patient_configuration())
            await asyncio.sleep(START_MARGIN_S)
            ended = asyncio.ensure_future(fleet.wait_for_end())
            answers = await send(fleet)
            async with asyncio.timeout(LONG_S):
                ended_s = await ended - fleet.terminated_s
            assert ended_s <= fleet.limits["drain_s"], ended_s
            return answers

    with tempfile.TemporaryDirectory() as folder:
        return run_coroutine(run(Path(folder)))


async def send_long_chats(fleet: CallersFleet) -> Answers:
    """Request chats whose first event takes longer than the drain."""
    await fleet.set_faults(fleet.engines[0], late_s=LONG_S)
    return await send_and_stop(fleet, [make_chat(n) for n in range(CALLER_COUNT)])


async def send_long_calls(fleet: CallersFleet) -> Answers:
    """Send calls without a key that take longer than the drain."""
    await fleet.set_faults(fleet.services[0], late_s=LONG_S)
    return await send_and_stop(fleet, [make_call() for _ in range(CALLER_COUNT)])


async def send_long_keyed_calls(fleet: CallersFleet) -> Answers:
    """Send calls with a key that take longer than the drain."""
    await fleet.set_faults(fleet.services[0], late_s=LONG_S)
    return await send_and_stop(fleet, [make_keyed_call() for _ in range(CALLER_COUNT)])


async def send_long_requests(fleet: CallersFleet) -> Answers:
    """Send requests of three kinds that take longer than the drain."""
    await fleet.set_faults(fleet.engines[0], late_s=LONG_S)
    await fleet.set_faults(fleet.services[0], late_s=LONG_S)
    return await send_and_stop(fleet, [make_chat(0), make_call(), make_keyed_call()])


async def look_up_long_call(fleet: CallersFleet) -> Answers:
    """Send a call with a key; look up its outcome at another host after the stop."""
    await fleet.set_faults(fleet.services[0], late_s=LONG_S)
    key = make_key(time.time(), random.Random())
    answers = await send_and_stop(fleet, [make_keyed_call(key)])
    await fleet.processes[HOST].wait()
    address = f"{LOOPBACK_ADDRESS}:{fleet.hosts[1]['caller_port']}"
    caller = await ByteCaller.connect(address)
    answers.append(await caller.exchange(make_get(f"/v1/calls/{key}")))
    caller.close()
    return answers


async def send_look_ups(fleet: CallersFleet) -> Answers:
    """Look up keys while a witness is held up, just before the addresses expire."""
    callers = await fleet.connect(CALLER_COUNT)
    fleet.send_signal(HOST, signal.SIGTERM)
    await asyncio.sleep(fleet.limits["address_keep_s"] - HOLD_UP_S)
    fleet.send_signal("host-1", signal.SIGSTOP)
    answers = await exchange_all(callers, [make_look_up() for _ in callers])
    fleet.send_signal("host-1", signal.SIGCONT)
    return answers


async def send_requests_of_all_kinds(fleet: CallersFleet) -> Answers:
    """Send all kinds of requests while the daemon is held up."""
    requests = [
        request
        for number in range(CALLER_COUNT)
        for request in (
            make_chat(number),
            make_call(),
            make_keyed_call(),
            make_look_up(),
            make_get("/v1/addresses"),
        )
    ]
    callers = await fleet.connect(len(requests))
    operators = await fleet.connect(CALLER_COUNT, "operator_port")
    requests += [make_get("/v1/status") for _ in operators]
    return await send_while_held_up(fleet, callers + operators, requests)


async def send_unclaimed_calls_while_held_up(fleet: CallersFleet) -> Answers:
    """Send calls with a key that no majority of witnesses grants."""
    callers = await fleet.connect(CALLER_COUNT)
    for name in ("host-1", "host-2"):
        fleet.send_signal(name, signal.SIGSTOP)
    requests = [make_keyed_call() for _ in callers]
    return await send_while_held_up(fleet, callers, requests)


async def send_while_held_up(
    fleet: CallersFleet, callers: list[ByteCaller], requests: list[bytes]
) -> Answers:
    """Let the end of the drain and the requests fall into one turn of the loop."""
    await exchange_all(callers, [make_get("/metrics") for _ in callers])
    fleet.send_signal(HOST, signal.SIGTERM)
    await asyncio.sleep(fleet.limits["address_keep_s"] - HOLD_UP_S)
    fleet.send_signal(HOST, signal.SIGSTOP)
    answers = asyncio.ensure_future(exchange_all(callers, requests))
    await asyncio.sleep(2 * HOLD_UP_S)
    fleet.send_signal(HOST, signal.SIGCONT)
    return await answers


async def read_large_calls(fleet: CallersFleet) -> Answers:
    """Read the answers to calls only when no request is in progress any more."""
    (caller,) = await fleet.connect(1, buffer_bytes=BUFFER_BYTES)
    requests = [make_call("x" * LARGE_BYTES)] * PIPELINED_COUNT
    return await stop_and_read_slowly(fleet, caller, requests)


async def read_large_reports(fleet: CallersFleet) -> Answers:
    """Read the answers to operators' queries only when the drain has ended."""
    names = [{"name": f"workspace-{n:020}"} for n in range(WORKSPACE_COUNT)]
    await fleet.publish(
        "configuration", **{**make_patient_configuration(), "workspaces": names}
    )
    await asyncio.sleep(START_MARGIN_S)
    (operator,) = await fleet.connect(1, "operator_port", BUFFER_BYTES)
    requests = [make_get("/v1/configuration")] * PIPELINED_COUNT
    return await stop_and_read_slowly(fleet, operator, requests)


async def stop_and_read_slowly(
    fleet: CallersFleet, caller: ByteCaller, requests: list[bytes]
) -> Answers:
    """Send requests on one connection, stop the daemon, then read the answers."""
    first = asyncio.ensure_future(caller.exchange(b"".join(requests), READ_DELAY_S))
    await asyncio.sleep(HOLD_UP_S)
    fleet.send_signal(HOST, signal.SIGTERM)
    answers = [await first]
    for _ in requests[1:]:
        answers.append(await caller.exchange(b""))
    return answers


async def send_and_stop(fleet: CallersFleet, requests: list[bytes]) -> Answers:
    """Send a request per connection and stop the daemon."""
    callers = await fleet.connect(len(requests))
    fleet.send_signal(HOST, signal.SIGTERM)
    return await exchange_all(callers, requests)


async def exchange_all(callers: list[ByteCaller], requests: list[bytes]) -> Answers:
    """Send a request per connection; return the answers."""
    return await asyncio.gather(
        *(
            caller.exchange(request)
            for caller, request in zip(callers, requests, strict=True)
        )
    )


def make_patient_configuration() -> dict:
    """Return a configuration whose targets lie after the end of any drain."""
    classes = [
        {**work_class, "first_token_s": LONG_S, "whole_s": 2 * LONG_S}
        for work_class in CONFIGURATION["classes"]
    ]
    return {**CONFIGURATION, "classes": classes}


def make_chat(number: int) -> bytes:
    """Return a request for a chat."""
    chat = {"chat": f"chat-{number}", "messages": ["hello"], "max_tokens": 5}
    return make_post("/v1/chats", "trip-summary", chat)


def make_call(text: str = "") -> bytes:
    """Return a call without a key."""
    return make_post("/v1/calls", "balance-lookup", {"body": {"text": text}})


def make_keyed_call(key: str = "") -> bytes:
    """Return a call with a key, a new one if none is given."""
    key = key or make_key(time.time(), random.Random())
    return make_post("/v1/calls", "payout-post", {"key": key, "body": {}})


def make_look_up() -> bytes:
    """Return a look-up of a key that no host knows."""
    return make_get(f"/v1/calls/{make_key(time.time(), random.Random())}")


def make_get(path: str) -> bytes:
    """Return a request without a body."""
    return f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()


def make_post(path: str, work_class: str, fields: dict) -> bytes:
    """Return a request of a class of work."""
    body = json.dumps({"workspace": "co-op", "class": work_class, **fields}).encode()
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def count_codes(answers: Answers) -> Counter:
    """Return the number of answers by status and by code in the last line."""
    counts: Counter = Counter()
    for status, body in answers:
        last_line = body.rstrip().rpartition(b"\n")[2].removeprefix(b"data: ")
        code = json.loads(last_line)["code"] if status != NO_ANSWER else None
        counts[status, code] += 1
    return counts


def count_statuses(answers: Answers) -> Counter:
    """Return the number of answers by status."""
    return Counter(status for status, _ in answers)


def count_lost(answers: Answers) -> int:
    """Return the number of requests without a whole answer."""
    return count_statuses(answers)[NO_ANSWER]

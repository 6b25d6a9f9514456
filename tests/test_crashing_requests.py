"""Tests of hosts, as processes, with one request that crashes each server."""

import asyncio
import random
from collections.abc import Coroutine
from typing import NamedTuple

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.platform_fleet import PlatformFleet, stop_gracefully
from tests.fleet_callers import Result, send_request

HOST_COUNT = 3
SERVER_COUNT = 9
# The users' bounds: a request under which three servers have crashed arrives no more
# than three times later than CONTACT_S after the third.
TOLERATED_CRASHES = 3
TOLERATED_ARRIVALS = 3
CONTACT_S = 3.0
CALM_S = 2.0
FAULT_S = 9.0
SOUND_INTERVAL_S = 0.03
FAULT_INTERVAL_S = 0.4
CRASHING = "crashing"


class Request(NamedTuple):
    """A request that callers send.

    Attributes:
        path: Its path, with the query.
        body: Its body.
        prompt: The parts of its prompt, without the last one; empty for no prompt.
    """

    path: str
    body: bytes = b"body"
    prompt: str = ""


class CrashingRequestTest(TestCase):
    """The same path, caller and body crash server after server."""

    def test_lookup_that_crashes_servers_is_refused(self):
        """It has no body; others of its kind are served."""
        self.check(Request("/lookup/a?b=1"), [Request("/lookup/a?b=2")])

    def test_payout_that_crashes_servers_is_refused(self):
        """Those of the same path with another body are served."""
        body = b"x" * 300_000
        others = [Request("/payout/a"), Request("/payout/a", body + b"y")]
        self.check(Request("/payout/a", body), others)

    def test_stream_without_prompt_that_crashes_servers_is_refused(self):
        """So it is for a route with streams."""
        self.check(Request("/chat/a"), [Request("/chat/b"), Request("/chat/a", b"c")])

    def test_stream_with_prompt_that_crashes_servers_is_refused(self):
        """Requests with the same prompt parts are served."""
        prompt = "all:9,own:9"
        self.check(Request("/chat/a", prompt=prompt), [Request("/chat/b", b"", prompt)])

    def test_request_that_was_answered_before_is_refused(self):
        """It crashes servers only from some time on."""
        self.check(Request("/lookup/a"), [Request("/lookup/b")], answered_before=True)

    def test_request_is_refused_after_restarts_and_without_the_store(self):
        """Hosts that start get it from the others."""
        self.check(Request("/lookup/a"), [Request("/lookup/b")], restarts=True)

    def check(
        self,
        crashing: Request,
        others: list[Request],
        answered_before: bool = False,
        restarts: bool = False,
    ) -> None:
        """Check the number of arrivals of one request, and the outcomes of others."""
        run_coroutine(self._check(crashing, others, answered_before, restarts))

    async def _check(
        self,
        crashing: Request,
        others: list[Request],
        answered_before: bool,
        restarts: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        async with PlatformFleet(HOST_COUNT) as fleet:
            for _ in range(SERVER_COUNT):
                await fleet.add_server(event_count=4)
            await fleet.start_all()
            started_s = loop.time()
            faults_from_s = 0.0 if answered_before else CALM_S
            tasks = [
                send_requests(fleet, "sound", others, 0.0, SOUND_INTERVAL_S),
                # Two callers send it at about the same time.
                send_requests(
                    fleet, CRASHING, [crashing], faults_from_s, FAULT_INTERVAL_S
                ),
                send_requests(
                    fleet, f"{CRASHING}2", [crashing], faults_from_s, FAULT_INTERVAL_S
                ),
                begin_crashes(fleet, crashing),
            ]
            if restarts:
                tasks.append(restart_hosts(fleet))
            sound, *faulty, _ = (await asyncio.gather(*tasks))[:4]
            crashes_s = sorted(
                at for each in fleet.servers for at in each.crash_times_s
            )
            arrivals_s = [
                at
                for server in fleet.servers
                for identity, at in server.arrivals
                if identity.startswith(CRASHING) and at > started_s + CALM_S
            ]
        self.assertGreaterEqual(len(crashes_s), TOLERATED_CRASHES)
        if answered_before:
            early = [each for each in faulty[0] if each.sent_s < crashes_s[0]]
            self.assertIn(200, {each.status for each in early})
        third_s = crashes_s[TOLERATED_CRASHES - 1]
        late = [at for at in arrivals_s if at > third_s + CONTACT_S]
        self.assertLessEqual(len(late), TOLERATED_ARRIVALS)
        settled = [each for each in sound if each.sent_s > third_s + 2 * CONTACT_S]
        self.assertEqual({200}, {each.status for each in settled})
        refused = [
            each
            for results in faulty
            for each in results
            if each.sent_s > third_s + CONTACT_S and each.status
        ]
        self.assertEqual({503}, {each.status for each in refused})
        self.assertTrue(all(float(each.retry_after) > 0 for each in refused))
        self.assertLess(max(each.took_s for each in refused), 0.5)


async def begin_crashes(fleet: PlatformFleet, crashing: Request) -> None:
    """Let servers crash on a request from some time on."""
    await asyncio.sleep(CALM_S)
    for server in fleet.servers:
        server.crashing_request = (crashing.path, _get_body(crashing))


async def restart_hosts(fleet: PlatformFleet) -> None:
    """Restart the hosts one after the other after some crashes, without the store."""
    await asyncio.sleep(CALM_S + CONTACT_S)
    for number in range(HOST_COUNT):
        await stop_gracefully(fleet.processes[number])
        await fleet.start_host(number)
        await fleet.wait_until_ready(number)
    fleet.store.refuses_calls = True


async def send_requests(
    fleet: PlatformFleet,
    name: str,
    requests: list[Request],
    after_s: float,
    interval_s: float,
) -> list[Result]:
    """Send requests to all hosts in turn, again and again.

    Args:
        fleet: The hosts.
        name: Begins their ids.
        requests: The requests, sent in turn.
        after_s: Time until the first request, in seconds.
        interval_s: Mean time between two requests, in seconds.
    """
    rng = random.Random(name)
    loop = asyncio.get_running_loop()
    await asyncio.sleep(after_s)
    ends_s = loop.time() + CALM_S + FAULT_S - after_s
    tasks = []
    while loop.time() < ends_s:
        number = len(tasks)
        request = requests[number % len(requests)]
        tasks.append(
            asyncio.create_task(
                _send(fleet, rng.randrange(HOST_COUNT), f"{name}-{number}", request)
            )
        )
        await asyncio.sleep(rng.uniform(0.5, 1.5) * interval_s)
    return list(await asyncio.gather(*tasks))


def _send(
    fleet: PlatformFleet, host: int, identity: str, request: Request
) -> Coroutine[None, None, Result]:
    """Return the sending of a request to a host, or the next one that listens."""
    headers = {"Connection": "close"}
    if request.prompt:
        headers["Prompt-Prefix"] = f"{request.prompt},{identity}:9"
    hosts = [(host + number) % HOST_COUNT for number in range(HOST_COUNT)]
    return send_request(fleet, hosts, request.path, identity, request.body, **headers)


def _get_body(request: Request) -> bytes:
    """Return the body with which the fleet sends a request."""
    return b"" if request.path.startswith("/lookup") else request.body

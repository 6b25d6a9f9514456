"""Tests of hosts, as processes, with a prompt part that crashes each server."""

import asyncio
import random

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.platform_fleet import PlatformFleet
from tests.fleet_callers import Result, send_request

HOST_COUNT = 3
SERVER_COUNT = 9
PART = "bad"
# The users' bounds: with a part under which five servers have crashed, no more than
# three requests arrive later than CONTACT_S after the fifth.
TOLERATED_CRASHES = 5
TOLERATED_ARRIVALS = 3
CONTACT_S = 3.0
CALM_S = 2.0
FAULT_S = 10.0
SOUND_INTERVAL_S = 0.03
FAULT_INTERVAL_S = 0.2


class CrashingPromptTest(TestCase):
    """Requests with one part of their prompts in common crash server after server."""

    def test_prompt_part_that_crashes_servers_is_refused(self):
        """Few servers crash, and requests without the part are served meanwhile."""
        run_coroutine(self._check())

    async def _check(self) -> None:
        async with PlatformFleet(HOST_COUNT) as fleet:
            for _ in range(SERVER_COUNT):
                (await fleet.add_server(event_count=4)).crashing_part = PART
            await fleet.start_all()
            started_s = asyncio.get_running_loop().time()
            sound, faulty = await asyncio.gather(
                send_requests(fleet, "sound", 0.0, SOUND_INTERVAL_S),
                send_requests(fleet, PART, CALM_S, FAULT_INTERVAL_S),
            )
            crashes_s = sorted(
                at for each in fleet.servers for at in each.crash_times_s
            )
            arrivals_s = [
                at
                for server in fleet.servers
                for identity, at in server.arrivals
                if identity.startswith(PART)
            ]
        for crash_s in crashes_s[TOLERATED_CRASHES - 1 : TOLERATED_CRASHES]:
            late = [at for at in arrivals_s if at > crash_s + CONTACT_S]
            self.assertLessEqual(len(late), TOLERATED_ARRIVALS)
        settled_s = crashes_s[:TOLERATED_CRASHES][-1] + 2 * CONTACT_S
        calm = [each for each in sound if each.sent_s < started_s + CALM_S]
        settled = [each for each in sound if each.sent_s > settled_s]
        self.assertGreaterEqual(compute_served(settled), compute_served(calm) / 2)
        refused = [each for each in faulty if each.sent_s > settled_s]
        self.assertEqual({503}, {each.status for each in refused})
        self.assertTrue(all(float(each.retry_after) > 0 for each in refused))
        self.assertLess(max(each.took_s for each in refused), 0.5)


def compute_served(results: list[Result]) -> float:
    """Return the share of requests that were served."""
    return sum(each.status == 200 for each in results) / len(results)


async def send_requests(
    fleet: PlatformFleet, name: str, after_s: float, interval_s: float
) -> list[Result]:
    """Send requests to all hosts in turn, no two with the same prompt.

    Args:
        fleet: The hosts.
        name: Their second prompt part; the first is one of three that all share.
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
        prompt = f"first{rng.randrange(3)}:9,{name}:9,other{rng.randrange(20)}:9"
        headers = {"Prompt-Prefix": f"{prompt},{name}{number}:9"}
        hosts, identity = (number % HOST_COUNT,), f"{name}-{number}"
        request = send_request(fleet, hosts, "/chat/x", identity, **headers)
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(rng.uniform(0.5, 1.5) * interval_s)
    return list(await asyncio.gather(*tasks))

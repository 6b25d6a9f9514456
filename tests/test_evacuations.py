"""Tests of hosts, as processes, while a failure domain is evacuated and taken back."""

import asyncio
import itertools
import json
import signal
import tempfile
from pathlib import Path

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.backend_server import StandInServer
from standins.platform_fleet import PlatformFleet

EVACUATED = "alpena"
# The users' bound is 5 s. It takes less here, so that delays of the machine that runs
# the tests do not matter.
EVACUATE_MS = 5000
APPLY_S = 2.5
# How long an operator takes to write what a copy of the store lacks.
REWRITE_S = 1.5
REQUEST_INTERVAL_S = 0.02
# So many prompts that some are cached in each failure domain.
PROMPT_COUNT = 12
# Each so many-th request is a chat.
CHAT_INTERVAL = 4
COPY_HEADER = "Kv-Fetch"


class Load:
    """Requests of two kinds to the hosts of a fleet, until it is ended.

    Args:
        fleet: The fleet.

    Attributes:
        hosts: The numbers of the hosts that get requests.
        statuses: The status of each response.
    """

    def __init__(self, fleet: PlatformFleet) -> None:
        self.hosts = [0, 1]
        self.statuses: list[int] = []
        self._fleet = fleet
        self._requests: set[asyncio.Task] = set()
        self._ends = False

    async def run(self) -> None:
        """Send requests until the end, and wait for all responses."""
        for number in itertools.count():
            if self._ends:
                break
            host = self.hosts[number % len(self.hosts)]
            path = "/chat/x" if number % CHAT_INTERVAL == 0 else "/lookup/x"
            self._requests.add(asyncio.create_task(self._send(host, path, number)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*self._requests)

    def end(self) -> None:
        """Send no more requests."""
        self._ends = True

    async def _send(self, host: int, path: str, number: int) -> None:
        prompt = (
            f"system:4000,subject-{number // CHAT_INTERVAL % PROMPT_COUNT}:2000,own:100"
        )
        headers = {"Prompt-Prefix": prompt}
        status, _ = await self._fleet.fetch(host, path, f"r{number}", **headers)
        self.statuses.append(status)


def count_arrivals(servers: list[StandInServer], after_s: float) -> int:
    """Return how many requests have reached some servers since a time."""
    return sum(at_s > after_s for server in servers for _, at_s in server.arrivals)


def read_events(folder: Path, event: str) -> list[dict]:
    """Return the lines of one event in the logs of all hosts."""
    lines = [
        line
        for path in folder.glob("host-*.log")
        for line in path.read_text().splitlines()
        if f'"{event}"' in line
    ]
    return [json.loads(line[line.index("{") :]) for line in lines]


class EvacuationTest(TestCase):
    """An evacuated failure domain gets nothing, whatever happens meanwhile."""

    async def start_fleet(self, fleet: PlatformFleet) -> tuple[list, list]:
        """Start two hosts, and return the servers that stay and the others."""
        for settings in fleet.settings:
            settings["Bounds"]["EvacuateMs"] = EVACUATE_MS
        fleet.publish_configuration(2, ColdStartS=20, ColdPerS=11)
        staying = [await fleet.add_server() for _ in range(2)]
        evacuated = [await fleet.add_server(Zone=EVACUATED) for _ in range(2)]
        for host in range(2):
            await fleet.start_host(host)
        for host in range(2):
            await fleet.wait_until_ready(host)
        return staying, evacuated

    def test_domain_is_evacuated_and_taken_back(self):
        """The store goes away in between, returns from a copy, and a host starts."""
        run_coroutine(self._check_evacuation())

    async def _check_evacuation(self):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            async with PlatformFleet(3, log_folder=folder) as fleet:
                staying, evacuated = await self.start_fleet(fleet)
                fleet.store.save_copy()
                load = Load(fleet)
                running = asyncio.create_task(load.run())
                try:
                    await self._evacuate(fleet, load, staying, evacuated)
                finally:
                    load.end()
                    await running
                self.assertEqual({200}, set(load.statuses))
                # The streams that were in progress there went on to their end.
                aborted = [server.aborted_streams for server in fleet.servers]
                self.assertEqual([0] * 4, aborted)
                gauges = await fleet.read_metrics(0)
                self.assertEqual(0.0, gauges["oleanderpier_domains_evacuated"])
                self.assertEqual(2.0, gauges["oleanderpier_servers_cold"])
            moved = read_events(folder, "routing:evacuated")
            self.assertEqual({"moved"}, {line["decision"] for line in moved})

    async def _evacuate(self, fleet, load: Load, staying: list, evacuated: list):
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        await asyncio.sleep(1.0)
        self.assertGreater(count_arrivals(evacuated, begun_s), 0)
        fleet.evacuate(EVACUATED)
        await asyncio.sleep(APPLY_S)
        applied_s = loop.time()
        fleet.store.refuses_calls = True
        # This host can learn of the evacuation only from the others.
        await fleet.start_host(2)
        await fleet.wait_until_ready(2)
        load.hosts.append(2)
        await asyncio.sleep(3.0)
        self.assertEqual(0, count_arrivals(evacuated, applied_s))
        fleet.store.return_from_copy()
        fleet.store.refuses_calls = False
        await asyncio.sleep(REWRITE_S)
        fleet.evacuate(EVACUATED)
        await asyncio.sleep(APPLY_S)
        self.assertEqual(0, count_arrivals(evacuated, applied_s))
        sources = {
            headers.get(COPY_HEADER)
            for server in staying
            for headers, at_s in zip(
                server.request_headers, server.request_times_s, strict=True
            )
            if at_s > applied_s
        }
        self.assertFalse(sources & {server.address for server in evacuated})
        fleet.end_evacuation(EVACUATED)
        ended_s = loop.time()
        await asyncio.sleep(APPLY_S)
        self.assertGreater(count_arrivals(evacuated, ended_s), 0)

    def test_refusal_while_every_server_is_evacuated(self):
        """The caller is told at once, and when to come back."""
        run_coroutine(self._check_refusal())

    async def _check_refusal(self):
        async with PlatformFleet(2) as fleet:
            await self.start_fleet(fleet)
            for domain in (EVACUATED, "duluth"):
                fleet.evacuate(domain)
            await asyncio.sleep(APPLY_S)
            for number in range(4):
                async with fleet.request(number % 2, "/lookup/x", "r") as response:
                    self.assertEqual(503, response.status)
                    wait_s = float(response.headers["Retry-After"])
                self.assertTrue(0.5 <= wait_s <= 1.5, wait_s)

    def test_host_that_was_frozen_meanwhile(self):
        """It sends nothing there, though it has requests to send as soon as it goes on.

        The host gets these requests while it is frozen.
        """
        run_coroutine(self._check_freeze())

    async def _check_freeze(self):
        async with PlatformFleet(2) as fleet:
            _, evacuated = await self.start_fleet(fleet)
            await asyncio.sleep(1.0)
            frozen = fleet.processes[1]
            frozen.send_signal(signal.SIGSTOP)
            try:
                fleet.evacuate(EVACUATED)
                await asyncio.sleep(EVACUATE_MS / 1000)
                applied_s = asyncio.get_running_loop().time()
                requests = [
                    asyncio.create_task(fleet.fetch(1, "/lookup/x", f"r{number}"))
                    for number in range(24)
                ]
                await asyncio.sleep(0.5)
            finally:
                frozen.send_signal(signal.SIGCONT)
            statuses = {status for status, _ in await asyncio.gather(*requests)}
            self.assertLessEqual(statuses, {200, 503})
            await asyncio.sleep(APPLY_S)
            status, _ = await fleet.fetch(1, "/lookup/x", "r")
            self.assertEqual(200, status)
            self.assertEqual(0, count_arrivals(evacuated, applied_s))

    def test_without_the_setting_the_keys_are_not_read(self):
        """Deployments without the bound are served as before."""
        run_coroutine(self._check_without_setting())

    async def _check_without_setting(self):
        async with PlatformFleet(1) as fleet:
            server = await fleet.add_server()
            fleet.evacuate("duluth")
            await fleet.start_all()
            await asyncio.sleep(APPLY_S)
            status, _ = await fleet.fetch(0, "/lookup/x", "r1")
            self.assertEqual((200, 1), (status, len(server.request_ids)))

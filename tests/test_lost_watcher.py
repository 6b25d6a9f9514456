"""Tests of a lost watcher while a server leaves, with real processes.

They guard against a pause between the watchers' calls that is too long for the
operators' bound once only one of the two watchers of a failure domain is left.
"""

import asyncio
import contextlib
import itertools
import signal

from testtools import TestCase

from oleanderpier.utils import rank_candidates, run_coroutine
from standins.platform_fleet import PlatformFleet

HOSTS = 4
# The bound that allows the longest pause, and the servers and the interval at which
# their entries are renewed on a deployment that has it.
LEAVE_S = 3.0
SERVERS = 60
HEARTBEAT_S = 1.2
SETTLE_S = 2.0
SEND_INTERVAL_S = 0.02
# Requests are sent for this long before the server leaves, and after the bound.
SENT_BEFORE_S = 0.5
SENT_AFTER_S = 1.5


async def renew_entries(fleet: PlatformFleet) -> None:
    """Renew the entries of servers that get no requests, so that each watch ends."""
    for number in itertools.count():
        identity = f"renewed-{number % SERVERS}"
        fleet.register_address(
            identity, f"127.0.0.1:{20000 + number % SERVERS}", Service="other"
        )
        await asyncio.sleep(HEARTBEAT_S / SERVERS)


class LostWatcherTest(TestCase):
    """A server that leaves gets no requests after the bound."""

    def test_killed_watcher(self):
        """The other watcher alone tells the hosts."""
        run_coroutine(self._check_lost_watcher(signal.SIGKILL))

    def test_frozen_watcher(self):
        """Its streams stay open, so that others take it for a watcher for longer."""
        run_coroutine(self._check_lost_watcher(signal.SIGSTOP))

    async def _check_lost_watcher(self, signal_number: signal.Signals):
        async with PlatformFleet(HOSTS) as fleet:
            for settings in fleet.settings:
                settings["Bounds"]["DrainMs"] = 1000 * LEAVE_S
            leaving = await fleet.add_server()
            await fleet.add_server()
            renewing = asyncio.create_task(renew_entries(fleet))
            await fleet.start_all()
            await asyncio.sleep(SETTLE_S)
            peers = [settings["Listen"]["Control"] for settings in fleet.settings]
            lost = peers.index(rank_candidates("watch", peers)[0])
            sending = asyncio.create_task(self._send_requests(fleet, lost))
            await asyncio.sleep(SENT_BEFORE_S)
            fleet.processes[lost].send_signal(signal_number)
            fleet.register_server(leaving, "draining")
            sent = await sending
            renewing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await renewing
        reached = [sent[name] for name in leaving.request_ids]
        # Otherwise the hosts had another reason to send it nothing.
        self.assertNotEqual([], reached)
        self.assertLess(max(reached), SENT_BEFORE_S + LEAVE_S)

    async def _send_requests(self, fleet: PlatformFleet, lost: int) -> dict[str, float]:
        """Send requests to the other hosts; return when, in seconds, by request."""
        clock = asyncio.get_running_loop().time
        started_s = clock()
        hosts = itertools.cycle(n for n in range(HOSTS) if n != lost)
        sent = {}
        for number, host in enumerate(hosts):
            elapsed_s = clock() - started_s
            if elapsed_s > SENT_BEFORE_S + LEAVE_S + SENT_AFTER_S:
                return sent
            sent[f"r{number}"] = elapsed_s
            status, _ = await fleet.fetch(host, "/payout/x", f"r{number}")
            self.assertEqual(200, status)
            await asyncio.sleep(SEND_INTERVAL_S)
        raise AssertionError("the hosts never end")

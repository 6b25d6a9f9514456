"""Tests of hosts, as processes, that the store turns away while it serves others."""

import asyncio
import contextlib
from itertools import count

from testtools import TestCase

from demo.fleet import find_free_port
from oleanderpier.utils import rank_candidates, run_coroutine
from soak.proxy import FaultProxy
from standins.platform_fleet import PlatformFleet

HOST_COUNT = 6
WATCHER_COUNT = 2
TURNED_AWAY_S = 9.0
# From the end of that time until a server's entry is deleted.
DELETED_AFTER_S = 0.8
# The users' bound on requests to a server whose deletion the store has acknowledged.
DRAIN_S = 2.0
REQUEST_INTERVAL_S = 0.1


class TurnedAwayTest(TestCase):
    """A third of the hosts is turned away by the store for nine seconds."""

    def test_deletion_applies_at_once(self):
        """Being turned away is no outage, after which a deletion would be held back."""
        durations = run_coroutine(self._measure_all())
        self.assertEqual(
            {},
            {
                watchers: [host_s for host_s in host_durations_s if host_s > DRAIN_S]
                for watchers, host_durations_s in durations.items()
                if max(host_durations_s) > DRAIN_S
            },
            f"seconds until each host knew, by watchers turned away: {durations}",
        )

    async def _measure_all(self) -> dict[int, list[float]]:
        counts = range(WATCHER_COUNT + 1)
        measured = await asyncio.gather(*(_measure_one(count) for count in counts))
        return dict(zip(counts, measured, strict=True))


async def _measure_one(watchers: int) -> list[float]:
    """Return the seconds until each host sent nothing more to a deleted server.

    Args:
        watchers: How many of the hosts that are turned away watch the store.
    """
    async with PlatformFleet(HOST_COUNT) as fleet, contextlib.AsyncExitStack() as stack:
        proxies = []
        for fields in fleet.settings:
            proxy = FaultProxy(fleet.store_address)
            await proxy.start(find_free_port())
            stack.push_async_callback(proxy.stop)
            proxies.append(proxy)
            fields["Platform"]["Address"] = proxy.address
        await fleet.add_server()
        deleted = await fleet.add_server()
        await fleet.start_all()
        await asyncio.sleep(1.0)
        turned_away = _select_hosts(fleet, watchers)
        for host in turned_away:
            proxies[host].hold_all_data(True)
        await asyncio.sleep(TURNED_AWAY_S)
        for host in turned_away:
            proxies[host].hold_all_data(False)
        await asyncio.sleep(DELETED_AFTER_S)
        return await _delete_and_measure(fleet, deleted)


def _select_hosts(fleet: PlatformFleet, watchers: int) -> list[int]:
    """Return a third of the hosts, with a number of watchers among them."""
    names = [fields["Listen"]["Control"] for fields in fleet.settings]
    ranked = [names.index(name) for name in rank_candidates("watch", names)]
    others = HOST_COUNT // 3 - watchers
    return ranked[:watchers] + ranked[WATCHER_COUNT : WATCHER_COUNT + others]


async def _delete_and_measure(fleet: PlatformFleet, deleted) -> list[float]:
    async def send(host: int) -> None:
        for number in count():
            await fleet.fetch(host, "/lookup/x", f"{host}-{number}")
            await asyncio.sleep(REQUEST_INTERVAL_S)

    senders = [asyncio.create_task(send(host)) for host in range(HOST_COUNT)]
    await asyncio.sleep(0.5)
    deleted_s = asyncio.get_running_loop().time()
    fleet.store.put(f"servers/{deleted.instance_id}", None)
    await asyncio.sleep(2 * DRAIN_S)
    for sender in senders:
        sender.cancel()
    await asyncio.gather(*senders, return_exceptions=True)
    last_s = dict.fromkeys(range(HOST_COUNT), deleted_s)
    arrivals = zip(deleted.request_ids, deleted.request_times_s, strict=True)
    for request_id, at_s in arrivals:
        host = int(request_id.partition("-")[0])
        last_s[host] = max(last_s[host], at_s)
    return [round(at_s - deleted_s, 2) for at_s in last_s.values()]

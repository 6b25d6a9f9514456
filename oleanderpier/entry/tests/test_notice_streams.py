"""Tests of notices between two entry hosts, over loopback sockets."""

import asyncio
from collections.abc import Callable

from testtools import TestCase

from demo.ports import find_free_port
from oleanderpier.entry import (
    CONFIGURATION,
    CONFIGURATION_KEY,
    SERVERS,
    EntryNode,
    encode_server,
    encode_table,
)
from oleanderpier.entry.tests.test_node import SETTINGS, TABLE
from oleanderpier.exception import PlatformError
from oleanderpier.fleet import NOTICES_FEATURE
from oleanderpier.replication import PLATFORM, Item, ItemsUpdate
from oleanderpier.routing import LoadStatement, ServerQuery
from oleanderpier.routing.tests.fakes import ENGINE, make_server
from oleanderpier.utils import run_coroutine

WAIT_S = 10.0
CHECK_INTERVAL_S = 0.02
SERVER = make_server("s1")


class _SilentStore:
    """A store that does not respond."""

    async def read_snapshot(self, space: str) -> ItemsUpdate:
        """Fail."""
        raise PlatformError("no response")

    async def wait_for_changes(
        self, space: str, after: int, wait_s: float
    ) -> ItemsUpdate:
        """Fail."""
        raise PlatformError("no response")


async def _start_nodes() -> list[EntryNode]:
    """Start two hosts that know the routes and a server."""
    addresses = [f"127.0.0.1:{find_free_port()}" for _ in range(2)]
    nodes = []
    for address in addresses:
        settings = SETTINGS._replace(peer_address=address, seeds=tuple(addresses))
        node = EntryNode(settings, _SilentStore(), None)
        await node.start()
        for space, item in (
            (SERVERS, Item("s1", 5, encode_server(SERVER))),
            (CONFIGURATION, Item(CONFIGURATION_KEY, 7, encode_table(TABLE))),
        ):
            node.replicas[space].apply(ItemsUpdate(space, 0, 7, True, [item]), PLATFORM)
        nodes.append(node)
    return nodes


async def _wait_until(is_true: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_S):
        while not is_true():
            await asyncio.sleep(CHECK_INTERVAL_S)


class NoticeStreamTest(TestCase):
    """Hosts announce that they take notices while they know an uneven service."""

    def test_notices_reach_the_other_host(self):
        """Before a server states its speed, neither announces it or gets any."""

        async def check() -> None:
            sender, receiver = nodes = await _start_nodes()
            try:
                await _wait_until(lambda: all(each.view.list_ready() for each in nodes))
                self.assertNotIn(NOTICES_FEATURE, sender._summarize())
                self.assertEqual([], sender.exchange._list_notice_receivers())
                for node in nodes:
                    load = LoadStatement(0, 0, 16, 1.0)
                    statements = node.exchange.statements
                    statements.loads.record(SERVER, load, node.timers.now())
                await _wait_until(sender.exchange._list_notice_receivers)
                self._send(sender)
                known = receiver.exchange.statements
                await _wait_until(
                    lambda: (
                        known.prefills.get(SERVER, receiver.timers.now())
                        and known.loads.is_slow(SERVER, receiver.timers.now())
                    )
                )
            finally:
                for node in nodes:
                    await node.stop()

        run_coroutine(check())

    def _send(self, sender: EntryNode) -> None:
        """Let a host send a long prompt to a slow server."""
        choice = sender.chooser.choose(ServerQuery(ENGINE))
        # The prompt takes as long as this test may wait for the notice.
        sender.exchange.prefills.announce(choice._replace(uncached_tokens=400_000))
        sender.exchange.speeds.announce(SERVER, 400.0)

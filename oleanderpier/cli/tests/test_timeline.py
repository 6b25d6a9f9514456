"""Tests of polling hosts for events."""

import asyncio

from aiohttp import ClientSession
from testtools import TestCase

from oleanderpier.cli.tests.fakes import FakeFleet, FakeHost
from oleanderpier.cli.timeline import EventReader
from oleanderpier.events import EventBuffer
from oleanderpier.operators import HostDirectory, OperatorEndpoint


class EventReaderTest(TestCase):
    """Each event is returned once, also if a host is restarted between rounds."""

    def test_each_event_is_read_once_across_a_restart(self):
        """All events of a restarted host's new incarnation are read."""
        host = FakeHost("h1")
        batches = []

        async def read_rounds():
            operators = [OperatorEndpoint("h1", "127.0.0.1", host.port)]
            directory = HostDirectory(operators, is_complete=True)
            async with ClientSession() as session:
                reader = EventReader(session, directory, limit=None)
                for prepare in (self.record_two, self.record_one, self.restart):
                    prepare(host)
                    batches.append((await reader.read_batch()).events)

        with FakeFleet(host):
            asyncio.run(read_rounds())
        subjects = [[event.subject for event in batch] for batch in batches]
        self.assertEqual([["a", "b"], ["c"], ["d"]], subjects)

    def record_two(self, host):
        """Record two events."""
        host.ring.record("test:event", "a")
        host.ring.record("test:event", "b")

    def record_one(self, host):
        """Record one event."""
        host.ring.record("test:event", "c")

    def restart(self, host):
        """Restart the host with the next incarnation and an empty ring."""
        host.ring = EventBuffer("h1", 2, host.clock, host.timers, capacity=3)
        host.ring.record("test:event", "d")

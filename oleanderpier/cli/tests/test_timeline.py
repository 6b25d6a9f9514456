"""Tests of reading events round by round."""

import asyncio

from aiohttp import ClientSession
from testtools import TestCase

from oleanderpier.cli.tests.stubs import StubFleet, StubHost
from oleanderpier.cli.timeline import Reader
from oleanderpier.events import EventBuffer
from oleanderpier.operators import Directory, Operator


class ReaderTest(TestCase):
    """Each event comes once, also when a host is restarted."""

    def test_rounds(self):
        """A restarted host's events are read from its new start."""
        host = StubHost("h1")
        batches = []

        async def read_rounds():
            operators = [Operator("h1", "127.0.0.1", host.port)]
            directory = Directory(operators, listed=True)
            async with ClientSession() as session:
                reader = Reader(session, directory, limit=None)
                for prepare in (self.record_two, self.record_one, self.restart):
                    prepare(host)
                    batches.append((await reader.read_batch()).events)

        with StubFleet(host):
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
        """Start anew, with an empty ring."""
        host.ring = EventBuffer("h1", 2, host.clock, host.timers, capacity=3)
        host.ring.record("test:event", "d")

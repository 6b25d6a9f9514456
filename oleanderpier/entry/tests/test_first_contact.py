"""Tests of the hold of requests at a host that has just started, without a network."""

import asyncio
from types import SimpleNamespace

from testtools import TestCase

from oleanderpier.entry import EntryNode
from oleanderpier.entry.features import FEATURES
from oleanderpier.entry.first_contact import MAX_HOLD_S, SETTLE_S, FirstContact
from oleanderpier.entry.tests.test_newcomers import OTHER, REQUEST, make_report
from oleanderpier.entry.tests.test_node import SETTINGS
from oleanderpier.fleet import CrashNews, ReportedQuarantine
from oleanderpier.utils import ManualTimers, run_coroutine


class FirstContactTest(TestCase):
    """Requests wait until a ready host has had the time to tell what to refuse."""

    def make_contact(self, *others: str) -> FirstContact:
        """Return the hold of a host that starts and knows of some others."""
        self.timers = ManualTimers()
        contact = FirstContact(lambda: list(others), self.timers)
        contact.begin()
        return contact

    def test_requests_are_held_until_a_ready_host_has_reported(self):
        """Its quarantines may come shortly after its report."""
        contact = self.make_contact("h1", "h2")
        self.timers.advance(0.1)
        contact.receive_report("h1", True)
        self.assertFalse(contact.is_over)
        self.timers.advance(SETTLE_S)
        self.assertTrue(contact.is_over)

    def test_hold_ends_without_a_report(self):
        """Guards against a host that serves nobody since the others have failed."""
        contact = self.make_contact("h1")
        self.timers.advance(0.9 * MAX_HOLD_S)
        self.assertFalse(contact.is_over)
        self.timers.advance(0.1 * MAX_HOLD_S)
        self.assertTrue(contact.is_over)

    def test_hold_ends_when_all_hosts_start_at_once(self):
        """As after a power failure: there is none to learn from."""
        contact = self.make_contact("h1", "h2")
        contact.receive_report("h1", False)
        self.assertFalse(contact.is_over)
        contact.receive_report("h2", False)
        self.assertTrue(contact.is_over)

    def test_report_of_a_starting_host_does_not_end_the_hold_for_a_ready_one(self):
        """The quarantines of the ready one may still be on their way."""
        contact = self.make_contact("h1", "h2")
        contact.receive_report("h1", True)
        contact.receive_report("h2", False)
        self.assertFalse(contact.is_over)

    def test_single_host_holds_nothing(self):
        """It has no others to hear from."""
        self.assertTrue(self.make_contact().is_over)


class HeldRequestTest(TestCase):
    """A request that arrives between the start of a host and its first contact."""

    def test_request_that_crashes_servers_is_not_forwarded_before_the_news(self):
        """Guards against a further crash, and 502 in place of 503, after restarts."""

        async def check() -> tuple[list[list[str]], list[list[str]]]:
            settings = SETTINGS._replace(seeds=(OTHER,))
            node = EntryNode(settings, None, None)
            node.first_contact.begin()
            forwarded: list[list[str]] = []

            async def forward(call, caller) -> None:
                quarantines = node.exchange.poison.list_quarantines()
                forwarded.append([each.key for each in quarantines])

            node.forwarder = SimpleNamespace(forward=forward)
            request = asyncio.create_task(node.forward(None, None))
            await asyncio.sleep(SETTLE_S / 10)
            early = list(forwarded)
            node.view.receive_report(OTHER, make_report(True, FEATURES))
            quarantine = ReportedQuarantine(REQUEST, 3.0, 240.0, [REQUEST])
            node.exchange.crash_gossip.receive(OTHER, CrashNews([], [], [quarantine]))
            await request
            return early, forwarded

        self.assertEqual(([], [[REQUEST]]), run_coroutine(check()))

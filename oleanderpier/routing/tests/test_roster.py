"""Tests of which servers may get new requests."""

from testtools import TestCase

from oleanderpier.routing import Roster
from oleanderpier.routing.tests.fakes import ENGINE, make_server
from oleanderpier.utils import ManualTimers

# The platform's promise, in seconds, and half a second for the way.
RETURNED_BY_S = 2.5


class RosterTest(TestCase):
    """Entries end at once, unless an outage may be why."""

    def setUp(self):
        """Let one server register."""
        super().setUp()
        self.timers = ManualTimers()
        self.roster = Roster(self.timers)
        self.roster.update_entry("s1", make_server("s1"))

    def list_usable(self) -> list[str]:
        """Return the ids that may get requests."""
        return [entry.identity for entry in self.roster.list_usable(ENGINE)]

    def test_gone_at_once(self):
        """A server whose entry ends in calm times is gone at once."""
        self.roster.update_entry("s1", None)
        self.assertEqual([], self.list_usable())

    def test_leaving_at_once(self):
        """A leaving server gets nothing new, but is still known."""
        self.roster.update_entry("s1", make_server("s1", leaving=True))
        self.assertEqual([], self.list_usable())
        self.assertTrue(self.roster.get("s1").leaving)

    def test_lapse_in_an_outage(self):
        """An entry that lapsed in an outage counts until it must be back."""
        self.roster.record_outage_end()
        self.roster.update_entry("s1", None)
        self.timers.advance(RETURNED_BY_S - 0.3)
        self.assertEqual(["s1"], self.list_usable())
        self.timers.advance(0.6)
        self.assertEqual([], self.list_usable())

    def test_back_after_an_outage(self):
        """A server that is back in time stays."""
        self.roster.record_outage_end()
        self.roster.update_entry("s1", None)
        self.timers.advance(1.0)
        self.roster.update_entry("s1", make_server("s1"))
        self.timers.advance(9.0)
        self.assertEqual(["s1"], self.list_usable())

    def test_told_of_restart(self):
        """A server that starts again under its id is told as gone."""
        gone = []
        self.roster.subscribe_removed(gone.append)
        self.roster.update_entry("s1", make_server("s1", born_ms=2))
        self.assertEqual((["s1"], ["s1"]), (gone, self.list_usable()))

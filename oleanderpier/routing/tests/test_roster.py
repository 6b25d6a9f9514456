"""Tests of the roster: which servers may get new requests."""

from testtools import TestCase

from oleanderpier.routing import Roster
from oleanderpier.routing.tests.fakes import ENGINE, make_server
from oleanderpier.utils import ManualTimers

# The platform guarantees that servers register again within 2 s of an outage; 0.5 s
# is for propagation.
REREGISTRATION_WAIT_S = 2.5


class RosterTest(TestCase):
    """Ended registrations are removed at once, except after an outage."""

    def setUp(self):
        """Register one server."""
        super().setUp()
        self.timers = ManualTimers()
        self.roster = Roster(self.timers)
        self.roster.update_entry("s1", make_server("s1"))

    def list_usable(self) -> list[str]:
        """Return the ids of the servers that may get requests."""
        return [entry.identity for entry in self.roster.list_usable(ENGINE)]

    def test_ended_registration_is_removed(self):
        """A server whose registration ends without an outage is removed at once."""
        self.roster.update_entry("s1", None)
        self.assertEqual([], self.list_usable())

    def test_leaving_server_is_not_usable(self):
        """A leaving server gets no new requests, but is still known."""
        self.roster.update_entry("s1", make_server("s1", leaving=True))
        self.assertEqual([], self.list_usable())
        self.assertTrue(self.roster.get_entry("s1").leaving)

    def test_expired_registration_is_kept_after_outage(self):
        """A registration that expired in an outage is kept for the guaranteed time."""
        self.roster.record_outage_end(self.timers.now())
        self.roster.update_entry("s1", None)
        self.timers.advance(REREGISTRATION_WAIT_S - 0.3)
        self.assertEqual(["s1"], self.list_usable())
        self.timers.advance(0.6)
        self.assertEqual([], self.list_usable())

    def test_leaving_server_is_removed_after_outage(self):
        """A server that had announced its leaving is not kept for its return."""
        gone = []
        self.roster.subscribe_removed(gone.append)
        self.roster.update_entry("s1", make_server("s1", leaving=True))
        self.roster.record_outage_end(self.timers.now())
        self.roster.update_entry("s1", None)
        self.assertEqual((["s1"], None), (gone, self.roster.get_entry("s1")))

    def test_later_outages_do_not_extend_the_wait(self):
        """A registration is kept for the guaranteed time at most."""
        self.roster.record_outage_end(self.timers.now())
        self.roster.update_entry("s1", None)
        for _ in range(4):
            self.timers.advance(REREGISTRATION_WAIT_S / 4)
            self.roster.record_outage_end(self.timers.now())
        self.timers.advance(0.3)
        self.assertEqual([], self.list_usable())

    def test_server_registers_again_after_outage(self):
        """A server that registers again in time is kept."""
        self.roster.record_outage_end(self.timers.now())
        self.roster.update_entry("s1", None)
        self.timers.advance(1.0)
        self.roster.update_entry("s1", make_server("s1"))
        self.timers.advance(9.0)
        self.assertEqual(["s1"], self.list_usable())

    def test_restart_notifies_subscribers(self):
        """A restart under the same id is notified as a removal."""
        gone = []
        self.roster.subscribe_removed(gone.append)
        self.roster.update_entry("s1", make_server("s1", born_ms=2))
        self.assertEqual((["s1"], ["s1"]), (gone, self.list_usable()))

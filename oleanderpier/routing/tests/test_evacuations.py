"""Tests of the evacuated failure domains."""

from testtools import TestCase

from oleanderpier.routing import RETAINED_S, Evacuations
from oleanderpier.utils import ManualTimers


class EvacuationsTest(TestCase):
    """An evacuation holds until its key is deleted, also if the store loses it."""

    def setUp(self):
        """Evacuate a failure domain."""
        super().setUp()
        self.timers = ManualTimers()
        self.evacuations = Evacuations(self.timers)
        self.evacuations.update("alpena", True)

    def test_deletion_ends_it_at_once(self):
        """A domain that is taken back is of use again without a delay."""
        self.assertEqual(["alpena"], self.evacuations.list_domains())
        self.assertIsNone(self.evacuations.get_ended_s("alpena"))
        self.timers.advance(3.0)
        self.evacuations.update("alpena", False)
        self.assertFalse(self.evacuations.is_evacuated("alpena"))
        self.assertEqual(3.0, self.evacuations.get_ended_s("alpena"))
        self.assertFalse(self.evacuations)

    def test_older_copy_ends_it_later(self):
        """Servers of the domain get nothing until the operator has had time."""
        self.evacuations.retain("alpena")
        self.timers.advance(RETAINED_S - 0.1)
        self.assertTrue(self.evacuations.is_evacuated("alpena"))
        self.timers.advance(0.2)
        self.assertFalse(self.evacuations.is_evacuated("alpena"))

    def test_key_that_is_written_again_keeps_it_in_force(self):
        """The delayed end must not apply to the evacuation that was written again."""
        self.evacuations.retain("alpena")
        self.timers.advance(1.0)
        self.evacuations.update("alpena", True)
        self.timers.advance(10.0)
        self.assertTrue(self.evacuations.is_evacuated("alpena"))
        self.assertIsNone(self.evacuations.get_ended_s("alpena"))

    def test_domain_that_was_not_evacuated_stays_so(self):
        """Neither a deletion nor an older copy makes a domain appear evacuated."""
        self.evacuations.update("duluth", False)
        self.evacuations.retain("duluth")
        self.timers.advance(10.0)
        self.assertIsNone(self.evacuations.get_ended_s("duluth"))

    def test_host_that_started_meanwhile_adopts_it(self):
        """It would otherwise send there until the operator writes the key again."""
        newcomer = Evacuations(self.timers)
        self.assertEqual({}, self.evacuations.list_retained())
        self.evacuations.retain("alpena")
        self.timers.advance(1.0)
        ((domain, for_s),) = self.evacuations.list_retained().items()
        newcomer.adopt_retained(domain, for_s, "h1")
        self.assertTrue(newcomer.is_evacuated("alpena"))
        self.assertEqual({"alpena": for_s}, newcomer.list_retained())
        self.timers.advance(for_s)
        self.assertFalse(newcomer.is_evacuated("alpena"))
        for invalid_s in (0.0, -1.0, RETAINED_S + 1.0, float("nan")):
            newcomer.adopt_retained("alpena", invalid_s, "h1")
            self.assertFalse(newcomer.is_evacuated("alpena"))

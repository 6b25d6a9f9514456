"""Tests of what a host believes after a standstill."""

from testtools import TestCase

from oleanderpier.entry.standstill import (
    BUFFERED_S,
    MAX_UNCONFIRMED_S,
    StandstillGuard,
)
from oleanderpier.replication import Replica
from oleanderpier.utils import ManualTimers

MIN_STANDSTILL_S = 2.5


class FreezableTimers(ManualTimers):
    """A timer service whose clock can jump, as after a freeze of the process."""

    def freeze(self, seconds: float) -> None:
        """Advance the clocks without any callback."""
        self._now_s += seconds


class StandstillTest(TestCase):
    """A host that was frozen does not send by what it knew before."""

    def setUp(self):
        """Create a guard whose replica was confirmed a moment ago."""
        super().setUp()
        self.timers = FreezableTimers()
        self.replica = Replica("configuration", self.timers)
        self.guard = StandstillGuard(self.replica, self.timers, MIN_STANDSTILL_S)
        self.timers.advance(1.0)
        self.replica.confirm_current()

    def test_pauses_do_not_matter(self):
        """A busy host still learns of an evacuation in time."""
        self.timers.freeze(MIN_STANDSTILL_S - 0.5)
        self.assertFalse(self.guard.is_unconfirmed())
        self.timers.advance(100.0)
        self.assertFalse(self.guard.is_unconfirmed())

    def test_freeze_lasts_until_the_replica_is_confirmed(self):
        """What was buffered meanwhile confirms nothing."""
        self.timers.freeze(MIN_STANDSTILL_S + 0.5)
        self.assertTrue(self.guard.is_unconfirmed())
        self.replica.confirm_current()
        self.assertTrue(self.guard.is_unconfirmed())
        self.timers.advance(BUFFERED_S)
        self.replica.confirm_current()
        self.assertFalse(self.guard.is_unconfirmed())

    def test_unavailable_store_does_not_stop_the_host(self):
        """Without any confirmation it goes on after a while."""
        self.timers.freeze(60.0)
        self.assertTrue(self.guard.is_unconfirmed())
        self.timers.advance(MAX_UNCONFIRMED_S)
        self.assertFalse(self.guard.is_unconfirmed())

"""Tests of which hosts may copy caches from an evacuated failure domain."""

from testtools import TestCase

from oleanderpier.entry.freshness import MAX_AGE_S, SETTLING_S
from oleanderpier.entry.standstill import make_evacuations
from oleanderpier.replication import PLATFORM, Item, ItemsUpdate, Replica
from oleanderpier.routing import COPY_WINDOW_RATIO, Evacuations
from oleanderpier.utils import ManualTimers

EVACUATE_S = 5.0
CONFIRMED_EVERY_S = 0.3
DOMAIN = "alpena"


class FreezableTimers(ManualTimers):
    """A timer service whose clock can jump, as after a freeze of the process."""

    def freeze(self, seconds: float) -> None:
        """Advance the clocks without any callback."""
        self._now_s += seconds


class FreshnessTest(TestCase):
    """A host copies only if it learned of the evacuation promptly."""

    def setUp(self):
        """Start a host."""
        super().setUp()
        self.start_host()

    def start_host(self) -> None:
        """Create a host that is about to learn its configuration."""
        self.timers = FreezableTimers()
        self.replica = Replica("configuration", self.timers)
        self.evacuations = self.make_evacuations(EVACUATE_S)

    def make_evacuations(self, evacuate_s: float | None) -> Evacuations:
        """Return evacuations that follow the replica."""
        evacuations = make_evacuations(evacuate_s, self.replica, self.timers)
        self.replica.subscribe(lambda change: evacuations.update(DOMAIN, True))
        return evacuations

    def run_calmly(self, seconds: float) -> None:
        """Let the store confirm the replica again and again."""
        for _ in range(round(seconds / CONFIRMED_EVERY_S)):
            self.timers.advance(CONFIRMED_EVERY_S)
            self.replica.confirm_current()

    def learn(self, source: str = PLATFORM) -> None:
        """Get the evacuation; a watch call confirms the replica before it."""
        if source == PLATFORM:
            self.replica.confirm_current()
        item = Item(f"evacuate/{DOMAIN}", 8, b"")
        self.replica.apply(ItemsUpdate("configuration", 0, 8, True, [item]), source)
        self.assertTrue(self.evacuations.is_evacuated(DOMAIN))

    def test_host_in_contact(self):
        """It copies for half of the time within which the evacuation takes effect."""
        for source in (PLATFORM, "h2"):
            self.start_host()
            self.run_calmly(6.0)
            self.learn(source)
            self.assertTrue(self.evacuations.allows_copies(DOMAIN), source)
            self.timers.advance(COPY_WINDOW_RATIO * EVACUATE_S)
            self.assertFalse(self.evacuations.allows_copies(DOMAIN), source)

    def test_host_without_bound(self):
        """The time within which evacuations take effect is not in the settings."""
        self.evacuations = self.make_evacuations(None)
        self.run_calmly(6.0)
        self.learn()
        self.assertFalse(self.evacuations.allows_copies(DOMAIN))

    def test_host_that_has_just_started(self):
        """The evacuation in its first snapshot may have been in force for long."""
        for started_s in (0.0, 0.9):
            self.start_host()
            self.run_calmly(started_s)
            self.learn()
            self.assertFalse(self.evacuations.allows_copies(DOMAIN), started_s)

    def test_host_that_was_frozen(self):
        """It learned of the evacuation as late as it stood still."""
        for frozen_s in (MAX_AGE_S + 0.1, 0.5 * EVACUATE_S, 60.0):
            for source in (PLATFORM, "h2"):
                self.start_host()
                self.run_calmly(6.0)
                self.timers.freeze(frozen_s)
                self.learn(source)
                self.assertFalse(self.evacuations.allows_copies(DOMAIN), frozen_s)

    def test_host_that_reads_what_was_buffered(self):
        """A confirmation from before the freeze makes the replica look new."""
        self.run_calmly(6.0)
        self.timers.freeze(2.0)
        self.replica.confirm_current(0.1)
        self.timers.advance(0.3)
        self.replica.confirm_current()
        self.learn("h2")
        self.assertFalse(self.evacuations.allows_copies(DOMAIN))

    def test_host_that_was_cut_off(self):
        """Its replica was not confirmed, though it ran."""
        for source in (PLATFORM, "h2"):
            self.start_host()
            self.run_calmly(6.0)
            self.timers.advance(MAX_AGE_S + 0.1)
            self.learn(source)
            self.assertFalse(self.evacuations.allows_copies(DOMAIN), source)

    def test_host_that_has_recovered(self):
        """A freeze long ago says nothing of an evacuation now."""
        self.run_calmly(6.0)
        self.timers.freeze(60.0)
        self.run_calmly(SETTLING_S + 2 * CONFIRMED_EVERY_S)
        self.learn()
        self.assertTrue(self.evacuations.allows_copies(DOMAIN))

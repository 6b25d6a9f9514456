"""Tests of the pause between a watcher's calls, which cost the operators.

They guard against a pause that is not derived from the operators' bound, and against
one so long that a change misses it.
"""

import contextlib
import random
from itertools import pairwise
from unittest import mock

from testtools import TestCase

from oleanderpier.replication import (
    Item,
    ItemsUpdate,
    Replica,
    WatchTiming,
    derive_watch_timing,
    maintain_replica,
)
from oleanderpier.utils import ManualTimers, run_coroutine

SPACE = "servers"
# Seconds that are counted, with a change before each call.
COUNTED_S = 60.0
CALL_S = 0.02


class _EndOfCountError(Exception):
    """Ends a watch."""


class _BusyStore:
    """A store in which an entry is renewed during each call, on manual time."""

    def __init__(self, timers: ManualTimers) -> None:
        self.timers = timers
        self.call_times: list[float] = []

    async def read_snapshot(self, space: str) -> ItemsUpdate:
        return self.make_update(0, is_snapshot=True)

    async def wait_for_changes(
        self, space: str, after: int, wait_s: float
    ) -> ItemsUpdate:
        return self.make_update(after, is_snapshot=False)

    def make_update(self, after: int, is_snapshot: bool) -> ItemsUpdate:
        if self.timers.now() > COUNTED_S:
            raise _EndOfCountError
        self.call_times.append(self.timers.now())
        self.timers.advance(CALL_S)
        revision = len(self.call_times)
        items = [Item("s", revision, b"1")]
        return ItemsUpdate(SPACE, after, revision, is_snapshot, items)


def list_call_times(timing: WatchTiming) -> list[float]:
    """Return when a watcher calls a store whose entries change all the time."""
    timers = ManualTimers()
    store = _BusyStore(timers)

    async def advance(delay_s: float) -> None:
        timers.advance(delay_s)

    watch = maintain_replica(
        Replica(SPACE, timers),
        store,
        timers,
        random.Random(1),
        lambda: True,
        lambda space, reachable: None,
        timing=timing,
    )
    with mock.patch("asyncio.sleep", advance), contextlib.suppress(_EndOfCountError):
        run_coroutine(watch)
    return store.call_times


class WatchTimingTest(TestCase):
    """The pause follows from the bound for a server that leaves."""

    def test_shorter_bounds_change_nothing(self):
        """Deployments with a bound under 3 s, or without one, are watched as before."""
        for apply_s in (None, 0.5, 2.0, 2.999):
            self.assertEqual(WatchTiming(), derive_watch_timing(apply_s))

    def test_pause_is_in_proportion_to_the_bound(self):
        """A bound of 3 s allows half more than 0.4 s; longer bounds allow no more."""
        for apply_s, expected_s in ((3.0, 0.6), (4.0, 0.6), (60.0, 0.6)):
            timing = derive_watch_timing(apply_s)
            self.assertAlmostEqual(expected_s, timing.batch_s, places=6)
            self.assertEqual(WatchTiming(), timing._replace(batch_s=0.4))

    def test_fewer_calls_while_entries_change(self):
        """A third of the calls is saved; no change waits longer than the pause."""
        short, long = (
            list_call_times(derive_watch_timing(apply_s)) for apply_s in (2.0, 3.0)
        )
        self.assertLess(len(long), 0.7 * len(short))
        longest_s = max(later - earlier for earlier, later in pairwise(long))
        self.assertLessEqual(longest_s, 0.6 + CALL_S)

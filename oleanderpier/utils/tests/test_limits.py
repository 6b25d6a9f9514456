"""Tests of time limits."""

import asyncio

from testtools import TestCase

from oleanderpier.utils import ManualTimers, limit_time, run_coroutine


class LimitTimeTest(TestCase):
    """A limit is exceeded only by the time of the timer service."""

    def run_limited(self, advance_s: float, limit_s: float | None) -> bool:
        """Return whether a body that waits while time passes is cancelled."""

        async def run() -> bool:
            timers = ManualTimers()
            try:
                async with limit_time(timers, limit_s):
                    timers.advance(advance_s)
                    await asyncio.sleep(0.01)
            except TimeoutError:
                return True
            # A limit that is over cancels nothing.
            timers.advance(100.0)
            await asyncio.sleep(0.01)
            return False

        return run_coroutine(run())

    def test_exceeded_limit(self):
        """The body is cancelled once the limit has passed."""
        self.assertTrue(self.run_limited(2.0, 2.0))

    def test_kept_limit(self):
        """A body that ends in time is not cancelled, nor what follows it."""
        self.assertFalse(self.run_limited(1.9, 2.0))

    def test_no_limit(self):
        """Without a limit nothing is cancelled."""
        self.assertFalse(self.run_limited(1000.0, None))

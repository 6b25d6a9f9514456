"""Tests of time limits."""

import asyncio

from testtools import TestCase

from oleanderpier.utils import (
    EndableLimits,
    ManualTimers,
    limit_time,
    run_coroutine,
)

WAIT_S = 0.05


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


class EndableLimitsTest(TestCase):
    """Which waits end when requests have to end."""

    def test_wait_in_progress_ends(self):
        """It began before the end."""
        self.assertEqual("ended", run_coroutine(wait_while(EndableLimits.end)))

    def test_wait_that_begins_after_the_end_ends(self):
        """A request that was read after another one on its connection."""
        limits = EndableLimits()

        async def run() -> str:
            limits.end()
            return await wait_for(limits)

        self.assertEqual("ended", run_coroutine(run()))

    def test_wait_without_an_end_runs_on(self):
        """The limit has no time of its own."""
        self.assertEqual("whole", run_coroutine(wait_while(lambda limits: None)))

    def test_lifted_wait_runs_on(self):
        """What follows has a limit of its own."""

        async def run() -> str:
            limits = EndableLimits()
            waiting = asyncio.ensure_future(wait_for(limits, lifted=True))
            await asyncio.sleep(0)
            limits.end()
            return await waiting

        self.assertEqual("whole", run_coroutine(run()))


async def wait_while(act) -> str:
    """Return how a wait ended during which ``act`` was called."""
    limits = EndableLimits()
    waiting = asyncio.ensure_future(wait_for(limits))
    await asyncio.sleep(0)
    act(limits)
    return await waiting


async def wait_for(limits: EndableLimits, lifted: bool = False) -> str:
    """Return ``whole`` if a limited wait was, ``ended`` if it was not."""
    try:
        async with limits.limit(None) as limit:
            if lifted:
                limits.lift(limit)
            await asyncio.sleep(WAIT_S)
    except TimeoutError:
        return "ended"
    return "whole"

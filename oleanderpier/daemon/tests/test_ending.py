"""Tests of the end of requests in progress."""

import asyncio

from testtools import TestCase

from oleanderpier.daemon.ending import RequestEnd
from oleanderpier.utils import run_coroutine

WAIT_S = 0.05


class RequestEndTest(TestCase):
    """Which waits end when requests have to end."""

    def test_wait_in_progress_ends(self):
        """It began before the end."""
        self.assertEqual("ended", run_coroutine(wait_while(RequestEnd.reach)))

    def test_wait_that_begins_after_the_end_ends(self):
        """A request that was read after another one on its connection."""
        end = RequestEnd()

        async def run() -> str:
            end.reach()
            return await wait_for(end)

        self.assertEqual("ended", run_coroutine(run()))

    def test_wait_without_an_end_runs_on(self):
        """The limit has no time of its own."""
        self.assertEqual("whole", run_coroutine(wait_while(lambda end: None)))

    def test_lifted_wait_runs_on(self):
        """What follows has a limit of its own."""

        async def run() -> str:
            end = RequestEnd()
            waiting = asyncio.ensure_future(wait_for(end, lifted=True))
            await asyncio.sleep(0)
            end.reach()
            return await waiting

        self.assertEqual("whole", run_coroutine(run()))


async def wait_while(act) -> str:
    """Return how a wait ended during which ``act`` was called."""
    end = RequestEnd()
    waiting = asyncio.ensure_future(wait_for(end))
    await asyncio.sleep(0)
    act(end)
    return await waiting


async def wait_for(end: RequestEnd, lifted: bool = False) -> str:
    """Return ``whole`` if a limited wait was, ``ended`` if it was not."""
    try:
        async with end.limit() as limit:
            if lifted:
                end.lift(limit)
            await asyncio.sleep(WAIT_S)
    except TimeoutError:
        return "ended"
    return "whole"
